package once

import (
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"filbertmill.example/outcome"
)

// RequestID identifies a request within one Home.
type RequestID uint64

// Request is one submission of a caller's request with an idempotency key. A
// caller that repeats the request submits another Request with the same key.
type Request struct {
	// ID is unique among the requests that the Home has not answered.
	ID RequestID
	// Key and Digest identify the request and its content.
	Key    Key
	Digest Digest
	// AbandonedClaim is the claim that an earlier home made for this request and
	// then abandoned, if there is one. The earlier home did not dispatch the request
	// under it and will not.
	AbandonedClaim Claim
}

// Result is the result of a request.
type Result struct {
	// Outcome is the request's outcome.
	Outcome outcome.Outcome
	// Answer is the complete answer if the Kind of Outcome is Run and the answer is
	// not longer than MaxAnswerBytes; otherwise nil.
	Answer *Answer
	// Home is the node to which the request should be sent instead of this one, if
	// it is known. This node did not dispatch the request and will not.
	Home string
	// AbandonedClaim must be sent to that node with the request.
	AbandonedClaim Claim
}

// OpID identifies an operation that a Home requested from its Delegate. The result
// is passed to the Home with the same OpID.
type OpID uint64

// Delegate carries out the decisions of a Home. Its methods are called during a
// call to the Home and must neither block nor call the Home.
type Delegate interface {
	// Admit reserves a slot for a request whose key is new, or queues the request
	// for one; Admitted, Refused or Cancel must follow. No key is claimed for a
	// request that is only queued: if the home crashes, the request was certainly
	// not run.
	Admit(id RequestID)
	// Dispatch runs the request on a target, at most once; Finish must follow.
	// The request may not have been admitted if it waited for another request with
	// the same key.
	Dispatch(id RequestID)
	// Reply ends a request that was not dispatched.
	Reply(id RequestID, r Result)
	// Send sends a message to a witness; HandleAck must follow, unless the
	// message is a Done or a Release.
	Send(op OpID, to Member, m Message)
	// Read reads the tenure from the store itself, not from a cache; HaveRead
	// must follow.
	Read(op OpID)
	// Write writes the tenure if the record's revision is still the given one;
	// HaveWritten must follow.
	Write(op OpID, t Tenure, after Revision)
}

// Home decides which keyed requests of one service may be dispatched.
type Home struct {
	cfg        Config
	self       Member
	delegate   Delegate
	phase      *stateless.StateMachine
	candidates []string
	alone      bool

	// epoch is the epoch of the latest tenure that this home claimed.
	epoch Epoch
	// ownEpochs holds the epochs of all tenures that this home claimed.
	ownEpochs map[Epoch]bool
	// complete is set if entries hold every key that was dispatched up to epoch.
	// Until lostUntil, any key without an entry may have been dispatched.
	complete   bool
	lostUntil  time.Time
	entries    map[Key]*entry
	dispatched map[RequestID]*entry
	keptBytes  int
	sequence   uint64

	// queued holds the requests that wait to be admitted, by key. Pending holds
	// those that wait for the tenure or for a claim.
	queued  map[Key]*queuedKey
	pending []waiter
	ops     map[OpID]op
	lastOp  OpID

	current      tenureState
	needsRenewal bool // witnesses have to be replaced or added
	leaving      bool
	retryAt      time.Time
	heartbeatAt  time.Time
	addWitnessAt time.Time
	// successor is the member that was last observed to hold the tenure.
	successor Member
	// yieldUntil is the time until which this home directs requests to successor.
	yieldUntil       time.Time
	sweepAt          time.Time
	missedHeartbeats map[Member]int
	// highestSeen is the highest epoch that a witness has reported. EpochConflict
	// is set if a witness reported this home's epoch with another holder: the store
	// was set back to an older record.
	highestSeen   Epoch
	epochConflict bool
	// confirmedOp is the latest store operation that proved that no other home had
	// taken over since this home knew all keys.
	confirmedOp OpID
}

// waiter is a request that waits for its claim.
type waiter struct {
	Request
	arrived time.Time
	// lastOpBefore is the last operation that was started before the request arrived.
	lastOpBefore OpID
	// admitted is set if the request was admitted.
	admitted bool
}

// NewHome returns a home that holds no tenure.
func NewHome(cfg Config, self Member, d Delegate) *Home {
	return &Home{
		cfg:              cfg,
		self:             self,
		delegate:         d,
		phase:            newPhaseMachine(),
		ownEpochs:        make(map[Epoch]bool),
		entries:          make(map[Key]*entry),
		dispatched:       make(map[RequestID]*entry),
		queued:           make(map[Key]*queuedKey),
		ops:              make(map[OpID]op),
		missedHeartbeats: make(map[Member]int),
	}
}

// SetCandidates replaces the names of the nodes that may be witnesses, best
// first. Alone is set if the fleet has no other node: the home then needs no
// witness.
func (h *Home) SetCandidates(names []string, alone bool) {
	h.candidates = names
	h.alone = alone
}

// SetLeaving marks the node as shutting down. A home that is shutting down does
// not take a tenure back: pending requests are directed to its successor.
func (h *Home) SetLeaving(now time.Time) {
	h.leaving = true
	h.Tick(now)
}

// Submit submits a request. The Home admits it, dispatches it or replies to it, now
// or later.
func (h *Home) Submit(now time.Time, r Request) {
	if h.replyIfKnown(now, r) {
		return
	}
	h.process(now, waiter{Request: r, arrived: now, lastOpBefore: h.lastOp})
	h.Tick(now)
}

// process queues a request whose key is not known, claims its key, or makes it
// pending.
func (h *Home) process(now time.Time, w waiter) {
	if h.active() && (h.enqueue(now, w) || h.startClaim(now, w)) {
		return
	}
	h.pending = append(h.pending, w)
}

// replyIfKnown replies to a request whose key is known, or has it wait for the
// first request with that key. It reports false if the key is not known.
func (h *Home) replyIfKnown(now time.Time, r Request) bool {
	e := h.lookup(now, r.Key)
	if e == nil {
		return false
	}
	if e.state == stateUnknown && e.claim == r.AbandonedClaim && !h.ownEpochs[e.claim.Epoch] {
		h.remove(e)
		return false
	}
	switch {
	case e.digest != r.Digest && e.state == stateClaiming:
		return false
	case e.digest != r.Digest && h.uncertain(e):
		h.refuse(r.ID, outcome.ReasonEarlierUnknown, "the key came with another method, path or body before")
	case e.digest != r.Digest:
		h.refuse(r.ID, outcome.ReasonKeyReused, "the key came with another method, path or body before")
	case e.state == stateClaiming || e.state == stateRunning:
		e.followers = append(e.followers, waiter{Request: r, arrived: now, lastOpBefore: h.lastOp})
	case e.state == stateDone && e.answer != nil:
		h.delegate.Reply(r.ID, Result{Outcome: outcome.New(outcome.ReasonAnswered, "", 0), Answer: e.answer})
	case e.state == stateDone:
		h.refuse(r.ID, outcome.ReasonEarlierUnknown, "the request ran; its answer is no longer kept")
	default:
		h.refuse(r.ID, outcome.ReasonEarlierUnknown, "")
	}
	return true
}

// uncertain reports whether another home claimed the key, and it is not known
// whether that home dispatched it.
func (h *Home) uncertain(e *entry) bool {
	return e.state == stateUnknown && !h.ownEpochs[e.claim.Epoch]
}

// refuse replies with an outcome without an answer from a target.
func (h *Home) refuse(id RequestID, reason outcome.Reason, detail string) {
	h.delegate.Reply(id, Result{Outcome: outcome.New(reason, detail, 0)})
}

// Cancel removes a request that was not dispatched, because its caller left. It has
// no effect on a dispatched request.
func (h *Home) Cancel(now time.Time, r Request) {
	h.pending = withoutWaiter(h.pending, r.ID)
	h.removeFromQueue(now, r)
	for _, o := range h.ops {
		if o.refusal != nil {
			o.refusal.waiters = withoutWaiter(o.refusal.waiters, r.ID)
		}
	}
	e := h.entries[r.Key]
	if e == nil {
		return
	}
	e.followers = withoutWaiter(e.followers, r.ID)
	if e.state == stateClaiming && e.owner.ID == r.ID {
		h.pending = append(h.pending, e.followers...)
		h.remove(e)
		h.retryPending(now)
	}
}

// Finish reports the end of a dispatched request.
func (h *Home) Finish(now time.Time, id RequestID, r Result) {
	e := h.dispatched[id]
	if e == nil {
		panic("once: finished request was not dispatched")
	}
	delete(h.dispatched, id)
	followers := e.followers
	e.followers = nil
	switch r.Outcome.Kind {
	case outcome.NotRun:
		h.remove(e)
		h.notifyWitnesses(Release{Key: e.key, Claim: e.claim})
	case outcome.Run:
		h.markDone(now, e, r.Answer)
		h.notifyWitnesses(Done{Key: e.key, Claim: e.claim, Answer: e.answer})
	default:
		e.state = stateUnknown
		e.expires = now.Add(h.cfg.Retention)
	}
	for _, w := range followers {
		if r.Outcome.Kind == outcome.NotRun {
			h.delegate.Reply(w.ID, r)
			continue
		}
		h.replyIfKnown(now, w.Request)
	}
}

// notifyWitnesses sends the outcome of a claim to the witnesses, including those
// that are being installed.
func (h *Home) notifyWitnesses(m Message) {
	recipients := append(slices.Clone(h.current.witnesses), h.current.chosen...)
	for i, w := range recipients {
		if !slices.Contains(recipients[:i], w) {
			h.delegate.Send(0, w, m)
		}
	}
}

// Len returns the number of keys kept.
func (h *Home) Len() int {
	return len(h.entries)
}

// withoutWaiter returns the list without the request.
func withoutWaiter(list []waiter, id RequestID) []waiter {
	kept := list[:0]
	for _, w := range list {
		if w.ID != id {
			kept = append(kept, w)
		}
	}
	return kept
}
