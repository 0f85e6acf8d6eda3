package standin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/memory"
)

func put(t *testing.T, c *platform.Client, key, value string) platform.Revision {
	t.Helper()
	rev, err := c.Txn(t.Context(), nil, []platform.Put{{Key: key, Value: []byte(value)}})
	qt.Assert(t, err, qt.IsNil)
	return rev
}

func TestRangeReadsAllPages(t *testing.T) {
	_, c := startTest(t)
	const n = 1100
	for i := range n {
		put(t, c, fmt.Sprintf("p/%04d", i), "v")
	}
	put(t, c, "q/other", "v")
	items, rev, err := c.RangeAll(t.Context(), "p/")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, items, qt.HasLen, n)
	qt.Check(t, rev, qt.Equals, platform.Revision(n+1))
}

func TestWatchPrefixReturnsChanges(t *testing.T) {
	_, c := startTest(t)
	first := put(t, c, "p/a", "1")
	second := put(t, c, "p/b", "2")
	put(t, c, "q/c", "3")
	changes, at, err := c.WatchPrefix(t.Context(), "p/", first, time.Second, platform.Patience{})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, changes, qt.DeepEquals, []platform.Item{{Key: "p/b", Value: []byte("2"), Revision: second}})
	qt.Check(t, at, qt.Equals, second+1)

	changes, _, err = c.WatchPrefix(t.Context(), "p/", at, 20*time.Millisecond, platform.Patience{})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, changes, qt.HasLen, 0)
}

func TestCompactedHistoryIsReported(t *testing.T) {
	s, c := startTest(t)
	at := put(t, c, "p/a", "1")
	put(t, c, "p/a", "2")
	s.Store.Compact()
	_, _, err := c.WatchPrefix(t.Context(), "p/", at, time.Second, platform.Patience{})
	qt.Check(t, errors.Is(err, platform.ErrCompacted), qt.IsTrue)
}

// TestErrorsDistinguishCallsWithoutEffect checks the difference that decides whether a
// call may be repeated: an error either proves that the call had no effect, or leaves
// it unknown.
func TestErrorsDistinguishCallsWithoutEffect(t *testing.T) {
	s, c := startTest(t)
	write := func() error {
		_, err := c.Txn(t.Context(), map[string]platform.Revision{"k": 0}, []platform.Put{{Key: "k", Value: []byte("v")}})
		return err
	}
	s.Store.SetFaults(memory.Faults{Refuse: true})
	qt.Check(t, errors.Is(write(), platform.ErrNotApplied), qt.IsTrue)
	s.Store.SetFaults(memory.Faults{LoseReplies: 1})
	err := write()
	qt.Check(t, errors.Is(err, platform.ErrNotApplied), qt.IsFalse)
	qt.Check(t, errors.Is(err, platform.ErrUnavailable), qt.IsTrue)
	var conflict *platform.ConflictError
	qt.Check(t, errors.As(write(), &conflict), qt.IsTrue, qt.Commentf("the write with the lost reply took effect"))
	qt.Check(t, string(conflict.Current.Value), qt.Equals, "v")

	unreachable := platform.NewClient("127.0.0.1:1", nil)
	_, err = unreachable.Get(t.Context(), "k")
	qt.Check(t, errors.Is(err, platform.ErrNotApplied), qt.IsTrue)
}

func TestSilentStoreEndsWithTheContext(t *testing.T) {
	s, c := startTest(t)
	s.Store.SetFaults(memory.Faults{Delay: time.Minute})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, _, err := c.RangeAll(ctx, "")
	qt.Check(t, errors.Is(err, platform.ErrUnavailable), qt.IsTrue)
	qt.Check(t, time.Since(start) < 2*time.Second, qt.IsTrue)
	s.Store.SetFaults(memory.Faults{})
}
