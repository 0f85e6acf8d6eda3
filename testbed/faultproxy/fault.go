package faultproxy

import "time"

// Direction is one of the two directions of the bytes through a proxy.
type Direction uint8

// The two directions.
const (
	// ToUpstream is the direction of requests.
	ToUpstream Direction = iota
	// ToCaller is the direction of answers.
	ToCaller
	directionCount
)

// Fault is what a proxy does to the bytes of one direction. The zero value forwards
// them unchanged and without delay.
type Fault struct {
	// Delay is added to each segment, without changing the order. A new
	// connection costs the sum of both directions' delays.
	Delay time.Duration `json:"delay,omitempty"`
	// BlackHole drops all bytes and ends of streams. A connection that lost bytes
	// forwards nothing more in that direction, even after BlackHole ends.
	BlackHole bool `json:"black_hole,omitempty"`
	// Hold buffers the segments until Release.
	Hold bool `json:"hold,omitempty"`
	// BytesPerSecond is the bandwidth that all connections share in the direction; 0 does
	// not limit it.
	BytesPerSecond int64 `json:"bytes_per_second,omitempty"`
	// TruncateAfter closes a connection after that many bytes; 0 means never.
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
