// Package account bounds, in bytes, what callers make a process hold in memory: heads
// and bodies of requests, requests that wait, and answers that wait for their readers.
// All of it counts against one limit, which leaves room for the process itself.
//
// The memory is held by Holders, each for one direction of one connection. If it runs
// short, growth waits, and the Holder whose caller has made no progress for the longest
// time is aborted.
package account

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// stallTime is the time without progress after which a Holder is aborted if others
	// need its memory: a caller that sends and reads gets the memory of one that does not.
	stallTime = time.Second
	// growthWait is how long a Holder that may be aborted waits for memory. Then the
	// one of its class that has made no progress for the longest time is aborted, itself
	// perhaps.
	growthWait = time.Second
	// checkInterval is the interval at which waiting growth looks for stalled Holders.
	checkInterval = 100 * time.Millisecond
	// scanInterval is the least time between two searches for stalled Holders, which
	// visit all of them.
	scanInterval = 10 * time.Millisecond
)

// ErrNoMemory is the error of growth whose Holder was aborted.
var ErrNoMemory = errors.New("the memory for callers is used up")

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

// waiter is growth that waits for memory.
type waiter struct {
	holder *Holder
	class  Class
	bytes  int64
	// done receives nil once the memory is granted, or an error.
	done chan error
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
// not wait for the caller. It fails if the Holder is aborted or the context ends.
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

// await waits until the memory is granted or the growth has failed.
func (a *Account) await(ctx context.Context, w *waiter) error {
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for began := time.Now(); ; {
		select {
		case err := <-w.done:
			return err
		case <-ctx.Done():
			return a.leave(w, ctx.Err())
		case <-check.C:
			a.mu.Lock()
			a.makeRoom(w, time.Since(began))
			a.mu.Unlock()
		}
	}
}

// leave takes a waiter out of the queue, unless its growth has ended in the meantime.
func (a *Account) leave(w *waiter, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	default:
	}
	a.removeWaiters(func(other *waiter) bool { return other == w })
	a.grant()
	return cause
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

func (a *Account) hasWaiter(c Class) bool {
	for _, w := range a.waiters {
		if w.class == c {
			return true
		}
	}
	return false
}

// grant grants memory to waiters, of each class in their order.
func (a *Account) grant() {
	if len(a.waiters) == 0 {
		return
	}
	var blocked [numClasses]bool
	a.removeWaiters(func(w *waiter) bool {
		if blocked[w.class] || !a.fits(w.class, w.bytes) {
			blocked[w.class] = true
			return false
		}
		a.add(w.holder, w.class, w.bytes)
		w.done <- nil
		return true
	})
}

// removeWaiters removes the waiters for which remove returns true.
func (a *Account) removeWaiters(remove func(*waiter) bool) {
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		if !remove(w) {
			kept = append(kept, w)
		}
	}
	clear(a.waiters[len(kept):])
	a.waiters = kept
}

// makeRoom aborts Holders so that the growth of a waiter fits: stalled ones, and else, if
// it has waited long, the one of its class that has made no progress for the longest time.
func (a *Account) makeRoom(w *waiter, waited time.Duration) {
	scanned := a.search(w.class, 0)
	if waited < growthWait || w.holder.aborted || a.fitsWithout(a.freeing, w.class, w.bytes) {
		return
	}
	var victim *Holder
	switch {
	case scanned:
		victim = a.slowest(w)
	case w.class.isOfRequests():
		victim = w.holder
	}
	if victim != nil {
		a.abort(victim)
	}
}

// slowest returns the Holder of a waiter's class that has made no progress for the longest
// time. It is the waiter's own if no other caller is waited for and it reads a request: an
// answer that waits is not the caller's fault.
func (a *Account) slowest(w *waiter) *Holder {
	var victim *Holder
	if w.class.isOfRequests() {
		victim = w.holder
	}
	longest := time.Duration(0)
	for h := range a.holders {
		if d := h.stalled(); d > longest && h.used[w.class] > 0 && h.mayAbort() {
			victim, longest = h, d
		}
	}
	return victim
}

// isOfRequests reports whether the class grows while a request is read.
func (c Class) isOfRequests() bool { return c < SmallAnswers }

// search aborts stalled Holders, the longest first, until there is memory of a class for
// all who wait for it and for extra bytes. It does nothing, and returns false, if the last
// search was just before.
func (a *Account) search(c Class, extra int64) bool {
	need := extra
	for _, w := range a.waiters {
		if w.class == c {
			need += w.bytes
		}
	}
	if a.fitsWithout(a.freeing, c, need) {
		return false
	}
	if a.onShortage != nil {
		a.onShortage()
	}
	now := time.Now()
	if now.Sub(a.scanned) < scanInterval {
		return false
	}
	a.scanned = now
	for _, h := range a.stalledHolders() {
		if a.serves(h, c) {
			a.abort(h)
		}
		if a.fitsWithout(a.freeing, c, need) {
			break
		}
	}
	return true
}

// stalledHolders returns the Holders that are stalled, the longest first.
func (a *Account) stalledHolders() []*Holder {
	type stalled struct {
		*Holder
		since int64
	}
	var list []stalled
	for h := range a.holders {
		if h.mayAbort() && h.stalled() >= stallTime {
			list = append(list, stalled{h, h.waitingSince.Load()})
		}
	}
	slices.SortFunc(list, func(x, y stalled) int { return cmp.Compare(x.since, y.since) })
	holders := make([]*Holder, len(list))
	for i, s := range list {
		holders[i] = s.Holder
	}
	return holders
}

// mayAbort reports whether the process waits for the Holder's caller.
func (h *Holder) mayAbort() bool {
	return h.abort != nil && !h.aborted && h.Waits()
}

// serves reports whether memory of the Holder could be used by a class: it is of the same
// class, or beyond the reserve of another.
func (a *Account) serves(h *Holder, c Class) bool {
	if h.used[c] > 0 {
		return true
	}
	if k, most := a.classes[c], a.max(c); most > 0 && k.used-k.freeing >= most {
		return false
	}
	for other := range numClasses {
		if k := a.classes[other]; h.used[other] > 0 && k.used-k.freeing > a.reserve(other) {
			return true
		}
	}
	return false
}

// abort makes a Holder release its memory.
func (a *Account) abort(h *Holder) {
	h.aborted = true
	for c, bytes := range h.used {
		a.classes[c].freeing += bytes
		if bytes > 0 {
			a.classes[c].aborted++
		}
	}
	h.abort()
	a.failWaiters(h)
}

// failWaiters ends the waiting growth of a Holder.
func (a *Account) failWaiters(h *Holder) {
	a.removeWaiters(func(w *waiter) bool {
		if w.holder == h {
			w.done <- ErrNoMemory
		}
		return w.holder == h
	})
}

// Usage is the state of an Account. Sizes are in bytes.
type Usage struct {
	// Limit bounds all classes together.
	Limit   int64                 `json:"limit"`
	Used    int64                 `json:"used"`
	Classes map[string]ClassUsage `json:"classes"`
}

// ClassUsage is the state of one class.
type ClassUsage struct {
	// Reserve is the part that only this class can use, and Limit its own limit if it is
	// not 0.
	Reserve int64 `json:"reserve"`
	Limit   int64 `json:"limit"`
	Used    int64 `json:"used"`
	Peak    int64 `json:"peak"`
	// Aborted counts the Holders that were aborted while they held or awaited some.
	Aborted int64 `json:"aborted"`
}

// Usage returns the current state.
func (a *Account) Usage() Usage {
	u := Usage{Classes: make(map[string]ClassUsage)}
	for c := range numClasses {
		k := a.Class(c)
		u.Classes[c.String()] = k
		u.Used += k.Used
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	u.Limit = a.limit
	return u
}

// Class returns the current state of one class.
func (a *Account) Class(c Class) ClassUsage {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := a.classes[c]
	return ClassUsage{Reserve: a.reserve(c), Limit: a.max(c), Used: k.used, Peak: k.peak, Aborted: k.aborted}
}

// used returns what all classes hold. It must be called with mu held.
func (a *Account) used() int64 {
	total := int64(0)
	for _, k := range a.classes {
		total += k.used
	}
	return total
}
