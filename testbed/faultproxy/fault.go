package faultproxy

import "time"

// Direction is one way through a proxy.
type Direction uint8

// The two directions.
const (
	// ToUpstream is the way of requests.
	ToUpstream Direction = iota
	// ToCaller is the way of answers.
	ToCaller
	directions
)

// Fault is what happens to the bytes of one direction. The zero value lets
// them pass at once.
type Fault struct {
	// Delay is added to each segment, without changing the order. A new
	// connection costs the sum of both directions' delays.
	Delay time.Duration `json:"delay,omitempty"`
	// BlackHole loses all bytes and closings. A connection that lost some
	// stays silent in that direction, also when BlackHole ends.
	BlackHole bool `json:"black_hole,omitempty"`
	// Hold keeps the segments until Release.
	Hold bool `json:"hold,omitempty"`
	// TruncateAfter cuts a connection after that many bytes; 0 means never.
	TruncateAfter int64 `json:"truncate_after,omitempty"`
}

// Order is the order in which held segments are released.
type Order uint8

// The orders of release.
const (
	// InOrder releases the oldest first.
	InOrder Order = iota
	// Reversed releases the newest first, across and within connections.
	Reversed
)
