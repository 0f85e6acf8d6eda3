package account

import (
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRoomIsWhatTheProcessLeaves guards against a room for callers that does not shrink as
// the configuration grows: what is in use beyond what callers hold is the process's own.
func TestRoomIsWhatTheProcessLeaves(t *testing.T) {
	const usable = 96 * mb
	r, a := NewRoom(usable)
	limit := func(inUse, held int64) int64 {
		r.update(inUse, held)
		return a.Usage().Limit
	}
	most := int64(usable - usable/headroomDivisor)
	qt.Check(t, limit(20*mb, 0), qt.Equals, most-20*mb)
	qt.Check(t, limit(50*mb, 0), qt.Equals, most-50*mb)
	qt.Check(t, limit(70*mb, 20*mb), qt.Equals, most-50*mb)
	// Callers that hold less than they are charged for leave the process no less.
	qt.Check(t, limit(20*mb, 40*mb), qt.Equals, most-usable/8)
	// Some room is left in any case.
	qt.Check(t, limit(200*mb, 0), qt.Equals, int64(usable/8))
}

// TestRoomFollowsTheHeap checks the measurement after a garbage collection.
func TestRoomFollowsTheHeap(t *testing.T) {
	const usable, large = 1 << 30, 200 * mb
	r, _ := NewRoom(usable)
	r.Watch()
	text := make([]byte, large)
	for end := time.Now().Add(5 * time.Second); r.Usage().Own < large && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		runtime.GC()
	}
	qt.Check(t, r.Usage().Own >= large, qt.IsTrue, qt.Commentf("%d", r.Usage().Own))
	runtime.KeepAlive(text)
}
