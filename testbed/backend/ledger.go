package backend

import (
	"slices"
	"sync"
	"time"

	"filbertmill.example/testbed/endless"
)

// Run is one execution of a request by a target.
type Run struct {
	// Request is the id of the request, and Path its path.
	Request string
	Path    string
	// Target is the id of the target that ran it; Start is when the run began.
	Target string
	Start  time.Time
	// Workspace is the workspace that the target was told. KeySeen is set if it got the
	// caller's key.
	Workspace string
	KeySeen   bool
}

// End is how the handling of a request by a target ended.
type End uint8

// The ends.
const (
	// InProgress means that the request is still in progress.
	InProgress End = iota
	// Answered means that a complete answer was written.
	Answered
	// TargetClosed means that the target closed the connection.
	TargetClosed
	// CallerLeft means that the sender of the request closed the connection.
	CallerLeft
)

// Arrival is a request that reached a target, whether it ran or not.
type Arrival struct {
	Request string
	Service string
	Target  string
	At      time.Time
	// Node is the node that the caller named, and Pause what the target asked it for in
	// a refusal.
	Node  string
	Pause time.Duration
	// End is how its handling ended, and Ended when.
	End   End
	Ended time.Time
}

// Ledger records the requests that backends received and ran. It is safe for
// concurrent use.
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

// addArrival records an arrival and returns its index.
func (l *Ledger) addArrival(a Arrival) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
	return len(l.arrivals) - 1
}

// endArrival records how the handling of an arrival ended.
func (l *Ledger) endArrival(index int, end End, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[index].End, l.arrivals[index].Ended = end, at
}

func (l *Ledger) addRun(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// EndlessAnswer records an answer without end whose caller has closed the connection.
type EndlessAnswer struct {
	Request string
	Target  string
	Kind    endless.Kind
	// Sent is the number of bytes written. Start is when the first byte was
	// written, and At when a write failed.
	Sent  int64
	Start time.Time
	At    time.Time
}

// EndlessAnswers returns all answers without end that have ended so far.
func (l *Ledger) EndlessAnswers() []EndlessAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.closings)
}

func (l *Ledger) addEndlessAnswer(c EndlessAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closings = append(l.closings, c)
}
