package publish

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/fleet"
	"filbertmill.example/platform"
	"filbertmill.example/testbed/memory"
)

const (
	textA = "[service bookings]\nslots = 2\n\n[target b-1]\nservice = bookings\naddress = 127.0.0.1:1\navailability_zone = z1\n"
	textB = "[service bookings]\nslots = 3\n\n[target b-1]\nservice = bookings\naddress = 127.0.0.1:1\navailability_zone = z1\n"
)

// textWithException returns textA with an exception that has the given lines.
func textWithException(lines string) string {
	return textA + "\n[exception more]\nscope = service bookings\nkey = slots\nvalue = 4\n" + lines
}

func apply(t *testing.T, p *Publisher, base int64, text string) (fleet.Document, error) {
	t.Helper()
	return p.Apply(t.Context(), Change{File: "f.ini", Text: []byte(text), Base: base, Author: "ann"})
}

func TestApplyShowHistoryRollback(t *testing.T) {
	p := &Publisher{Store: memory.NewStore()}
	first, err := apply(t, p, 0, textA)
	qt.Assert(t, err, qt.IsNil)
	second, err := apply(t, p, 1, textB)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second.Previous, qt.Equals, first.Version)

	third, err := p.Rollback(t.Context(), 1, "bob", "", 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, third.Version.Revision, qt.Equals, int64(3))
	qt.Assert(t, string(third.Text), qt.Equals, textA)
	qt.Assert(t, third.Note, qt.Equals, "rollback to revision 1")

	list, err := p.History(t.Context(), 10)
	qt.Assert(t, err, qt.IsNil)
	var revisions []int64
	for _, d := range list {
		revisions = append(revisions, d.Version.Revision)
	}
	qt.Assert(t, revisions, qt.DeepEquals, []int64{3, 2, 1})
	_, err = p.Find(t.Context(), 9)
	qt.Assert(t, errors.Is(err, ErrNoRevision), qt.IsTrue)
}

func TestApplyRefusals(t *testing.T) {
	tests := []struct {
		desc string
		text string
		want string
	}{
		{"unknown key", "[service bookings]\nslotz = 2\n", `(?s)f\.ini:2.*slotz.*`},
		{"exception without a reason", textWithException("author = ann\n"), `(?s)f\.ini:.*reason.*`},
		{"exception without an author", textWithException("reason = heat wave\n"), `(?s)f\.ini:.*author.*`},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			p := &Publisher{Store: memory.NewStore()}
			_, err := apply(t, p, 0, test.text)
			var invalid *InvalidError
			qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, err, qt.ErrorMatches, test.want)
			_, err = p.Current(t.Context())
			qt.Assert(t, errors.Is(err, platform.ErrNotFound), qt.IsTrue)
		})
	}
	p := &Publisher{Store: memory.NewStore()}
	_, err := apply(t, p, 0, textWithException("author = ann\nreason = heat wave\n"))
	qt.Assert(t, err, qt.IsNil)
	_, err = p.Apply(t.Context(), Change{Text: []byte(textA), Base: 1})
	qt.Assert(t, errors.Is(err, ErrNoAuthor), qt.IsTrue)
}

func TestLoserOfTwoChangesSeesTheDifference(t *testing.T) {
	p := &Publisher{Store: memory.NewStore()}
	_, err := apply(t, p, 0, textA)
	qt.Assert(t, err, qt.IsNil)
	_, err = apply(t, p, 1, textB)
	qt.Assert(t, err, qt.IsNil)
	_, err = apply(t, p, 1, textWithException("author = ann\nreason = heat wave\n"))
	var changed *ChangedError
	qt.Assert(t, errors.As(err, &changed), qt.IsTrue)
	qt.Assert(t, changed.Differences, qt.HasLen, 1)
	qt.Assert(t, changed.Differences[0].String(), qt.Equals, "~ [service bookings] slots = 3 (was 2)")
	current, err := p.Current(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(current.Text), qt.Equals, textB)
}

func TestOnlyOneOfManyConcurrentChangesWins(t *testing.T) {
	p := &Publisher{Store: memory.NewStore()}
	_, err := apply(t, p, 0, textA)
	qt.Assert(t, err, qt.IsNil)
	var mu sync.Mutex
	var wg sync.WaitGroup
	won, lost := 0, 0
	for range 8 {
		wg.Go(func() {
			_, err := p.Apply(t.Context(), Change{Text: []byte(textB), Base: 1, Author: "ann"})
			var changed *ChangedError
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				won++
			}
			if errors.As(err, &changed) {
				lost++
			}
		})
	}
	wg.Wait()
	qt.Assert(t, []int{won, lost}, qt.DeepEquals, []int{1, 7})
}

// lostReply is a store that loses the reply to the first write of the newest
// version. It calls afterWrite, for example for the change of another operator,
// before the outcome of the write can be read.
type lostReply struct {
	*memory.Store
	takesEffect bool
	afterWrite  func()
	once        sync.Once
}

func (s *lostReply) CompareAndSwap(
	ctx context.Context, key string, old platform.Revision, value []byte, lease platform.LeaseID,
) (platform.Revision, error) {
	lose := false
	if key == fleet.ConfigurationKey {
		s.once.Do(func() { lose = true })
	}
	if !lose {
		return s.Store.CompareAndSwap(ctx, key, old, value, lease)
	}
	if s.takesEffect {
		_, _ = s.Store.CompareAndSwap(ctx, key, old, value, lease)
	}
	if s.afterWrite != nil {
		s.afterWrite()
	}
	return 0, platform.ErrUnavailable
}

// TestLostReplyIsSettled guards against a wrong report of whether a change was
// accepted when the reply to its write was lost.
func TestLostReplyIsSettled(t *testing.T) {
	tests := []struct {
		desc        string
		takesEffect bool
		other       bool
		wantAuthor  string
		wantErr     bool
	}{
		{"took effect", true, false, "ann", false},
		{"did not take effect", false, false, "ann", false},
		{"took effect and was changed again", true, true, "bob", false},
		{"did not take effect and another one won", false, true, "bob", true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.NewStore()
				plain := &Publisher{Store: store}
				_, err := apply(t, plain, 0, textA)
				qt.Assert(t, err, qt.IsNil)
				lossy := &lostReply{Store: store, takesEffect: test.takesEffect}
				if test.other {
					lossy.afterWrite = func() {
						h, err := plain.head(t.Context())
						qt.Check(t, err, qt.IsNil)
						_, err = plain.Apply(t.Context(), Change{
							Text: []byte(textA), Base: h.document.Version.Revision, Author: "bob",
						})
						qt.Check(t, err, qt.IsNil)
					}
				}
				_, err = apply(t, &Publisher{Store: lossy}, 1, textB)
				var changed *ChangedError
				qt.Assert(t, errors.As(err, &changed), qt.Equals, test.wantErr, qt.Commentf("%v", err))
				qt.Assert(t, err == nil, qt.Equals, !test.wantErr)
				current, err := plain.Current(t.Context())
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, current.Author, qt.Equals, test.wantAuthor)
			})
		})
	}
}

// TestUnavailableStoreIsReportedAsUnknownOutcome guards against reporting a
// change as refused when the store becomes unavailable before its outcome is
// known.
func TestUnavailableStoreIsReportedAsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore()
		p := &Publisher{Store: store}
		_, err := apply(t, p, 0, textA)
		qt.Assert(t, err, qt.IsNil)
		lossy := &lostReply{Store: store, takesEffect: true, afterWrite: func() {
			store.SetFaults(memory.Faults{Unavailable: true})
		}}
		_, err = apply(t, &Publisher{Store: lossy}, 1, textB)
		qt.Assert(t, errors.Is(err, ErrOutcomeUnknown), qt.IsTrue)
	})
}

// TestRevisionGoesAboveTheFleetAfterARestore guards against a change that the
// nodes ignore, because a restored store gives it a revision below the one in
// force.
func TestRevisionGoesAboveTheFleetAfterARestore(t *testing.T) {
	store := memory.NewStore()
	p := &Publisher{Store: store}
	_, err := apply(t, p, 0, textA)
	qt.Assert(t, err, qt.IsNil)
	backup := store.Copy()
	for base := int64(1); base < 5; base++ {
		_, err = apply(t, p, base, textB)
		qt.Assert(t, err, qt.IsNil)
	}
	store.Restore(backup)
	d, err := p.Apply(t.Context(), Change{Text: []byte(textB), Base: 1, Author: "ann", HighestInForce: 5})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, d.Version.Revision, qt.Equals, int64(6))
	qt.Assert(t, d.Previous.Revision, qt.Equals, int64(1))
}
