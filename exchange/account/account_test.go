package account

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const mb = 1 << 20

// load has a Holder grow without end in steps of a class, until its growth fails. The
// caller makes progress with each step.
func load(ctx context.Context, h *Holder, c Class, step int64) {
	for h.Grow(ctx, c, step) == nil {
		h.Progress()
		time.Sleep(time.Millisecond)
	}
	h.Close()
}

// TestClassesTogetherStayWithinTheLimit guards against classes that are each within their
// limit and together beyond what there is: callers of all kinds grow at once.
func TestClassesTogetherStayWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 64 * mb
		a := New(limit)
		a.SetMax(LargeBodies, 3*limit/4)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var all sync.WaitGroup
		for i := range 60 {
			all.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(i), 0))
				for ctx.Err() == nil {
					load(ctx, a.NewHolder(func() {}), Class(i%int(numClasses)), 1+rng.Int64N(mb))
				}
			})
		}
		for range 3000 {
			time.Sleep(10 * time.Millisecond)
			u := a.Usage()
			qt.Assert(t, u.Used <= limit, qt.IsTrue, qt.Commentf("%+v", u))
		}
		cancel()
		all.Wait()
		qt.Check(t, a.Usage().Used, qt.Equals, int64(0))
	})
}

// TestReserveIsLeftToItsClass guards against ordinary requests that find no memory since
// callers of another kind hold all of it.
func TestReserveIsLeftToItsClass(t *testing.T) {
	const limit = 64 * mb
	a := New(limit)
	crowd := a.NewHolder(func() {})
	for crowd.TryGrow(LargeBodies, mb) {
	}
	qt.Check(t, a.Usage().Used > limit/2, qt.IsTrue)
	ordinary := a.NewHolder(func() {})
	for c := range numClasses {
		if c != LargeBodies {
			qt.Check(t, ordinary.TryGrow(c, a.Class(c).Reserve), qt.IsTrue, qt.Commentf("%s", c))
			qt.Check(t, ordinary.TryGrow(c, mb), qt.IsFalse, qt.Commentf("%s", c))
		}
	}
	qt.Check(t, a.Usage().Used <= limit, qt.IsTrue)
}

// TestStalledCallerGivesWay guards against a caller that stops short of the end of what it
// sends, and keeps the memory that others need. One that sends is not aborted for them.
func TestStalledCallerGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(16 * mb)
		aborted := make(map[string]bool)
		hold := func(name string) *Holder {
			h := a.NewHolder(nil)
			h.abort = func() {
				aborted[name] = true
				go h.Close()
			}
			h.Progress()
			return h
		}
		stalled, sending := hold("stalled"), hold("sending")
		qt.Assert(t, stalled.TryGrow(LargeBodies, 5*mb), qt.IsTrue)
		qt.Assert(t, sending.TryGrow(LargeBodies, 5*mb), qt.IsTrue)
		time.Sleep(stallTime / 2)
		sending.Progress()
		began := time.Now()
		qt.Check(t, hold("new").Grow(t.Context(), LargeBodies, 5*mb), qt.IsNil)
		qt.Check(t, time.Since(began) <= stallTime/2+checkInterval, qt.IsTrue)
		qt.Check(t, aborted, qt.DeepEquals, map[string]bool{"stalled": true})
		qt.Check(t, stalled.TryGrow(Requests, 1), qt.IsFalse)
	})
}

// TestRequestIsRefusedIfMemoryStaysShort guards against requests that wait for memory
// without end, when no caller stalls.
func TestRequestIsRefusedIfMemoryStaysShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(16 * mb)
		target := a.NewHolder(func() { t.Error("aborted though it waits for nobody") })
		for target.TryGrow(SmallBodies, mb) {
		}
		began := time.Now()
		h := a.NewHolder(func() {})
		qt.Check(t, h.Grow(t.Context(), SmallBodies, mb), qt.ErrorIs, ErrNoMemory)
		qt.Check(t, time.Since(began) <= growthWait+checkInterval, qt.IsTrue)
		qt.Check(t, h.Aborted(), qt.IsTrue)
	})
}

// TestAnswerWaitsForCallersThatDoNotRead guards against answers that are lost since callers
// who do not read hold the memory: they wait, and those callers give way.
func TestAnswerWaitsForCallersThatDoNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(16 * mb)
		var unread []*Holder
		for {
			var h *Holder
			h = a.NewHolder(func() { go h.Close() })
			if !h.TryGrow(SmallAnswers, mb) {
				break
			}
			h.Progress()
			unread = append(unread, h)
			time.Sleep(time.Millisecond)
		}
		ordinary := a.NewHolder(func() { t.Error("the caller that waits for its answer is aborted") })
		qt.Check(t, a.Expects(SmallAnswers, mb), qt.IsTrue)
		qt.Check(t, ordinary.Grow(t.Context(), SmallAnswers, mb), qt.IsNil)
		qt.Check(t, unread[0].Aborted(), qt.IsTrue)

		for _, h := range unread {
			h.EndWait() // they read again
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		for ordinary.TryGrow(SmallAnswers, mb) {
		}
		qt.Check(t, ordinary.Grow(ctx, SmallAnswers, mb), qt.ErrorIs, context.DeadlineExceeded)
	})
}

// TestMovedMemoryIsReleasedOnce guards against memory that is counted twice or never: it
// moves to another Holder, is aborted, and is released after the Holder was closed.
func TestMovedMemoryIsReleasedOnce(t *testing.T) {
	a := New(16 * mb)
	reading, connection := a.NewHolder(func() {}), a.NewHolder(func() {})
	qt.Assert(t, reading.TryGrow(Requests, mb), qt.IsTrue)
	qt.Assert(t, reading.Move(connection, Requests, mb), qt.IsNil)
	reading.Close()
	qt.Check(t, a.Class(Requests).Used, qt.Equals, int64(mb))
	a.abort(connection)
	connection.Close()
	connection.Release(Requests, mb)
	connection.Add(Requests, mb)
	qt.Check(t, connection.Grow(t.Context(), Requests, mb), qt.ErrorIs, ErrNoMemory)
	qt.Check(t, a.Usage().Used, qt.Equals, int64(0))
	qt.Check(t, a.classes[Requests].freeing, qt.Equals, int64(0))
}

// TestGrowthEndsWhenItsCallerLeaves guards against growth that waits on for a caller that
// has left.
func TestGrowthEndsWhenItsCallerLeaves(t *testing.T) {
	a := New(1 << 20)
	a.NewHolder(nil).Add(Requests, 1<<20)
	h := a.NewHolder(func() {})
	h.WatchCaller(func() bool { return true })
	qt.Assert(t, h.Grow(t.Context(), Requests, 1<<10), qt.ErrorIs, ErrCallerLeft)
	qt.Assert(t, h.Used(Requests), qt.Equals, int64(0))
	qt.Assert(t, h.Aborted(), qt.IsFalse)
}
