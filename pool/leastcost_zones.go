package pool

import "time"

// Traffic between availability zones is slower and costs money. A target of another zone
// is therefore dearer by what the transfer of the request and its answer costs there, and
// an attempt with a large transfer rather waits for a target of its own zone: as long as
// the wait costs less than the transfer, and the answer can still meet its objective. What
// a zone's own targets can't take in that time leaves the zone, and no more. Each attempt
// decides by itself, so that the share that leaves follows the load without steps.

const (
	// crossingCost is the cost of using a target in another availability zone, whatever
	// is transferred.
	crossingCost = 100 * time.Millisecond
	// megabyteCost is the cost of a megabyte between zones. No transfer costs more than
	// maxTransferCost: it must not outweigh that the targets of a zone are doubtful.
	megabyteCost    = 50 * time.Second
	maxTransferCost = time.Second
	megabyte        = 1 << 20
	// minTransferCost is the cost of a transfer from which on an attempt waits for a
	// target of its own zone. A smaller one is not worth the wait.
	minTransferCost = 500 * time.Millisecond
	// zoneWaitShare is the share of an attempt's spare time until its soft deadline for
	// which it waits. The rest is for a retry, and for work that takes longer than usual.
	zoneWaitShare = 0.5
	// learnBytesShare is the weight of the latest answer in the usual size of a route's
	// transfers.
	learnBytesShare = 0.1
)

// learnBytes updates the usual size of the transfers of a route.
func (s *leastCost) learnBytes(route string, bytes int64) {
	if bytes <= 0 {
		return
	}
	old, known := s.usualBytes[route]
	if !known {
		s.usualBytes[route] = float64(bytes)
		return
	}
	s.usualBytes[route] = old + learnBytesShare*(float64(bytes)-old)
}

// transferCost returns the cost of transferring an attempt's request and answer between
// zones.
func (s *leastCost) transferCost(a *leastCostAttempt) time.Duration {
	return min(time.Duration(s.usualBytes[a.Route]/megabyte*float64(megabyteCost)), maxTransferCost)
}

// zoneCost returns the cost of the way to t for a.
func (s *leastCost) zoneCost(a *leastCostAttempt, t *leastCostTarget) time.Duration {
	if a.AvailabilityZone == t.AvailabilityZone {
		return 0
	}
	return crossingCost + s.transferCost(a)
}

// staysInZone reports whether a does not use t, because it rather waits for a target of
// its own zone with a risk up to the limit.
func (s *leastCost) staysInZone(r *round, a *leastCostAttempt, t *leastCostTarget, limit float64) bool {
	if a.AvailabilityZone == t.AvailabilityZone {
		return false
	}
	cost := s.transferCost(a)
	return cost >= minTransferCost && r.now.Before(s.zoneWaitUntil(a, cost)) && s.zoneHasTargetWithin(r, a.AvailabilityZone, limit)
}

// zoneWaitUntil returns until when a waits for a target of its own zone if a transfer
// between zones has the given cost.
func (s *leastCost) zoneWaitUntil(a *leastCostAttempt, cost time.Duration) time.Time {
	spare := a.SoftDeadline.Sub(a.submitted) - s.latency(a.Route)
	return a.submitted.Add(min(cost, time.Duration(zoneWaitShare*float64(spare))))
}

// zoneHasTargetWithin reports whether a usable target of a zone with a risk up to the
// limit has no free slot, so that one will be free there.
func (s *leastCost) zoneHasTargetWithin(r *round, zone string, limit float64) bool {
	key := zoneLimit{zone, limit}
	has, known := r.zoneWithin[key]
	if known {
		return has
	}
	for _, t := range s.order {
		if t.AvailabilityZone == zone && t.usable() && t.free(r.now) == 0 && !t.awaitsPermit(r.now) && s.riskOf(r, t) <= limit {
			has = true
			break
		}
	}
	r.zoneWithin[key] = has
	return has
}

// zoneLimit is a zone and a limit of the risk of its targets.
type zoneLimit struct {
	zone  string
	limit float64
}

// waitsForZone reports whether a has to wait since an attempt ahead of it, with the same
// zone, waits for a target there.
func (s *leastCost) waitsForZone(r *round, a *leastCostAttempt) bool {
	if !r.zoneWaits[a.AvailabilityZone] {
		return false
	}
	cost := s.transferCost(a)
	return cost >= minTransferCost && r.now.Before(s.zoneWaitUntil(a, cost))
}

// avoidsZoneOf reports whether a is not sent to t just to learn about t, since t is in
// another zone and the transfer is large.
func (s *leastCost) avoidsZoneOf(a *leastCostAttempt, t *leastCostTarget) bool {
	return a.AvailabilityZone != t.AvailabilityZone && s.transferCost(a) >= minTransferCost
}
