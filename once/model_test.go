package once_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

// modelConfig returns settings with short times, so that they expire in runs of the
// model.
func modelConfig() once.Config {
	cfg := once.DefaultConfig()
	cfg.Retention = 20 * time.Second
	cfg.SealTimeout = 3 * time.Second
	cfg.MaxKeys = 6
	return cfg
}

// TestModel interleaves the steps of homes, witnesses and the store at random.
// Messages are delayed, reordered and lost, store writes take effect without a reply,
// nodes restart without their memory, and time passes between any two steps. A
// suspended node is a node whose messages wait.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(modelConfig(), "a", "b", "c", "d")
		check := func(t *rapid.T) {
			for _, f := range w.faults {
				t.Fatalf("%s", f)
			}
		}
		node := rapid.SampledFrom(w.names())
		// Rapid prefers small numbers, so mostly one of the oldest actions is picked
		// and runs make progress.
		pick := func(t *rapid.T) int {
			if len(w.actions) == 0 {
				t.Skip("nothing is in flight")
			}
			return rapid.IntRange(0, len(w.actions)-1).Draw(t, "action")
		}
		deliver := func(t *rapid.T) { w.deliver(pick(t)) }
		t.Repeat(map[string]func(*rapid.T){
			"": check,
			"submit": func(t *rapid.T) {
				key := once.Key(fmt.Sprint("k", rapid.IntRange(0, 7).Draw(t, "key")))
				body := byte(0)
				if rapid.IntRange(0, 9).Draw(t, "other body") == 0 {
					body = 1
				}
				w.submit(node.Draw(t, "node"), key, body)
			},
			"follow": func(t *rapid.T) {
				if w.lastID == 0 {
					t.Skip("nothing was sent")
				}
				id := once.RequestID(rapid.Uint64Range(1, uint64(w.lastID)).Draw(t, "request"))
				s := w.sent[id]
				if s.answer == nil || s.answer.Home == "" {
					t.Skip("the request was not handed over")
				}
				w.submitAfter(s.answer.Home, s.key, s.digest[0], s.answer.AbandonedClaim)
			},
			"deliver":       deliver,
			"deliver again": deliver,
			"deliver some": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "steps") {
					if len(w.actions) > 0 {
						w.deliver(pick(t))
					}
				}
			},
			"deliver all":  func(*rapid.T) { w.settle() },
			"without some": func(t *rapid.T) { w.settleWithout(node.Draw(t, "node")) },
			"without the store": func(t *rapid.T) {
				w.advanceWithout(time.Second, "store")
			},
			"lose":    func(t *rapid.T) { w.lose(pick(t)) },
			"restart": func(t *rapid.T) { w.restart(node.Draw(t, "node")) },
			"finish": func(t *rapid.T) {
				n := w.nodes[node.Draw(t, "node")]
				if len(n.running) == 0 {
					t.Skip("no request is running")
				}
				id := rapid.SampledFrom(n.running).Draw(t, "request")
				w.finish(id, rapid.SampledFrom([]once.Result{
					answeredResult(w.sent[id].digest[0]),
					failedResult(outcome.ReasonConnectionLost),
					failedResult(outcome.ReasonQueueFull),
				}).Draw(t, "result"))
			},
			"cancel": func(t *rapid.T) {
				if w.lastID == 0 {
					t.Skip("nothing was sent")
				}
				id := once.RequestID(rapid.Uint64Range(1, uint64(w.lastID)).Draw(t, "request"))
				s := w.sent[id]
				if s.answer == nil && !w.isRunning(id) && !w.cancelled[id] {
					w.cancel(id)
				}
			},
			"leave": func(t *rapid.T) {
				n := w.nodes[node.Draw(t, "node")]
				n.leaving = !n.leaving
				n.witness.SetLeaving(n.leaving)
				if n.leaving {
					n.home.SetLeaving(w.now)
				}
			},
			"time": func(t *rapid.T) {
				steps := rapid.SampledFrom([]int{1, 5, 10, 30, 200}).Draw(t, "steps")
				w.now = w.now.Add(time.Duration(steps) * 100 * time.Millisecond)
				w.tick()
			},
		})
	})
}
