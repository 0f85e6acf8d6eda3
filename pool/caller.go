package pool

import (
	"maps"
	"math"
	"time"
)

// callers remembers which callers sent requests lately and hold slots.
type callers struct {
	seen map[string]time.Time
	// running counts the slots that each caller holds.
	running map[string]int
	// cleared is when those not seen lately were last forgotten.
	cleared time.Time
}

// began notes that the caller took a slot.
func (c *callers) began(caller string) {
	if c.running == nil {
		c.running = make(map[string]int)
	}
	c.running[caller]++
}

// ended notes that the caller gave a slot back.
func (c *callers) ended(caller string) {
	c.running[caller]--
	if c.running[caller] <= 0 {
		delete(c.running, caller)
	}
}

// saw notes a request of the caller.
func (c *callers) saw(now time.Time, caller string) {
	if caller == "" {
		return
	}
	if c.seen == nil {
		c.seen = make(map[string]time.Time)
	}
	c.seen[caller] = now
}

// forget drops callers that sent no request lately.
func (c *callers) forget(now time.Time) {
	if now.Sub(c.cleared) < callerActive {
		return
	}
	c.cleared = now
	maps.DeleteFunc(c.seen, func(_ string, at time.Time) bool { return now.Sub(at) > callerActive })
}

// others says whether another caller sent a request lately.
func (c *callers) others(now time.Time, caller string) bool {
	for name, at := range c.seen {
		if name != caller && now.Sub(at) <= callerActive {
			return true
		}
	}
	return false
}

// callerHoldsShare says whether a's caller has as much waiting as it may have
// while others are present.
func (h *home) callerHoldsShare(now time.Time, a *attempt) bool {
	if a.Caller == "" || h.cfg.CallerShare >= 1 || h.queue.len() == 0 {
		return false
	}
	own := h.queue.backlogOf(a.Caller, a.class)
	if own.attempts == 0 || !h.callers.others(now, a.Caller) {
		return false
	}
	allowed := h.cfg.CallerShare * float64(h.allowedWait(now, a))
	wait := h.drainTime(now, a.class, own)
	places := int(math.Ceil(h.cfg.CallerShare * float64(h.cfg.QueueLimit)))
	return float64(wait) > allowed || own.attempts >= places
}

// mayStart says whether a's caller may take another slot: one that holds its
// share of them waits while others do.
func (h *home) mayStart(a *attempt) bool {
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
