package pool

import (
	"maps"
	"math"
	"time"
)

// callers remembers which callers sent requests lately and hold slots.
type callers struct {
	lastSeen map[string]time.Time
	// running counts the slots that each caller holds.
	running map[string]int
	// cleared is when those not seen lately were last forgotten.
	lastPurge time.Time
}

// began notes that the caller took a slot.
func (c *callers) slotTaken(caller string) {
	if c.running == nil {
		c.running = make(map[string]int)
	}
	c.running[caller]++
}

// ended notes that the caller gave a slot back.
func (c *callers) slotReleased(caller string) {
	c.running[caller]--
	if c.running[caller] <= 0 {
		delete(c.running, caller)
	}
}

// saw notes a request of the caller.
func (c *callers) requestSeen(now time.Time, caller string) {
	if caller == "" {
		return
	}
	if c.lastSeen == nil {
		c.lastSeen = make(map[string]time.Time)
	}
	c.lastSeen[caller] = now
}

// forget drops callers that sent no request lately.
func (c *callers) purge(now time.Time) {
	if now.Sub(c.lastPurge) < callerActive {
		return
	}
	c.lastPurge = now
	maps.DeleteFunc(c.lastSeen, func(_ string, at time.Time) bool { return now.Sub(at) > callerActive })
}

// others says whether another caller sent a request lately.
func (c *callers) othersActive(now time.Time, caller string) bool {
	for name, at := range c.lastSeen {
		if name != caller && now.Sub(at) <= callerActive {
			return true
		}
	}
	return false
}

// callerHoldsShare says whether a's caller has as much waiting as it may have
// while others are present.
func (h *home) exceedsQueueShare(now time.Time, a *attempt) bool {
	if a.Caller == "" || h.cfg.CallerShare >= 1 || h.queue.len() == 0 {
		return false
	}
	own := h.queue.backlogOf(a.Caller, a.class)
	if own.attempts == 0 || !h.callers.othersActive(now, a.Caller) {
		return false
	}
	allowed := h.cfg.CallerShare * float64(h.allowedWait(now, a))
	wait := h.drainTime(now, a.class, own)
	places := int(math.Ceil(h.cfg.CallerShare * float64(h.cfg.QueueLimit)))
	return float64(wait) > allowed || own.attempts >= places
}

// mayStart says whether a's caller may take another slot: one that holds its
// share of them waits while others do.
func (h *home) callerMayStart(a *attempt) bool {
	if a.Caller == "" || h.cfg.CallerShare >= 1 {
		return true
	}
	share := int(math.Ceil(h.cfg.CallerShare * float64(h.usableSlots(nil))))
	if h.callerRunning(a.Caller) < share {
		return true
	}
	for _, other := range h.queue.waiting {
		if other.Caller != a.Caller && h.callerRunning(other.Caller) < share {
			return false
		}
	}
	return true
}

// callerRunning returns the number of slots that the caller holds.
func (h *home) callerRunning(caller string) int { return h.callers.running[caller] }
