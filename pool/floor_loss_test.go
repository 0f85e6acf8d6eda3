package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Half of the targets lose a part of their answers for 4 s, so that the service loses
// many of its bookings. Some of the others fail by themselves for the first two to
// three seconds and are sound from then on. At any moment 0.7 of the targets that are
// not disrupted, and whose last failure is over 2 s ago, must have been used within
// 2 s: a booking has to go to a target that failed lately rather than leave it unused.
// The floor counts the requests of some hosts only, which may lose more than others:
// while 0.07 of all is lost, a tenth of theirs may be.
func TestFloorHoldsWhileMuchIsLost(t *testing.T) {
	const (
		targets, disrupted, failedAtStart = 60, 45, 8
		floorShare, lossMin, lossMax      = 0.7, 0.07, 0.5
		floorWindow                       = 2 * time.Second
		interval                          = 5 * time.Millisecond
		work                              = 140 * time.Millisecond
		loseFrom, loseTo                  = 500 * time.Millisecond, 4500 * time.Millisecond
	)
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := newRecorder()
		s := NewLeastCost(Config{Service: "s"}, r, seed).(*leastCost)
		var list []Target
		number := make(map[string]int)
		for i := range targets {
			name := fmt.Sprintf("t%02d", i)
			number[name] = i
			list = append(list, Target{Name: name, Slots: 2})
		}
		s.SetTargets(epoch, list)
		soundFrom := make(map[int]time.Duration)
		for i := disrupted; i < disrupted+failedAtStart; i++ {
			soundFrom[i] = 2*time.Second + time.Duration(rng.Int64N(int64(time.Second)))
		}
		fails := func(i int, since time.Duration) bool {
			if i < disrupted {
				return since > loseFrom && since < loseTo && rng.Float64() < 0.4
			}
			return since < soundFrom[i]
		}
		used, lastFailure := make(map[int]time.Time), make(map[int]time.Time)
		type end struct {
			id  RequestID
			at  time.Time
			res Result
		}
		var ends []end
		var submitted []RequestID
		var lost, all []time.Time
		checked := 0
		for now := epoch; now.Before(epoch.Add(6 * time.Second)); now = now.Add(interval) {
			since := now.Sub(epoch)
			ends = slices.DeleteFunc(ends, func(e end) bool {
				if e.at.After(now) {
					return false
				}
				all = append(all, now)
				if e.res.Verdict != VerdictAnswered {
					lastFailure[number[r.started[e.id]]] = now
					lost = append(lost, now)
				}
				s.Finish(now, e.id, e.res)
				return true
			})
			s.Tick(now)
			id := RequestID(since/interval) + 1
			s.Submit(now, unsafeRequest(id, now))
			submitted = append(submitted, id)
			submitted = slices.DeleteFunc(submitted, func(id RequestID) bool {
				name, started := r.started[id]
				if !started {
					return false
				}
				i := number[name]
				used[i] = now
				e := end{id, now.Add(work), Result{Verdict: VerdictAnswered, Latency: work}}
				if fails(i, since) {
					e = end{id, now.Add(interval), Result{Verdict: VerdictReset, Latency: interval}}
				}
				ends = append(ends, e)
				return true
			})

			from := now.Add(-floorWindow)
			share := float64(countSince(lost, from)) / float64(max(1, countSince(all, from)))
			if since < floorWindow || share < lossMin || share > lossMax {
				continue
			}
			sound, inUse := 0, 0
			for i := disrupted; i < targets; i++ {
				if f, failed := lastFailure[i]; failed && now.Sub(f) < floorWindow {
					continue
				}
				sound++
				if now.Sub(used[i]) <= floorWindow {
					inUse++
				}
			}
			checked++
			qt.Assert(t, float64(inUse) >= floorShare*float64(sound), qt.IsTrue,
				qt.Commentf("seed %d, %s: %d of %d sound targets in use, %.0f%% lost", seed, since, inUse, sound, 100*share))
		}
		qt.Check(t, checked > 0, qt.IsTrue, qt.Commentf("seed %d: the loss was never in the range", seed))
	}
}

// countSince returns how many of the times, which are in order, are not before start.
func countSince(times []time.Time, start time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && !times[i].Before(start); i-- {
		n++
	}
	return n
}
