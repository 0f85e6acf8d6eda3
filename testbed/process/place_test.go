package process

import (
	"os/exec"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOverlappingReplacementsLeaveOneProcess replaces a process by many others at
// once: all but the last are ended.
func TestOverlappingReplacementsLeaveOneProcess(t *testing.T) {
	const replacements = 8
	dir := t.TempDir()
	var p Place
	var mu sync.Mutex
	var started []*Node
	start := func() (*Node, error) {
		n, err := run(exec.Command("sleep", "60"), Spec{Name: "n"}, dir+"/n.log", "")
		if err == nil {
			mu.Lock()
			started = append(started, n)
			mu.Unlock()
		}
		return n, err
	}
	var all sync.WaitGroup
	for range replacements {
		all.Go(func() {
			if err := p.Replace((*Node).Kill, start); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	p.Close()
	qt.Check(t, started, qt.HasLen, replacements)
	qt.Check(t, p.Starts(), qt.Equals, replacements)
	for _, n := range started {
		qt.Check(t, n.Wait(), qt.IsNotNil, qt.Commentf("each was killed"))
	}
}
