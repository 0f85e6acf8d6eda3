package account

import (
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

const (
	// headroomDivisor divides the memory that the Go runtime may use: the quotient stays
	// free for what the garbage collector has yet to find.
	headroomDivisor = 8
	// leastShare is the least part of the memory that is left to callers, however much the
	// process itself needs: without it, nobody would be served.
	leastShare = 1. / 8
	// leastOwnShare is the part that the process itself is taken to need at least. It is
	// also the estimate before the first measurement.
	leastOwnShare = 1. / 8
	// collectInterval is the least time between two garbage collections that are run
	// because memory is short.
	collectInterval = time.Second
)

// Room keeps the limit of an Account at the memory that the process does not need for
// itself: for its configuration, the state of the fleet, and the Go runtime. What it needs
// is what the garbage collector finds in use beyond what callers hold.
type Room struct {
	account *Account
	// usable is the memory that the Go runtime may use, in bytes.
	usable int64
	own    atomic.Int64
	// collected is when a collection was last run for want of memory, in nanoseconds since
	// the Account was created.
	collected  atomic.Int64
	collecting atomic.Bool
}

// NewRoom returns the Room of a new Account, for a Go runtime that may use the given number
// of bytes.
func NewRoom(usable int64) (*Room, *Account) {
	r := &Room{account: New(0), usable: usable}
	r.account.onShortage = r.collect
	r.update(0, 0)
	return r, r.account
}

// Watch measures after each garbage collection.
func (r *Room) Watch() { afterCollections(r.measure) }

// RoomUsage is the state of a Room. Sizes are in bytes.
type RoomUsage struct {
	Usage
	// Own is what the process itself needs at the last measurement.
	Own int64 `json:"own"`
}

// Usage returns the current state.
func (r *Room) Usage() RoomUsage { return RoomUsage{r.account.Usage(), r.own.Load()} }

// measure must be called right after a garbage collection.
func (r *Room) measure() {
	r.account.mu.Lock()
	used := r.account.used()
	r.account.mu.Unlock()
	r.update(inUse(), used)
}

// update sets the limit from the memory in use, of which callers hold a part.
func (r *Room) update(inUse, held int64) {
	own := max(inUse-held, int64(leastOwnShare*float64(r.usable)))
	r.own.Store(own)
	limit := r.usable - r.usable/headroomDivisor - own
	r.account.SetLimit(max(limit, int64(leastShare*float64(r.usable))))
}

// collect runs a garbage collection, so that memory which callers have released since the
// last one does not count as the process's own.
func (r *Room) collect() {
	now := int64(time.Since(r.account.created))
	if now-r.collected.Load() < int64(collectInterval) || !r.collecting.CompareAndSwap(false, true) {
		return
	}
	r.collected.Store(now)
	go func() {
		defer r.collecting.Store(false)
		runtime.GC()
	}()
}

// sentinel is an unreachable object, whose finalizer runs after each garbage collection. It
// has a pointer since the runtime may batch objects without.
type sentinel struct{ f func() }

func afterCollections(f func()) {
	runtime.SetFinalizer(&sentinel{f}, (*sentinel).collected)
}

func (s *sentinel) collected() {
	s.f()
	runtime.SetFinalizer(s, (*sentinel).collected)
}

// inUse returns the memory in use, in bytes: objects that the last garbage collection found
// reachable, stacks, and the runtime's own.
func inUse() int64 {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/unused:bytes"},
		{Name: "/memory/classes/heap/free:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(samples)
	n := int64(samples[0].Value.Uint64()) + int64(samples[1].Value.Uint64())
	for _, s := range samples[2:] {
		n -= int64(s.Value.Uint64())
	}
	return n
}
