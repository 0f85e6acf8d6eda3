package gateway

import (
	"sync"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/exchange"
	"filbertmill.example/exchange/account"
	"filbertmill.example/gateway/ingress"
	"filbertmill.example/platform"
)

const (
	// answerMemoryDivisor divides the memory of the process: the quotient is the
	// limit for all answers together. The rest is for callers' requests, answers too
	// small to be counted, the node's own state, and memory that the garbage
	// collector has yet to free.
	answerMemoryDivisor = 4
	// defaultMemoryBytes stands for the memory of the process if it is not configured.
	defaultMemoryBytes = 256 << 20
	// runtimeShare is the fraction of the process's memory that is set as the Go
	// runtime's memory limit. Near this limit the garbage collector runs more often, so
	// that memory it has not freed yet fits into the remaining fraction.
	runtimeShare = 0.75
)

// memoryBytes returns the memory of the process.
func memoryBytes(r platform.Resources) int64 {
	if r.MemoryMB <= 0 {
		return defaultMemoryBytes
	}
	return int64(r.MemoryMB) << 20
}

// RuntimeMemory returns the memory that the Go runtime should use on a host, in bytes.
func RuntimeMemory(r platform.Resources) int64 {
	return int64(runtimeShare * float64(memoryBytes(r)))
}

// answerMemory returns the memory budget for answers on a host, which count in the account.
func answerMemory(r platform.Resources, callers *account.Account) *exchange.MemoryBudget {
	return exchange.NewSharedMemoryBudget(memoryBytes(r)/answerMemoryDivisor, callers)
}

// answerReservations holds the memory reservations of the answers to one request.
// They are released once an answer to the request has been written or writing it has
// failed.
type answerReservations struct {
	mu           sync.Mutex
	reservations []*exchange.Reservation
	released     bool
}

// add adds a reservation. It is released immediately if the others already are.
func (r *answerReservations) add(reservation *exchange.Reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		reservation.Release()
		return
	}
	r.reservations = append(r.reservations, reservation)
}

func (r *answerReservations) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	for _, reservation := range r.reservations {
		reservation.Release()
	}
	r.reservations = nil
}

// trackAnswers returns the answerReservations of a request that is being served,
// and registers them for releaseAnswers.
func (n *Node) trackAnswers(in *protocol.Request) *answerReservations {
	reservations := &answerReservations{}
	n.answerReservations.Store(in, reservations)
	return reservations
}

// releaseAnswers releases the answerReservations of a request that has ended on its
// connection.
func (n *Node) releaseAnswers(in *protocol.Request) {
	if reservations, ok := n.answerReservations.LoadAndDelete(in); ok {
		reservations.(*answerReservations).release()
	}
}

// callerDescriptorShare is the share of the process's file descriptors that the connections
// of callers may take. The rest is for those to targets, to other nodes and to the store.
const callerDescriptorShare = 0.7

// callerResources returns what the connections of callers may use on a host.
func callerResources(r platform.Resources, callers *account.Account) ingress.Resources {
	return ingress.Resources{
		MemoryBytes: memoryBytes(r),
		Account:     callers,
		Connections: int(callerDescriptorShare * float64(r.MaxDescriptors)),
	}
}
