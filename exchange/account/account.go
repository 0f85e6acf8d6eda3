// Package account bounds, in bytes, what callers make a process hold in memory: heads
// and bodies of requests, requests that wait, and answers that wait for their readers.
// All of it counts against one limit, which leaves room for the process itself.
//
// The memory is held by Holders, each for one direction of one connection. If it runs
// short, growth waits, and the Holder whose caller has made no progress for the longest
// time is aborted.
package account

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// The errors of growth.
var (
	// ErrNoMemory means that the Holder was aborted.
	ErrNoMemory = errors.New("the memory for callers is used up")
	// ErrCallerLeft means that the caller left while the growth waited.
	ErrCallerLeft = errors.New("the caller left before there was memory")
)

// Class is a kind of memory.
type Class uint8

// The classes.
const (
	// Connections is what each open connection needs in any case.
	Connections Class = iota
	// Requests is the heads of requests, read ahead or in flight, and their handling.
	Requests
	// SmallBodies and LargeBodies are the bodies of requests.
	SmallBodies
	LargeBodies
	// SmallAnswers and LargeAnswers are answers until their callers have them.
	SmallAnswers
	LargeAnswers
	numClasses
)

// String returns the name of the class.
func (c Class) String() string {
	return [...]string{"connections", "requests", "small_bodies", "large_bodies", "small_answers", "large_answers"}[c]
}

// maxShares are the shares of the limit beyond which a class does not grow; 0 sets none.
// Idle connections cannot be aborted for others.
var maxShares = [numClasses]float64{Connections: 1. / 2}

// reserves are the shares of the limit that each class can use whatever the others hold,
// so that ordinary requests pass. The rest is for whoever needs it first. One body of the
// largest size must fit into the rest and the reserve of its class.
var reserves = [numClasses]float64{
	Connections: 1. / 16, Requests: 1. / 16, SmallBodies: 1. / 16, LargeBodies: 1. / 16, SmallAnswers: 1. / 16, LargeAnswers: 1. / 32,
}

// Account is the memory that all callers hold together. It is safe for concurrent use.
type Account struct {
	created time.Time

	mu      sync.Mutex
	limit   int64
	classes [numClasses]class
	holders map[*Holder]struct{}
	waiters []*waiter
	// scanned is when stalled Holders were last searched for.
	scanned time.Time
	// onShortage is called when growth does not fit into the limit; nil if unused.
	onShortage func()
}

// class is the memory of one class in bytes.
type class struct {
	// max limits the class; 0 does not.
	max, used, peak int64
	// freeing is the part of used that aborted Holders are about to release.
	freeing int64
	aborted int64
}

// New returns an Account with a limit in bytes.
func New(limit int64) *Account {
	return &Account{created: time.Now(), limit: limit, holders: make(map[*Holder]struct{})}
}

// SetLimit changes the limit. What is held beyond it is not taken back.
func (a *Account) SetLimit(limit int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	raised := limit > a.limit
	a.limit = limit
	if raised {
		a.grant()
	}
}

// SetMax limits one class in addition.
func (a *Account) SetMax(c Class, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	raised := bytes > a.classes[c].max
	a.classes[c].max = bytes
	if raised {
		a.grant()
	}
}

// Holder holds memory that is released or can be aborted as a whole.
type Holder struct {
	account *Account
	abort   func()
	// left reports whether the caller has left; nil if that is unknown.
	left func() bool
	// waitingSince is when the caller last made progress while the process waits for it,
	// in nanoseconds since the Account was created. It is 0 while the process does not.
	waitingSince atomic.Int64
	// The fields below are guarded by account.mu.
	used    [numClasses]int64
	aborted bool
	closed  bool
}

// NewHolder returns a Holder that holds nothing. abort is called at most once, with a lock
// held: it must make the Holder's owner release the memory soon, and must neither block
// nor use the Account. A Holder without abort is never aborted.
func (a *Account) NewHolder(abort func()) *Holder {
	h := &Holder{account: a, abort: abort}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// WatchCaller sets the function that waiting growth calls at intervals to learn whether the
// caller has left. It must be called before the first growth.
func (h *Holder) WatchCaller(left func() bool) { h.left = left }

// Progress records that the process waits for the caller, which has just sent or accepted
// bytes.
func (h *Holder) Progress() { h.waitingSince.Store(max(int64(time.Since(h.account.created)), 1)) }

// EndWait records that the process does not wait for the caller.
func (h *Holder) EndWait() { h.waitingSince.Store(0) }

// Waits reports whether the process waits for the caller.
func (h *Holder) Waits() bool { return h.waitingSince.Load() != 0 }

// stalled returns for how long the caller has made no progress, and 0 while the process
// does not wait for it.
func (h *Holder) stalled() time.Duration {
	since := h.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(h.account.created) - time.Duration(since)
}

// Grow adds memory of a class, and waits for it if necessary; meanwhile the process does
// not wait for the caller. It fails if the Holder is aborted, the caller leaves or the
// context ends.
func (h *Holder) Grow(ctx context.Context, c Class, bytes int64) error {
	a := h.account
	a.mu.Lock()
	if h.aborted || h.closed {
		a.mu.Unlock()
		return ErrNoMemory
	}
	if a.fits(c, bytes) && !a.hasWaiter(c) {
		a.add(h, c, bytes)
		a.mu.Unlock()
		return nil
	}
	waited := h.waitingSince.Swap(0)
	w := &waiter{holder: h, class: c, bytes: bytes, done: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	a.makeRoom(w, 0)
	a.mu.Unlock()
	err := a.await(ctx, w)
	if waited != 0 {
		h.Progress()
	}
	return err
}

// TryGrow adds memory of a class if there is some. It does not wait.
func (h *Holder) TryGrow(c Class, bytes int64) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.aborted || h.closed {
		return false
	}
	if !a.fits(c, bytes) {
		a.search(c, bytes)
		return false
	}
	a.add(h, c, bytes)
	return true
}

// Add adds memory that is in use in any case.
func (h *Holder) Add(c Class, bytes int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.closed {
		h.account.add(h, c, bytes)
	}
}

// Release releases memory of a class.
func (h *Holder) Release(c Class, bytes int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(h, c, bytes)
	a.grant()
}

// Move hands memory of a class over to another Holder. It fails if this one was aborted.
func (h *Holder) Move(to *Holder, c Class, bytes int64) error {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.aborted || h.closed {
		return ErrNoMemory
	}
	if to.closed {
		a.remove(h, c, bytes)
		return ErrNoMemory
	}
	h.used[c] -= bytes
	to.used[c] += bytes
	if to.aborted {
		a.classes[c].freeing += bytes
	}
	return nil
}

// Used returns the memory of a class that the Holder has.
func (h *Holder) Used(c Class) int64 {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.used[c]
}

// Aborted reports whether the Holder was aborted or closed.
func (h *Holder) Aborted() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.aborted || h.closed
}

// Close releases all memory of the Holder. Its growth fails from then on.
func (h *Holder) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for c, bytes := range h.used {
		a.remove(h, Class(c), bytes)
	}
	h.closed = true
	delete(a.holders, h)
	a.failWaiters(h)
	a.grant()
}

// Expects aborts stalled Holders that have memory which a class needs. It reports whether
// enough is about to be released, or would be if callers that the process waits for stall.
func (a *Account) Expects(c Class, bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.search(c, bytes)
	var waited [numClasses]int64
	for h := range a.holders {
		if h.mayAbort() {
			for k, n := range h.used {
				waited[k] += n
			}
		}
	}
	return a.fitsWithout(func(k Class) int64 { return a.freeing(k) + waited[k] }, c, bytes)
}

func (a *Account) add(h *Holder, c Class, bytes int64) {
	h.used[c] += bytes
	k := &a.classes[c]
	k.used += bytes
	k.peak = max(k.peak, k.used)
}

func (a *Account) remove(h *Holder, c Class, bytes int64) {
	if h.closed {
		return
	}
	h.used[c] -= bytes
	a.classes[c].used -= bytes
	if h.aborted {
		a.classes[c].freeing -= bytes
	}
}

// fits reports whether memory of a class is left.
func (a *Account) fits(c Class, bytes int64) bool {
	return a.fitsWithout(func(Class) int64 { return 0 }, c, bytes)
}

// freeing returns the memory of a class that aborted Holders are about to release.
func (a *Account) freeing(c Class) int64 { return a.classes[c].freeing }

// fitsWithout reports whether memory of a class would be left without some of what is held.
func (a *Account) fitsWithout(some func(Class) int64, c Class, bytes int64) bool {
	k := a.classes[c]
	used := k.used - some(c) + bytes
	if most := a.max(c); most > 0 && used > most {
		return false
	}
	if used <= a.reserve(c) {
		return true
	}
	total := int64(0)
	for other := range numClasses {
		if other != c {
			total += max(a.classes[other].used-some(other), a.reserve(other))
		}
	}
	return total+used <= a.limit
}

func (a *Account) reserve(c Class) int64 { return int64(reserves[c] * float64(a.limit)) }

// max returns the largest size of a class; 0 stands for none.
func (a *Account) max(c Class) int64 {
	if maxShares[c] > 0 {
		return int64(maxShares[c] * float64(a.limit))
	}
	return a.classes[c].max
}

// used returns what all classes hold. It must be called with mu held.
func (a *Account) used() int64 {
	total := int64(0)
	for _, k := range a.classes {
		total += k.used
	}
	return total
}
