package target

import (
	"slices"
	"sync"
	"time"
)

// Run is one execution of a request by a target.
type Run struct {
	// Request is the id of the request, and Target the name of the target.
	Request string `json:"request"`
	Target  string `json:"target"`
	// Attempt is the number of the attempt of the caller, from 1.
	Attempt int `json:"attempt"`
	// Start is when the target began the run.
	Start time.Time `json:"start"`
	// SinceLeaving is how long before Start the target announced that it is
	// leaving, or zero if it had not announced that.
	SinceLeaving time.Duration `json:"since_leaving_ns,omitempty"`
	// Done is set if the work was completed and not cancelled.
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

// Runs returns the runs of one request, ordered by start time.
func (l *Ledger) Runs(request string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return values(l.runs[request])
}

// All returns all runs, ordered by start time.
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

// started records the start of a run.
func (l *Ledger) started(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Request] = append(l.runs[r.Request], &r)
	return &r
}

// done marks a run as completed.
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
