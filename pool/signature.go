package pool

import "time"

// failureKind is a way in which an attempt fails on a target.
type failureKind int

const (
	noFailure failureKind = iota
	failureReset
	failureHang
	failureError
	failureTruncated
	failureUnreachable
	failureKinds
)

const (
	// followWindow is the time after a failure in which further attempts on the same
	// target show whether the failure foretold others.
	followWindow = time.Second
	// followSamples is the number of attempts over which a follow rate is averaged.
	// priorSamples is the weight of its prior, as a number of attempts.
	followSamples = 60
	priorSamples  = 4
	// foretellsFault is the probability of a fault from which on a kind of failure is
	// assumed to last for faultHold.
	foretellsFault = 0.5
	// usualFaulty is the usual probability that a target is faulty when it is chosen.
	// The likelihood ratio of a failure is relative to it.
	usualFaulty = 0.05
	// maxRatio bounds the likelihood ratio of a single failure.
	maxRatio = 100
	// maxFaulty bounds the probability of a fault after a single failure.
	maxFaulty = 0.95
	// faultSamples is the number of failures over which the shares of the kinds in
	// all faults are averaged.
	faultSamples = 40
	// historyTime is how long ended attempts of a target are kept, so that one that
	// hung finds its follower. maxHistory limits their number.
	historyTime = 5 * time.Second
	maxHistory  = 24
)

// faultyPriors are the probabilities that a target is faulty after a failure of each
// kind, as assumed before any attempt followed one.
var faultyPriors = [failureKinds]float64{
	failureReset: 0.87, failureHang: 0.87, failureError: 0.156, failureTruncated: 0.156, failureUnreachable: 0.286,
}

// faultPriors are the assumed numbers of faults of each kind before any was seen. Hangs
// have more, because they are noticed late unless they are expected.
var faultPriors = [failureKinds]float64{
	failureReset: 1, failureHang: 2, failureError: 0.5, failureTruncated: 0.5, failureUnreachable: 0.5,
}

// cleanPrior is the assumed share of failures on targets without a recent failure.
const cleanPrior = 0.03

// signature is how the targets of one service fail: for each kind of failure, how
// strongly one failure foretells the next on the same target. A kind that occurs at
// random foretells nothing, nor does one that all targets share.
type signature struct {
	// following has, by kind, the attempts that followed a failure on the same
	// target within followWindow. clean has those that followed none.
	following [failureKinds]rate
	clean     rate
	// faults has, by kind, the sum of the probabilities that a failure belonged to a
	// fault.
	faults [failureKinds]float64
}

// rate is a moving share of failures.
type rate struct{ samples, failures float64 }

func (r *rate) add(failed bool) {
	if r.samples >= followSamples {
		r.failures *= (followSamples - 1) / r.samples
		r.samples = followSamples - 1
	}
	r.samples++
	if failed {
		r.failures++
	}
}

// mean returns the share of failures, given its prior.
func (r rate) mean(prior float64) float64 {
	return (r.failures + priorSamples*prior) / (r.samples + priorSamples)
}

// endedAttempt is an attempt that has ended on a target.
type endedAttempt struct {
	started time.Time
	failure failureKind
}

// targetHistory contains the latest ended attempts of a target.
type targetHistory []endedAttempt

// record learns from the end of an attempt. Each failure is paired with the attempt
// that started next on the same target, whichever of the two ends first.
func (g *signature) record(now time.Time, h *targetHistory, e endedAttempt) {
	if before, ok := h.before(e.started); ok && before.failure != noFailure {
		g.following[before.failure].add(e.failure != noFailure)
	} else {
		g.clean.add(e.failure != noFailure)
	}
	if e.failure != noFailure {
		if after, ok := h.after(e.started); ok {
			g.following[e.failure].add(after.failure != noFailure)
		}
		g.addFault(e.failure)
	}
	h.add(now, e)
}

// addFault counts a failure, as far as it belongs to a fault.
func (g *signature) addFault(k failureKind) {
	total := 0.0
	for _, n := range g.faults {
		total += n
	}
	if total >= faultSamples {
		for i := range g.faults {
			g.faults[i] *= (faultSamples - 1) / total
		}
	}
	g.faults[k] += g.faulty(k)
}

// before returns the latest attempt that started before the given time, within
// followWindow.
func (h targetHistory) before(at time.Time) (latest endedAttempt, ok bool) {
	for _, e := range h {
		if between := at.Sub(e.started); between > 0 && between <= followWindow && (!ok || e.started.After(latest.started)) {
			latest, ok = e, true
		}
	}
	return latest, ok
}

// after returns the first attempt that started after the given time, within
// followWindow.
func (h targetHistory) after(at time.Time) (first endedAttempt, ok bool) {
	for _, e := range h {
		if between := e.started.Sub(at); between > 0 && between <= followWindow && (!ok || e.started.Before(first.started)) {
			first, ok = e, true
		}
	}
	return first, ok
}

// add adds an attempt and drops those that are too old to be followed.
func (h *targetHistory) add(now time.Time, e endedAttempt) {
	kept := (*h)[:0]
	for _, other := range *h {
		if now.Sub(other.started) <= historyTime {
			kept = append(kept, other)
		}
	}
	if len(kept) >= maxHistory {
		kept = append(kept[:0], kept[1:]...)
	}
	*h = append(kept, e)
}

// faulty returns the probability that a target is faulty after one failure of a kind.
// As long as no attempt has followed such a failure, that is its prior, however many
// clean targets fail.
func (g *signature) faulty(k failureKind) float64 {
	clean := min(g.clean.mean(cleanPrior), failureShare/2)
	prior := clean + faultyPriors[k]*(failureShare-clean)
	p := (g.following[k].mean(prior) - clean) / (failureShare - clean)
	return min(max(p, usualFaulty), maxFaulty)
}

// ratio returns the likelihood ratio of a failure of the given kind.
func (g *signature) ratio(k failureKind) float64 {
	return min(odds(g.faulty(k))/odds(usualFaulty), maxRatio)
}

// hangShare returns the share of attempts that a faulty target leaves unanswered.
func (g *signature) hangShare() float64 {
	total := 0.0
	for k, n := range g.faults {
		total += n + faultPriors[k]
	}
	return failureShare * (g.faults[failureHang] + faultPriors[failureHang]) / total
}

func odds(p float64) float64 { return p / (1 - p) }

// failureOf returns the kind of failure by which an attempt ended. An overdue attempt
// that was cancelled counts as a hang. ok is false if the end says nothing about the
// target.
func failureOf(v Verdict, overdue bool) (kind failureKind, ok bool) {
	switch v {
	case VerdictAnswered:
		return noFailure, true
	case VerdictServerError:
		return failureError, true
	case VerdictReset:
		return failureReset, true
	case VerdictTruncated:
		return failureTruncated, true
	case VerdictUnreachable:
		return failureUnreachable, true
	case VerdictTimeout:
		return failureHang, true
	case VerdictCancelled:
		return failureHang, overdue
	}
	return noFailure, false
}
