package backend

import (
	"slices"
	"sync"
	"time"

	"filbertmill.example/testbed/endless"
)

// Run is one run of a request.
type Run struct {
	// Request is the request's id, and Path its path.
	Request string
	Path    string
	// Target ran it, from Start on.
	Target string
	Start  time.Time
}

// End is how a target's handling of a request ended.
type End uint8

// The ends.
const (
	// InProgress means that it has not ended.
	InProgress End = iota
	// Answered means that a whole answer was handed over.
	Answered
	// TargetClosed means that the target broke the connection off.
	TargetClosed
	// CallerLeft means that the one who sent the request did.
	CallerLeft
)

// Arrival is a request that reached a target, whether it ran or not.
type Arrival struct {
	Request string
	Service string
	Target  string
	At      time.Time
	// End is how its handling ended, at Ended.
	End   End
	Ended time.Time
}

// Ledger records what backends ran and saw. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	runs     []Run
	arrivals []Arrival
	closings []EndlessAnswer
}

// Arrivals returns all arrivals so far.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.arrivals)
}

// Runs returns all runs so far.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// arrive records an arrival and returns its number.
func (l *Ledger) arrive(a Arrival) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
	return len(l.arrivals) - 1
}

func (l *Ledger) finish(number int, end End, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[number].End, l.arrivals[number].Ended = end, at
}

func (l *Ledger) add(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// EndlessAnswer is the end of an answer without end: its caller closed.
type EndlessAnswer struct {
	Request string
	Target  string
	Kind    endless.Kind
	// Sent is the number of bytes written, Start when the first was, and At when
	// a write failed.
	Sent  int64
	Start time.Time
	At    time.Time
}

// EndlessAnswers returns the ends so far of answers without end.
func (l *Ledger) EndlessAnswers() []EndlessAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.closings)
}

func (l *Ledger) closed(c EndlessAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closings = append(l.closings, c)
}
