package pool

import "time"

// healthySlots returns the usable slots of the targets in normal service,
// without those of the given target.
func (h *home) healthySlots(without *target) int {
	n := 0
	for _, t := range h.order {
		if t != without && t.healthy() {
			n += t.capacity()
		}
	}
	return n
}

// healthy says whether t's slots count as healthy capacity.
func (t *target) healthy() bool {
	return t.state == StateServing && t.listed
}

// floorAllows says whether the service keeps its floor without t.
func (h *home) floorAllows(t *target) bool {
	return h.healthySlots(t) >= h.cfg.FloorSlots
}

// holdInterval is the least time between two events that say that the same
// target stays because of the floor or of a common cause.
const holdReportInterval = 5 * time.Second
