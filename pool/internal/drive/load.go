package drive

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Load describes requests of one route that arrive at random.
type Load struct {
	Route string
	// Rate is in requests a second, between From and To.
	Rate     float64
	From, To time.Duration
	// Work is the mean service time; Sigma is the standard deviation of its
	// logarithm, and zero makes it exponential.
	Work  time.Duration
	Sigma float64
	// Timeout is the time from the arrival of a request to its deadline.
	Timeout time.Duration
	// Callers is the number of callers. Caller, if set, names a single caller
	// instead.
	Callers int
	Caller  string
	// NonIdempotent is set if the requests must not be sent again.
	NonIdempotent bool
}

// Generate returns the arrivals of the loads, in order of time.
func Generate(seed uint64, loads ...Load) []Arrival {
	var all []Arrival
	for i, l := range loads {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, l.arrivals(rng)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

func (l Load) arrivals(rng *rand.Rand) []Arrival {
	var out []Arrival
	at := l.From
	for {
		at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
		if at >= l.To {
			return out
		}
		out = append(out, Arrival{
			At:         Duration(at.Round(10 * time.Microsecond)),
			Work:       Duration(l.work(rng).Round(10 * time.Microsecond)),
			Timeout:    Duration(l.Timeout),
			Route:      l.Route,
			Caller:     l.caller(rng),
			Idempotent: !l.NonIdempotent,
		})
	}
}

func (l Load) work(rng *rand.Rand) time.Duration {
	if l.Sigma == 0 {
		return time.Duration(rng.ExpFloat64() * float64(l.Work))
	}
	factor := math.Exp(l.Sigma*rng.NormFloat64() - l.Sigma*l.Sigma/2)
	return time.Duration(factor * float64(l.Work))
}

func (l Load) caller(rng *rand.Rand) string {
	if l.Caller != "" || l.Callers == 0 {
		return l.Caller
	}
	return "c" + TargetName(rng.IntN(l.Callers))
}
