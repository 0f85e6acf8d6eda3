package target

import (
	"slices"
	"sync"
	"time"
)

// Run is one execution of a request by a target.
type Run struct {
	// Request and Target identify what ran where.
	Request string `json:"request"`
	Target  string `json:"target"`
	// Attempt is the caller's count of the times it sent the request, from 1.
	Attempt int `json:"attempt"`
	// Start is when the target began.
	Start time.Time `json:"start"`
	// SinceLeaving is how long before Start the target announced that it is
	// leaving; zero if it had not.
	SinceLeaving time.Duration `json:"since_leaving_ns,omitempty"`
	// Done says that the work was completed and not cancelled.
	Done bool `json:"done"`
}

// Ledger records the runs of any number of targets.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]*Run
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string][]*Run)}
}

// Runs returns the runs of one request in the order of their starts.
func (l *Ledger) Runs(request string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return values(l.runs[request])
}

// All returns every run, by the time of the start.
func (l *Ledger) All() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Run
	for _, runs := range l.runs {
		all = append(all, values(runs)...)
	}
	slices.SortFunc(all, func(a, b Run) int { return a.Start.Compare(b.Start) })
	return all
}

func (l *Ledger) started(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Request] = append(l.runs[r.Request], &r)
	return &r
}

func (l *Ledger) done(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Done = true
}

func values(runs []*Run) []Run {
	out := make([]Run, len(runs))
	for i, r := range runs {
		out[i] = *r
	}
	return out
}
