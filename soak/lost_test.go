package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/testbed/backend"
)

// TestLost judges one request to a node that got SIGTERM at 10 s, around the
// exclusions of the rule.
func TestLost(t *testing.T) {
	const lost, kept = true, false
	answered := backend.Arrival{Request: "r", Target: "t", At: at(11), End: backend.Answered, Ended: at(12)}
	hung := backend.Arrival{Request: "r", Target: "t", At: at(11), End: backend.CallerLeft, Ended: at(15.6)}
	tests := map[string]struct {
		spoil func(h *history, c *call)
		want  bool
	}{
		"a target had answered": {func(h *history, _ *call) { h.arrivals = []backend.Arrival{answered} }, lost},
		"outside planned work": {func(h *history, _ *call) {
			h.arrivals, h.planned = []backend.Arrival{answered}, nil
		}, lost},
		"the target broke off": {func(h *history, _ *call) {
			h.arrivals = []backend.Arrival{answered}
			h.arrivals[0].End = backend.TargetClosed
		}, kept},
		"another target had broken off": {func(h *history, _ *call) {
			first := answered
			first.End = backend.TargetClosed
			h.arrivals = []backend.Arrival{first, answered}
		}, lost},
		"the target was at work in the last sixth": {func(h *history, _ *call) { h.arrivals = []backend.Arrival{hung} }, kept},
		"the target was broken off earlier": {func(h *history, _ *call) {
			h.arrivals = []backend.Arrival{hung}
			h.arrivals[0].Ended = at(14.9)
		}, lost},
		"sent late and at work to the end": {func(h *history, c *call) {
			h.arrivals = []backend.Arrival{hung}
			c.sent, c.whole = at(13.1), at(13.1)
		}, lost},
		"its time was up":     {func(h *history, c *call) { h.arrivals = []backend.Arrival{answered}; c.whole = at(9.5) }, kept},
		"a fault of the node": {func(h *history, _ *call) { h.arrivals = []backend.Arrival{answered}; h.disturbed(killNode, "n", at(6)) }, kept},
		"a fault of the node while its caller paused": {func(h *history, c *call) {
			h.arrivals = []backend.Arrival{answered}
			c.noticed = at(17)
			h.disturbed(killNode, "n", at(16))
		}, kept},
		"a fault of another": {func(h *history, _ *call) { h.arrivals = []backend.Arrival{answered}; h.disturbed(killNode, "m", at(6)) }, lost},
		"a fault of the store": {func(h *history, _ *call) {
			h.arrivals = []backend.Arrival{answered}
			h.disturbed(storeAway, theStore, at(12))
		}, lost},
		"a fault of the target": {func(h *history, _ *call) {
			h.arrivals = []backend.Arrival{answered}
			h.disturbed(targetHangs, "t", at(6))
		}, kept},
		"the caller left":        {func(h *history, c *call) { h.arrivals = []backend.Arrival{answered}; c.left = true }, kept},
		"not sent whole":         {func(_ *history, c *call) { c.whole = time.Time{} }, kept},
		"no target had it":       {func(*history, *call) {}, lost},
		"it crossed the end":     {func(_ *history, c *call) { c.whole = at(15.5) }, kept},
		"behind and not read":    {func(_ *history, c *call) { c.behind = true }, kept},
		"behind and passed on":   {func(h *history, c *call) { h.arrivals = []backend.Arrival{answered}; c.behind = true }, lost},
		"unread without a cause": {func(h *history, _ *call) { h.planned = nil }, kept},
		"unread after a reload": {func(h *history, _ *call) {
			h.planned = []span{{kind: reloadNode, node: "n", life: 1, from: at(10), to: at(12)}}
		}, lost},
		"unread beside a configuration": {func(h *history, c *call) {
			h.planned = []span{{kind: configure, from: at(10), to: at(20)}}
			c.patience = slowPatience
		}, lost},
		"answered in place of a target at work": {func(h *history, c *call) {
			h.arrivals = []backend.Arrival{hung}
			h.arrivals[0].Ended = at(14.9)
			c.status, c.own, c.ended = 502, true, at(14.9)
		}, lost},
		"answered in place of one in the last sixth": {func(h *history, c *call) {
			h.arrivals = []backend.Arrival{hung}
			c.status, c.own = 502, true
		}, kept},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := &history{planned: []span{{kind: stopNode, node: "n", life: 1, from: at(10), to: at(17)}}}
			c := call{
				id: "r", route: "slow", node: "n", life: 1, patience: slowPatience,
				sent: at(10.9), whole: at(10.9), ended: at(15.6),
			}
			tt.spoil(h, &c)
			h.calls = []call{c}
			qt.Check(t, len(checkLost(h)) > 0, qt.Equals, tt.want)
		})
	}
}

// TestBooks compares the counts of one process with what callers saw.
func TestBooks(t *testing.T) {
	sound := func() (*book, tally) {
		return &book{read: 8, answered: 5, unanswered: 1, unwritten: 2, written: map[string]bool{"gone": true}},
			tally{answered: 4, left: []string{"gone", "unread"}, cut: []call{{id: "late"}}}
	}
	tests := map[string]struct {
		spoil func(*book, *tally)
		want  string
	}{
		"a request not accounted for": {func(b *book, _ *tally) { b.read++ }, promiseSum},
		"an answer not received":      {func(b *book, _ *tally) { b.read, b.answered = 9, 6 }, promiseBooks},
		"an answer not counted":       {func(_ *book, t *tally) { t.answered++ }, promiseBooks},
		"an answer lost on its way": {func(b *book, t *tally) {
			t.answered--
			b.written["late"] = true
		}, promiseLost},
		"an answer lost on a slow link": {func(b *book, t *tally) {
			t.answered--
			t.cut[0].slow = true
			b.written["late"] = true
		}, promiseLostSlow},
	}
	b, seen := sound()
	qt.Assert(t, b.compare(life{"n", 1}, seen), qt.HasLen, 0)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, seen := sound()
			tt.spoil(b, &seen)
			broken := b.compare(life{"n", 1}, seen)
			qt.Assert(t, broken, qt.HasLen, 1)
			qt.Check(t, broken[0].promise, qt.Equals, tt.want)
		})
	}
}
