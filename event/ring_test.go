package event

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)

// numbered returns the n-th event of a test, with a service, target and time
// that follow from n.
func numbered(n int) Event {
	return Event{
		Time: start.Add(time.Duration(n) * time.Second), Kind: KindRetry,
		Request: fmt.Sprint(n), Service: fmt.Sprintf("s%d", n%2), Target: fmt.Sprintf("t%d", n%3),
	}
}

func requestIDs(events []Event) []string {
	var ids []string
	for _, e := range events {
		ids = append(ids, e.Request)
	}
	return ids
}

func TestRingFind(t *testing.T) {
	r := NewRing(16)
	for n := range 10 {
		r.Emit(numbered(n))
	}
	for _, test := range []struct {
		desc  string
		query Query
		want  []string
	}{
		{"all that is kept", Query{}, []string{"2", "3", "4", "5", "6", "7", "8", "9"}},
		{"one service", Query{Service: "s1"}, []string{"3", "5", "7", "9"}},
		{"one target", Query{Target: "t0"}, []string{"3", "6", "9"}},
		{"one request", Query{Request: "4"}, []string{"4"}},
		{"overwritten request", Query{Request: "1"}, nil},
		{"since, inclusive", Query{Since: start.Add(8 * time.Second)}, []string{"8", "9"}},
		{"service and target", Query{Service: "s1", Target: "t0"}, []string{"3", "9"}},
		{"other kind", Query{Kinds: []Kind{KindPoison}}, nil},
		{"one of the kinds", Query{Kinds: []Kind{KindPoison, KindRetry}, Request: "5"}, []string{"5"}},
		{"latest up to a limit", Query{Service: "s0", Limit: 2}, []string{"6", "8"}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			a := r.Find(test.query)
			qt.Assert(t, requestIDs(a.Events), qt.DeepEquals, test.want)
			qt.Assert(t, a.Overwritten, qt.Equals, uint64(2))
		})
	}
}

func TestRingManyGoroutines(t *testing.T) {
	const writers, each = 4, 100
	r := NewRing(2 * writers * each)
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for n := range each {
				r.Emit(Event{Node: fmt.Sprint(w), Evidence: Evidence{Samples: n}})
				r.Find(Query{Limit: 1})
			}
		})
	}
	wg.Wait()
	last := map[string]int{}
	for _, e := range r.Find(Query{}).Events {
		qt.Assert(t, e.Evidence.Samples, qt.Equals, last[e.Node], qt.Commentf("order of writer %s", e.Node))
		last[e.Node]++
	}
	qt.Assert(t, last, qt.DeepEquals, map[string]int{"0": each, "1": each, "2": each, "3": each})
}

func TestRefusalsDoNotDisplaceEjections(t *testing.T) {
	r := NewRing(4)
	r.Emit(Event{Kind: KindEjection, Request: "first"})
	for n := range 10 {
		r.Emit(Event{Kind: KindRefusal, Request: fmt.Sprint(n)})
	}
	r.Emit(Event{Kind: KindReturn, Request: "last"})
	a := r.Find(Query{})
	qt.Assert(t, requestIDs(a.Events), qt.DeepEquals, []string{"first", "8", "9", "last"})
	qt.Assert(t, a.Overwritten, qt.Equals, uint64(8))
}

func TestMerge(t *testing.T) {
	a := QueryResult{Events: []Event{numbered(1), numbered(4)}}
	b := QueryResult{Events: []Event{numbered(2), numbered(3)}}
	qt.Assert(t, requestIDs(Merge([]QueryResult{a, b}, 0)), qt.DeepEquals, []string{"1", "2", "3", "4"})
	qt.Assert(t, requestIDs(Merge([]QueryResult{a, b}, 2)), qt.DeepEquals, []string{"3", "4"})
}
