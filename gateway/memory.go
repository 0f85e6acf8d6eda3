package gateway

import (
	"sync"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/exchange"
	"filbertmill.example/platform"
)

const (
	// answerShare is the part of the process's memory that answers may hold
	// together: one in so many. The rest is for callers' requests, answers too
	// small to count, what the node knows, and what the collector has yet to free.
	answerMemoryDivisor = 4
	// defaultAnswerBytes is what they may hold if the memory is not stated.
	defaultAnswerBytes = 64 << 20
)

// answerMemory returns the memory for answers on a host.
func answerMemory(r platform.Resources) *exchange.Memory {
	if r.MemoryMB <= 0 {
		return exchange.NewMemory(defaultAnswerBytes)
	}
	return exchange.NewMemory(int64(r.MemoryMB) << 20 / answerMemoryDivisor)
}

// holds are the leases of the answers to one request. An answer is held until
// one to its request has been written, or cannot be.
type answerLeases struct {
	mu       sync.Mutex
	leases   []*exchange.Lease
	released bool
}

// add takes a lease; it is released at once if the request is answered.
func (h *answerLeases) add(l *exchange.Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		l.Release()
		return
	}
	h.leases = append(h.leases, l)
}

func (h *answerLeases) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	for _, l := range h.leases {
		l.Release()
	}
	h.leases = nil
}

// hold returns the holds of a request that will be delivered.
func (n *Node) trackAnswers(in *protocol.Request) *answerLeases {
	h := &answerLeases{}
	n.answerLeases.Store(in, h)
	return h
}

// letGo releases the holds of a request that was delivered.
func (n *Node) releaseAnswers(in *protocol.Request) {
	if h, ok := n.answerLeases.LoadAndDelete(in); ok {
		h.(*answerLeases).release()
	}
}
