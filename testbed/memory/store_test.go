package memory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
)

func TestCompareAndSwap(t *testing.T) {
	ctx := t.Context()
	s := NewStore()
	first, err := s.CompareAndSwap(ctx, "k", 0, []byte("one"), "")
	qt.Assert(t, err, qt.IsNil)
	second, err := s.CompareAndSwap(ctx, "k", first, []byte("two"), "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second > first, qt.IsTrue)

	_, err = s.CompareAndSwap(ctx, "k", first, []byte("three"), "")
	var conflict *platform.ConflictError
	qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
	qt.Assert(t, string(conflict.Current.Value), qt.Equals, "two")
	_, err = s.CompareAndSwap(ctx, "k", second, make([]byte, platform.MaxValueBytes+1), "")
	qt.Assert(t, errors.Is(err, platform.ErrTooLarge), qt.IsTrue)
	_, err = s.Get(ctx, "other")
	qt.Assert(t, errors.Is(err, platform.ErrNotFound), qt.IsTrue)
}

func TestLostReplyTakesEffect(t *testing.T) {
	ctx := t.Context()
	s := NewStore()
	s.SetFaults(Faults{LoseReplies: 1})
	_, err := s.CompareAndSwap(ctx, "k", 0, []byte("one"), "")
	qt.Assert(t, errors.Is(err, platform.ErrUnavailable), qt.IsTrue)
	e, err := s.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(e.Value), qt.Equals, "one")
}

func TestWatchSeesAWriteARestoreAndAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := NewStore()
		rev, err := s.CompareAndSwap(ctx, "k", 0, []byte("one"), "")
		qt.Assert(t, err, qt.IsNil)
		backup := s.Copy()
		steps := []struct {
			desc   string
			change func()
			want   string
			err    error
		}{
			{"write", func() { _, _ = s.CompareAndSwap(ctx, "k", rev, []byte("two"), "") }, "two", nil},
			{"restore", func() { s.Restore(backup) }, "one", nil},
			{"away", func() { s.SetFaults(Faults{Unavailable: true}) }, "", platform.ErrUnavailable},
		}
		for _, step := range steps {
			type result struct {
				entry platform.Entry
				err   error
			}
			got := make(chan result, 1)
			go func() {
				e, err := s.Watch(ctx, "k", rev)
				got <- result{e, err}
			}()
			synctest.Wait()
			qt.Assert(t, len(got), qt.Equals, 0, qt.Commentf(step.desc))
			step.change()
			r := <-got
			qt.Assert(t, errors.Is(r.err, step.err), qt.IsTrue, qt.Commentf(step.desc))
			qt.Assert(t, string(r.entry.Value), qt.Equals, step.want, qt.Commentf(step.desc))
			rev = r.entry.Revision
		}
		qt.Assert(t, s.Calls(), qt.Equals, Calls{CompareAndSwap: 2, Watch: 3})
	})
}

func TestLagDelaysReadsAndWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := NewStore()
		s.SetFaults(Faults{Lag: 3 * time.Second})
		start := time.Now()
		_, err := s.CompareAndSwap(ctx, "k", 0, []byte("one"), "")
		qt.Assert(t, err, qt.IsNil)
		_, err = s.Get(ctx, "k")
		qt.Assert(t, errors.Is(err, platform.ErrNotFound), qt.IsTrue)
		e, err := s.Watch(ctx, "k", 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(e.Value), qt.Equals, "one")
		qt.Assert(t, time.Since(start), qt.Equals, 3*time.Second)
	})
}

func TestLeaseLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := NewStore()
		id, err := s.Grant(ctx, 10*time.Second)
		qt.Assert(t, err, qt.IsNil)
		_, err = s.CompareAndSwap(ctx, "k", 0, []byte("one"), id)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(8 * time.Second)
		qt.Assert(t, s.KeepAlive(ctx, id), qt.IsNil)
		time.Sleep(8 * time.Second)
		_, err = s.Get(ctx, "k")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(3 * time.Second)
		_, err = s.Get(ctx, "k")
		qt.Assert(t, errors.Is(err, platform.ErrNotFound), qt.IsTrue)
		qt.Assert(t, errors.Is(s.KeepAlive(ctx, id), platform.ErrLeaseLapsed), qt.IsTrue)
	})
}

func TestSlowCallEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		s.SetFaults(Faults{Delay: time.Hour})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Get(ctx, "k")
		qt.Assert(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	})
}

func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewHostList(platform.Host{Name: "a"})
		l.SetFaults(Faults{Lag: 30 * time.Second})
		time.Sleep(time.Minute)
		l.SetHosts([]platform.Host{{Name: "b"}})
		hosts, err := l.Hosts(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, hosts[0].Name, qt.Equals, "a")
		time.Sleep(30 * time.Second)
		hosts, err = l.Hosts(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, hosts[0].Name, qt.Equals, "b")
	})
}
