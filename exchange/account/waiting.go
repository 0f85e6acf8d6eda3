package account

import (
	"cmp"
	"context"
	"slices"
	"time"
)

const (
	// stallTime is the time without progress after which a Holder is aborted if others
	// need its memory: a caller that sends and reads gets the memory of one that does not.
	stallTime = time.Second
	// growthWait is how long a Holder that may be aborted waits for memory. Then the
	// one of its class that has made no progress for the longest time is aborted, itself
	// perhaps.
	growthWait = time.Second
	// checkInterval is the interval at which waiting growth looks for stalled Holders and
	// whether its caller has left.
	checkInterval = 100 * time.Millisecond
	// scanInterval is the least time between two searches for stalled Holders, which
	// visit all of them.
	scanInterval = 10 * time.Millisecond
)

// waiter is growth that waits for memory.
type waiter struct {
	holder *Holder
	class  Class
	bytes  int64
	// done receives nil once the memory is granted, or an error.
	done chan error
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
			if w.holder.left != nil && w.holder.left() {
				return a.leave(w, ErrCallerLeft)
			}
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
