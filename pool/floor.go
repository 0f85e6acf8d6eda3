package pool

import "time"

// healthySlots returns the healthy capacity: the usable slots of the targets in
// state serving, without those of the given target.
func (h *home) healthySlots(without *target) int {
	n := 0
	for _, t := range h.order {
		if t != without && t.healthy() {
			n += t.capacity()
		}
	}
	return n
}

// healthy reports whether t's slots count as healthy capacity.
func (t *target) healthy() bool {
	return t.state == StateServing && t.listed
}

// floorAllows reports whether the healthy capacity without t is at least the floor.
func (h *home) floorAllows(t *target) bool {
	return h.healthySlots(t) >= h.cfg.FloorSlots
}

// holdReportInterval is the least time between two events which report that the
// same target stays because of the floor or of a common cause.
const holdReportInterval = 5 * time.Second
