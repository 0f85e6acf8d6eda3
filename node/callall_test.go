package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/fleet/control"
)

func peersNamed(names ...string) []control.Peer {
	var peers []control.Peer
	for _, name := range names {
		peers = append(peers, control.Peer{Name: name})
	}
	return peers
}

// A node that refuses the call or does not answer before callTimeout is listed
// as silent; the replies of the others are returned.
func TestCallAllListsSilentNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		call := func(ctx context.Context, to control.Peer) (string, error) {
			switch to.Name {
			case "b":
				return "", errors.New("refused")
			case "c":
				<-ctx.Done()
				return "", ctx.Err()
			}
			return "answer of " + to.Name, nil
		}
		answers, silent := callAll(t.Context(), peersNamed("d", "c", "b", "a"), call)
		qt.Assert(t, answers, qt.DeepEquals, []string{"answer of a", "answer of d"})
		qt.Assert(t, silent, qt.HasLen, 2)
		qt.Assert(t, silent[0].name, qt.Equals, "b")
		qt.Assert(t, silent[1].err, qt.ErrorIs, context.DeadlineExceeded)
		qt.Assert(t, time.Since(start), qt.Equals, callTimeout)
	})
}

// At most maxConcurrentCalls calls may run at the same time.
func TestCallAllLimitsConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var running, most int
		call := func(context.Context, control.Peer) (struct{}, error) {
			mu.Lock()
			running++
			most = max(most, running)
			mu.Unlock()
			time.Sleep(time.Second)
			mu.Lock()
			running--
			mu.Unlock()
			return struct{}{}, nil
		}
		var names []string
		for i := range 3 * maxConcurrentCalls {
			names = append(names, fmt.Sprint(i))
		}
		answers, _ := callAll(t.Context(), peersNamed(names...), call)
		qt.Assert(t, answers, qt.HasLen, len(names))
		qt.Assert(t, most, qt.Equals, maxConcurrentCalls)
	})
}
