package burn

import "math"

// Counts holds the number of requests of each cause.
type Counts struct {
	Good     uint64 `json:"good" cbor:"1,keyasint,omitempty"`
	Target   uint64 `json:"target_faults" cbor:"2,keyasint,omitempty"`
	Overload uint64 `json:"shed_at_crest" cbor:"3,keyasint,omitempty"`
	Poison   uint64 `json:"poison" cbor:"4,keyasint,omitempty"`
	Proxy    uint64 `json:"own_faults" cbor:"5,keyasint,omitempty"`
}

// Plus returns the sum of both, cause by cause.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Good:     c.Good + other.Good,
		Target:   c.Target + other.Target,
		Overload: c.Overload + other.Overload,
		Poison:   c.Poison + other.Poison,
		Proxy:    c.Proxy + other.Proxy,
	}
}

// Failed returns the number of requests that burned the error budget.
func (c Counts) Failed() uint64 { return c.Target + c.Overload + c.Poison + c.Proxy }

// Total returns the number of all counted requests.
func (c Counts) Total() uint64 { return c.Good + c.Failed() }

// ByCause returns the number of requests with the cause.
func (c Counts) ByCause(cause Cause) uint64 {
	switch cause {
	case CauseGood:
		return c.Good
	case CauseTarget:
		return c.Target
	case CauseOverload:
		return c.Overload
	case CausePoison:
		return c.Poison
	case CauseProxy:
		return c.Proxy
	default:
		return 0
	}
}

// tally holds the counts of a bucket, by cause. It is smaller than Counts; a
// count that reaches the largest number stays there.
type tally [causeCount]uint32

func (t *tally) add(cause Cause) { t.addMany(cause, 1) }

func (t *tally) addMany(cause Cause, n uint64) {
	t[cause] += uint32(min(n, uint64(math.MaxUint32-t[cause])))
}

func (t tally) counts() Counts {
	return Counts{
		Good:     uint64(t[CauseGood]),
		Target:   uint64(t[CauseTarget]),
		Overload: uint64(t[CauseOverload]),
		Poison:   uint64(t[CausePoison]),
		Proxy:    uint64(t[CauseProxy]),
	}
}
