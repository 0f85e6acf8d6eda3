package pool

import (
	"maps"
	"math"
	"time"
)

// callers records which callers recently sent requests, and how many slots each holds.
type callers struct {
	lastSeen map[string]time.Time
	// running is the number of slots that each caller holds.
	running map[string]int
	// lastPurge is when inactive callers were last removed from lastSeen.
	lastPurge time.Time
}

// slotTaken records that the caller took a slot.
func (c *callers) slotTaken(caller string) {
	if c.running == nil {
		c.running = make(map[string]int)
	}
	c.running[caller]++
}

// slotReleased records that the caller released a slot.
func (c *callers) slotReleased(caller string) {
	c.running[caller]--
	if c.running[caller] <= 0 {
		delete(c.running, caller)
	}
}

// requestSeen records a request of the caller.
func (c *callers) requestSeen(now time.Time, caller string) {
	if caller == "" {
		return
	}
	if c.lastSeen == nil {
		c.lastSeen = make(map[string]time.Time)
	}
	c.lastSeen[caller] = now
}

// purge removes callers that sent no request within callerActive.
func (c *callers) purge(now time.Time) {
	if now.Sub(c.lastPurge) < callerActive {
		return
	}
	c.lastPurge = now
	maps.DeleteFunc(c.lastSeen, func(_ string, at time.Time) bool { return now.Sub(at) > callerActive })
}

// othersActive reports whether another caller sent a request within callerActive.
func (c *callers) othersActive(now time.Time, caller string) bool {
	for name, at := range c.lastSeen {
		if name != caller && now.Sub(at) <= callerActive {
			return true
		}
	}
	return false
}

// exceedsQueueShare reports whether a's caller already has its share of the queue
// while other callers are active.
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
	maxAttempts := int(math.Ceil(h.cfg.CallerShare * float64(h.cfg.QueueLimit)))
	return float64(wait) > allowed || own.attempts >= maxAttempts
}

// callerMayStart reports whether a's caller may take another slot. A caller that
// holds its share of the slots has to wait while one below its share is waiting.
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
