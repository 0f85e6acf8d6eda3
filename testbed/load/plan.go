// Package load is an open-loop load: arrivals are drawn from a seed beforehand,
// sent when they are due whatever became of earlier ones, and timed from when
// they were due. Each answer is verified.
package load

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// Class is a kind of request.
type Class struct {
	// Name identifies the class and is part of its requests' ids.
	Name string
	// Method, Host and Path make the request line. Default method: GET.
	Method string
	Host   string
	Path   string
	// Work is the mean service time.
	Work time.Duration
	// Exponential draws service times from an exponential distribution
	// instead of taking Work for each.
	Exponential bool
	// BodyBytes and AnswerBytes are the sizes of the two bodies.
	BodyBytes   int
	AnswerBytes int
	// Timeout is how long the caller waits for an answer. Default: 10s.
	Timeout time.Duration
	// Callers is the number of callers that send the class. Default: 1.
	Callers int
	// Keyed sends an Idempotency-Key.
	Keyed bool
	// Resends is how often the caller sends again, through another entry,
	// when it cannot know whether its request was run.
	Resends int
	// Poison is the share of requests that crash the target that runs them.
	Poison float64
}

// Phase is a time of constant mean rate.
type Phase struct {
	// Duration is the length of the phase.
	Duration time.Duration
	// Rate is the mean number of arrivals a second.
	Rate float64
}

// Stream is the arrivals of one class. Streams do not depend on one another:
// the same seed gives the same stream whatever others run beside it.
type Stream struct {
	Class  Class
	Phases []Phase
}

// Arrival is one request that falls due.
type Arrival struct {
	// ID is unique within a run.
	ID string
	// At is when the request is due, from the start of the run.
	At time.Duration
	// Class is the request's class.
	Class Class
	// Work is the request's service time.
	Work time.Duration
	// Caller names the caller.
	Caller string
	// Poison says that the request crashes its target.
	Poison bool
}

// Arrivals draws the arrivals of all streams: a Poisson process each, ordered
// by time. The name becomes part of the ids.
func Arrivals(name string, seed uint64, streams ...Stream) []Arrival {
	var all []Arrival
	for _, s := range streams {
		all = append(all, s.arrivals(name, seed)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

func (s Stream) arrivals(name string, seed uint64) []Arrival {
	h := fnv.New64a()
	h.Write([]byte(s.Class.Name))
	rng := rand.New(rand.NewPCG(seed, h.Sum64()))
	var out []Arrival
	var begin time.Duration
	for _, p := range s.Phases {
		end := begin + p.Duration
		at := begin + gap(rng, p.Rate)
		for at < end {
			out = append(out, s.arrival(rng, name, len(out), at))
			at += gap(rng, p.Rate)
		}
		begin = end
	}
	return out
}

func (s Stream) arrival(rng *rand.Rand, name string, n int, at time.Duration) Arrival {
	a := Arrival{
		ID:     fmt.Sprintf("%s-%s-%d", name, s.Class.Name, n),
		At:     at,
		Class:  s.Class,
		Work:   s.Class.Work,
		Caller: fmt.Sprintf("%s-caller-%d", s.Class.Name, rng.IntN(max(1, s.Class.Callers))),
		Poison: rng.Float64() < s.Class.Poison,
	}
	if s.Class.Exponential {
		a.Work = time.Duration(float64(s.Class.Work) * rng.ExpFloat64())
	}
	return a
}

// gap draws the time to the next arrival; a rate of 0 has none.
func gap(rng *rand.Rand, rate float64) time.Duration {
	const never = 1 << 60
	if rate <= 0 {
		return never
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}
