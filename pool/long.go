package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
)

const (
	// typicalWindow is the number of latest answers over which the typical service
	// time is computed.
	typicalWindow = 256
	// typicalRefresh is the number of answers between two computations of it.
	typicalRefresh = 8
	// ownMeanMin is the number of answers from which on only a route's own mean decides
	// whether it is long.
	ownMeanMin = 3
	// loadHalfLife is the half-life of the moving sum of the short load.
	loadHalfLife = 2 * time.Second
	// waitRatio is how many times longer long work may make the wait of short work.
	waitRatio = 1.8
)

// class is the class of work that an attempt counts as. Long work is requests that
// take much longer than the typical request of the service. It may hold only a part
// of the slots, so that short work need not wait for it.
type class uint8

const (
	// classShort may use any slot.
	classShort class = iota
	// classUnknown is a request of a route without answers, while other routes have
	// some. It starts like short work, but on no more slots than long work may hold.
	classUnknown
	// classLong takes much longer than the typical request.
	classLong
	numClasses
)

// workload holds the statistics that tell long work from short, and the number of
// slots that long work may hold.
type workload struct {
	latencies []time.Duration
	next      int
	count     int
	// typical is the median service time of the service's requests.
	typical time.Duration
	// offeredWork is the decaying sum of the expected service times of short
	// attempts, as of offeredAt. firstOffered is when the first of them arrived.
	offeredWork  time.Duration
	offeredAt    time.Time
	firstOffered time.Time
	// shortMean is the moving mean of those times.
	shortMean time.Duration
	// longAllowed is the number of slots that long work may hold, as of longAllowedAt.
	longAllowed   int
	longAllowedAt time.Time
	// longEnded is when long work last released a slot.
	longEnded time.Time
	// running is the number of slots held by each class.
	running [numClasses]int
}

// addRunning adds n to the number of slots held by the class.
func (w *workload) addRunning(c class, n int) { w.running[c] += n }

// learnLatency records the latency of one complete answer.
func (w *workload) learnLatency(latency time.Duration) {
	if len(w.latencies) < typicalWindow {
		w.latencies = append(w.latencies, latency)
	} else {
		w.latencies[w.next] = latency
		w.next = (w.next + 1) % typicalWindow
	}
	w.count++
	if w.count%typicalRefresh == 0 {
		sorted := slices.Clone(w.latencies)
		slices.Sort(sorted)
		w.typical = sorted[len(sorted)/2]
	}
}

// addOffered records a short attempt with the given expected service time.
func (w *workload) addOffered(now time.Time, mean time.Duration) {
	if mean == 0 {
		return
	}
	if w.firstOffered.IsZero() {
		w.firstOffered = now
	}
	w.offeredWork = w.decayedOffered(now) + mean
	w.offeredAt = now
	w.shortMean += time.Duration(meanWeight * float64(mean-w.shortMean))
}

func (w *workload) decayedOffered(now time.Time) time.Duration {
	age := float64(now.Sub(w.offeredAt)) / float64(loadHalfLife)
	return time.Duration(float64(w.offeredWork) * math.Exp2(-age))
}

// shortLoadKnown reports whether the short load was observed for long enough.
func (w *workload) shortLoadKnown(now time.Time) bool {
	return !w.firstOffered.IsZero() && now.Sub(w.firstOffered) >= 2*loadHalfLife
}

// shortLoad returns the number of slots that short work keeps busy.
func (w *workload) shortLoad(now time.Time) float64 {
	observed := 1 - math.Exp2(-float64(now.Sub(w.firstOffered))/float64(loadHalfLife))
	if w.firstOffered.IsZero() || observed <= 0 {
		return 0
	}
	return float64(w.decayedOffered(now)) * math.Ln2 / float64(loadHalfLife) / observed
}

// classOf returns the class of the requests of r by what is known now.
func (h *home) classOf(r *route) class {
	mean := r.mean
	if r.count < ownMeanMin {
		mean = max(mean, r.overrun)
	}
	switch {
	case h.workload.typical == 0:
		return classShort
	case mean > h.longBound():
		return classLong
	case r.count == 0:
		return classUnknown
	default:
		return classShort
	}
}

// longBound returns the service time above which work counts as long.
func (h *home) longBound() time.Duration {
	return time.Duration(h.cfg.LongFactor * float64(h.workload.typical))
}

// reclassifyRunning classes running attempts as long once they have run for longer
// than longBound. It records that for routes with too few answers.
func (h *home) reclassifyRunning(now time.Time) {
	if h.workload.typical == 0 {
		return
	}
	for _, id := range sortedIDs(h.running) {
		a := h.running[id]
		age := now.Sub(a.started)
		if age <= h.longBound() {
			continue
		}
		if a.route.count < ownMeanMin {
			h.learnOverrun(now, a, age)
		}
		h.setClass(a, classLong)
	}
}

// setClass changes the class of a running attempt.
func (h *home) setClass(a *attempt, c class) {
	h.workload.addRunning(a.class, -1)
	h.workload.addRunning(c, 1)
	a.class = c
}

// learnOverrun records how long attempts of a route with too few answers run.
func (h *home) learnOverrun(now time.Time, a *attempt, age time.Duration) {
	if a.route.overrun == 0 {
		h.recordLongRoute(now, a, age)
	}
	a.route.overrun = max(a.route.overrun, age)
}

// reclassifyWaiting updates the class of waiting attempts, and refuses those that
// can no longer start in time.
func (h *home) reclassifyWaiting(now time.Time) {
	var ahead [numClasses]backlog
	for _, a := range slices.Clone(h.queue.inOrder(h.cfg.Order, now)) {
		a.class = h.classOf(a.route)
		if h.drainTime(now, a.class, ahead[a.class]) > h.remainingWait(now, a) {
			h.queue.remove(a.ID)
			h.refuse(now, a, Refusal{Reason: outcome.ReasonTooLate, RetryAfter: h.retryAfter(now, a)})
			continue
		}
		ahead[a.class].add(a)
	}
}

// remainingWait returns how much longer a may wait: for its slack, and as long work
// no longer than twice LongWait in all.
func (h *home) remainingWait(now time.Time, a *attempt) time.Duration {
	slack := a.slack(now)
	if a.class != classLong {
		return slack
	}
	return min(slack, 2*h.cfg.LongWait-now.Sub(a.submitted))
}

// drainTime returns how long the backlog of the class keeps the slots for that
// class busy. If long work has no slots, each attempt waits for LongWait first.
func (h *home) drainTime(now time.Time, c class, b backlog) time.Duration {
	if c == classLong && h.longSlots(now) == 0 {
		return b.work + time.Duration(b.attempts)*h.cfg.LongWait
	}
	return b.work / time.Duration(h.slotsFor(now, c))
}

// slotsFor returns the number of slots that the class can rely on, at least one.
func (h *home) slotsFor(now time.Time, c class) int {
	switch c {
	case classLong:
		return max(1, h.longSlots(now))
	case classUnknown:
		return max(1, h.longSlots(now))
	default:
		return max(1, h.usableSlots(nil)-h.workload.running[classLong])
	}
}

// classMayStart reports whether the limits on a's class allow it another slot.
func (h *home) classMayStart(now time.Time, a *attempt) bool {
	switch a.class {
	case classLong:
		return h.mayStartLong(now, a)
	case classUnknown:
		return h.workload.running[classUnknown]+h.workload.running[classLong] < max(1, h.longSlots(now))
	default:
		return true
	}
}

// recordLongRoute records that the requests of a route with too few answers are long.
func (h *home) recordLongRoute(now time.Time, a *attempt, age time.Duration) {
	h.recordEvent(now, a.target, event.KindTargetState, RuleLongRunning, event.Evidence{
		Latency: age, PeerLatency: h.workload.typical, Threshold: h.cfg.LongFactor,
		Detail: "requests of route " + a.route.name + " are taken as long",
	})
}

// maxLongSlots returns the number of slots that long work may hold at most.
func (h *home) maxLongSlots() int {
	return max(1, int(h.cfg.LongShare*float64(h.usableSlots(nil))))
}

// longSlots returns the number of slots that long work may hold now. It is
// recomputed once in tickInterval.
func (h *home) longSlots(now time.Time) int {
	if now.Sub(h.workload.longAllowedAt) >= tickInterval {
		h.workload.longAllowed = h.computeLongSlots(now)
		h.workload.longAllowedAt = now
	}
	return h.workload.longAllowed
}

// computeLongSlots returns the number of slots that long work may hold without
// lengthening the wait of short work beyond a limit: waitRatio times the wait
// without long work, or LongDelay if that is longer.
func (h *home) computeLongSlots(now time.Time) int {
	slots := h.usableSlots(nil)
	load := h.workload.shortLoad(now)
	maxWait := max(waitRatio*quantileWait(slots, load), h.longDelay())
	maxSlots := h.maxLongSlots()
	if !h.workload.shortLoadKnown(now) {
		maxSlots = 1
	}
	n := 0
	for n < maxSlots && quantileWait(slots-n-1, load) <= maxWait {
		n++
	}
	return n
}

// longDelay returns the wait that long work may always cause, in mean service
// times of short work.
func (h *home) longDelay() float64 {
	return float64(h.cfg.LongDelay) / float64(max(1, h.workload.shortMean))
}

// mayStartLong reports whether the long attempt may take a slot: a free one of
// those for long work, or a single slot once the attempt has waited for LongWait and
// no long work has run for as long.
func (h *home) mayStartLong(now time.Time, a *attempt) bool {
	running := h.workload.running[classLong]
	if running < h.longSlots(now) {
		return true
	}
	return running == 0 && now.Sub(a.submitted) >= h.cfg.LongWait && now.Sub(h.workload.longEnded) >= h.cfg.LongWait
}

// mostPacked returns the fit target that already runs the most long work, so that
// the other targets remain free of it.
func (h *home) mostPacked(now time.Time, a *attempt, fit func(*target) bool) *target {
	var best *target
	for _, t := range h.order {
		if t.free(now) == 0 || !fit(t) || slices.Contains(a.Exclude, t.Name) {
			continue
		}
		if best == nil || comparePacking(t, best) > 0 {
			best = t
		}
	}
	return best
}

// comparePacking compares targets by the long work that they run, then by how
// little else they run.
func comparePacking(t, other *target) int {
	return cmp.Or(
		cmp.Compare(t.longRunning(), other.longRunning()),
		cmp.Compare(other.inFlight(), t.inFlight()),
	)
}

func (t *target) longRunning() int {
	n := 0
	for _, a := range t.running {
		if a.class == classLong {
			n++
		}
	}
	return n
}
