package pool

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// diagramPage is the page with the state diagram of a target.
const diagramPage = "../docs/design/return-and-floor.md"

func TestDiagramMatchesCode(t *testing.T) {
	page, err := os.ReadFile(diagramPage)
	qt.Assert(t, err, qt.IsNil)
	state := StateCold
	graph := strings.TrimSpace(newMachine(&state).ToGraph())
	qt.Assert(t, strings.Contains(string(page), graph), qt.IsTrue,
		qt.Commentf("%s must contain:\n%s", diagramPage, graph))
}
