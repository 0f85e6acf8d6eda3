package memory

import "time"

// Faults are the injected faults of a stand-in. The zero value has none.
type Faults struct {
	// Unavailable makes every call fail, waiting watches included.
	Unavailable bool `json:"away"`
	// Delay is added to the duration of every call.
	Delay time.Duration `json:"delay_ns"`
	// Lag is the age of the content that reads return.
	Lag time.Duration `json:"lag_ns"`
	// LoseReplies is the number of writes from now on that take effect but return
	// an error.
	LoseReplies int `json:"lose_replies"`
	// Refuse makes every call fail immediately with an error that proves that it had
	// no effect.
	Refuse bool `json:"refuse"`
	// DropWatchEvents makes watches of a prefix return no changes.
	DropWatchEvents bool `json:"deaf_watches"`
}

// Calls holds the number of calls to a stand-in by method. A waiting watch is one
// call.
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
