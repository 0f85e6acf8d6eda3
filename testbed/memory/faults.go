package memory

import "time"

// Faults says how a stand-in misbehaves. The zero value does not.
type Faults struct {
	// Unavailable makes every call fail; what waits fails too.
	Unavailable bool `json:"away"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay_ns"`
	// Lag is the age of what reads return.
	Lag time.Duration `json:"lag_ns"`
	// LoseReplies is the number of the next writes that take effect and report
	// a failure.
	LoseReplies int `json:"lose_replies"`
	// Refuse makes every call answer at once that nothing was done.
	Refuse bool `json:"refuse"`
	// DropWatchEvents makes watches of a prefix hear nothing.
	DropWatchEvents bool `json:"deaf_watches"`
}

// Calls counts the calls to a stand-in by method. A waiting watch is one call.
type Calls struct {
	Get            int64 `json:"get"`
	CompareAndSwap int64 `json:"compare_and_swap"`
	Watch          int64 `json:"watch"`
	Lease          int64 `json:"lease"`
	Hosts          int64 `json:"hosts"`
	Range          int64 `json:"range"`
}

// Total returns the number of all calls.
func (c Calls) Total() int64 {
	return c.Get + c.CompareAndSwap + c.Watch + c.Lease + c.Hosts + c.Range
}
