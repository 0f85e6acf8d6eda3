package gateway

import (
	"sync"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/exchange"
	"filbertmill.example/platform"
)

const (
	// answerMemoryDivisor divides the memory of the process: the quotient is the
	// limit for all answers together. The rest is for callers' requests, answers too
	// small to be counted, the node's own state, and memory that the garbage
	// collector has yet to free.
	answerMemoryDivisor = 4
	// defaultAnswerBytes is the limit for answers if the memory of the process is
	// not configured.
	defaultAnswerBytes = 64 << 20
)

// answerMemory returns the memory budget for answers on a host.
func answerMemory(r platform.Resources) *exchange.MemoryBudget {
	if r.MemoryMB <= 0 {
		return exchange.NewMemoryBudget(defaultAnswerBytes)
	}
	return exchange.NewMemoryBudget(int64(r.MemoryMB) << 20 / answerMemoryDivisor)
}

// answerLeases holds the memory leases of the answers to one request. They are
// released once an answer to the request has been written or writing it has failed.
type answerLeases struct {
	mu       sync.Mutex
	leases   []*exchange.Reservation
	released bool
}

// add adds a lease. The lease is released immediately if the others already are.
func (l *answerLeases) add(lease *exchange.Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		lease.Release()
		return
	}
	l.leases = append(l.leases, lease)
}

func (l *answerLeases) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	for _, lease := range l.leases {
		lease.Release()
	}
	l.leases = nil
}

// trackAnswers returns the answerLeases of a request that is being served, and
// registers them for releaseAnswers.
func (n *Node) trackAnswers(in *protocol.Request) *answerLeases {
	leases := &answerLeases{}
	n.answerLeases.Store(in, leases)
	return leases
}

// releaseAnswers releases the answerLeases of a request that has ended on its
// connection.
func (n *Node) releaseAnswers(in *protocol.Request) {
	if leases, ok := n.answerLeases.LoadAndDelete(in); ok {
		leases.(*answerLeases).release()
	}
}
