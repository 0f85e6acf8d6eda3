package once

import (
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"filbertmill.example/outcome"
)

// RequestID identifies a request within one Home.
type RequestID uint64

// Request is one sending of a caller's request with an idempotency key.
type Request struct {
	// ID is unique among the requests that the Home has not answered.
	ID RequestID
	// Key and Digest say what is asked.
	Key    Key
	Digest Digest
	// AbandonedClaim is the claim that an earlier home made for this request and gave
	// up, if there is one: it was not and will not be dispatched.
	AbandonedClaim Claim
}

// Result is the end of a dispatched request.
type Result struct {
	// Outcome says what became of it.
	Outcome outcome.Outcome
	// Answer is the whole answer if Outcome is Run and the answer is not
	// longer than MaxAnswerBytes; else nil.
	Answer *Answer
	// Home is the node to ask in place of this one, if it is known. This one
	// did not dispatch the request and will not.
	Home string
	// AbandonedClaim is to be given to that node with the request.
	AbandonedClaim Claim
}

// OpID ties an answer to what a Home asked of its Delegate.
type OpID uint64

// Delegate carries out what a Home decides. Its methods are called during a
// call to the Home and must neither block nor call it back.
type Delegate interface {
	// Admit finds a place for a request whose key is new; Admitted, Refused or
	// Cancel must follow. No key is claimed for a request that only waits, so
	// that a home's crash leaves it certainly not run.
	Admit(id RequestID)
	// Dispatch runs the request on a target, at most once; Finish must follow.
	// A request that waited behind another may not have been admitted.
	Dispatch(id RequestID)
	// Reply ends a request that is not dispatched.
	Reply(id RequestID, r Result)
	// Send sends a message to a witness; Received must follow, unless the
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

	// epoch is that of the latest tenure that this home claimed; complete says
	// that entries hold every key that was dispatched up to it.
	epoch Epoch
	// held are the epochs of all tenures that this home claimed.
	held      map[Epoch]bool
	complete  bool
	lostUntil time.Time
	entries   map[Key]*entry
	dispatch  map[RequestID]*entry
	kept      int
	sequence  uint64

	// queued holds the requests that wait for a place, by key.
	queued  map[Key]*queuedKey
	pending []waiter
	ops     map[OpID]op
	lastOp  OpID

	round       round
	doubt       bool // a witness failed: it has to be replaced
	leaving     bool
	retryAt     time.Time
	heartbeatAt time.Time
	improveAt   time.Time
	// successor is the member that was last seen to hold the tenure.
	successor Member
	// yieldUntil is until when another home is believed to have taken over.
	yieldUntil time.Time
	sweepAt    time.Time
	missed     map[Member]int
	// seen is the highest epoch that a witness has told of. Contradicted says
	// that a witness knew this home's epoch as another's: the store was set
	// back to an older record.
	seen         Epoch
	contradicted bool
	// confirmed is the latest store operation that proved that no other home
	// had taken over since this one knew all keys.
	confirmed OpID
}

// waiter is a request that waits for its claim.
type waiter struct {
	Request
	arrived time.Time
	// before is the last operation that was started when the request came.
	before OpID
	// admitted says that the request has a place.
	admitted bool
}

// NewHome returns a home that holds no tenure.
func NewHome(cfg Config, self Member, d Delegate) *Home {
	return &Home{
		cfg:      cfg,
		self:     self,
		delegate: d,
		phase:    newPhaseMachine(),
		held:     make(map[Epoch]bool),
		entries:  make(map[Key]*entry),
		dispatch: make(map[RequestID]*entry),
		queued:   make(map[Key]*queuedKey),
		ops:      make(map[OpID]op),
		missed:   make(map[Member]int),
	}
}

// SetCandidates replaces the names of the nodes that may be witnesses, best
// first. Alone says that the fleet has no other node: the home then needs no
// witness.
func (h *Home) SetCandidates(names []string, alone bool) {
	h.candidates = names
	h.alone = alone
}

// SetLeaving tells that the node is going down. A home that leaves does not
// take a tenure back: those who wait are told to ask the next one.
func (h *Home) SetLeaving(now time.Time) {
	h.leaving = true
	h.Tick(now)
}

// Submit offers a request: it is admitted, dispatched or replied to, now or later.
func (h *Home) Submit(now time.Time, r Request) {
	if h.known(now, r) {
		return
	}
	h.offer(now, waiter{Request: r, arrived: now, before: h.lastOp})
	h.Tick(now)
}

// offer takes the next step for a request whose key is not known.
func (h *Home) offer(now time.Time, w waiter) {
	if h.active() && (h.enqueue(now, w) || h.begin(now, w)) {
		return
	}
	h.pending = append(h.pending, w)
}

// known answers a request whose key the home has seen. It reports false if the
// key is not known.
func (h *Home) known(now time.Time, r Request) bool {
	e := h.lookup(now, r.Key)
	if e == nil {
		return false
	}
	if e.state == stateUnknown && e.claim == r.AbandonedClaim && !h.held[e.claim.Epoch] {
		h.forget(e)
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
		e.followers = append(e.followers, waiter{Request: r, arrived: now, before: h.lastOp})
	case e.state == stateDone && e.answer != nil:
		h.delegate.Reply(r.ID, Result{Outcome: outcome.New(outcome.ReasonAnswered, "", 0), Answer: e.answer})
	case e.state == stateDone:
		h.refuse(r.ID, outcome.ReasonEarlierUnknown, "the request ran; its answer is no longer kept")
	default:
		h.refuse(r.ID, outcome.ReasonEarlierUnknown, "")
	}
	return true
}

// uncertain reports whether another home claimed the key and may never have
// dispatched it.
func (h *Home) uncertain(e *entry) bool {
	return e.state == stateUnknown && !h.held[e.claim.Epoch]
}

// refuse replies with an outcome that filbertmill itself gives.
func (h *Home) refuse(id RequestID, reason outcome.Reason, detail string) {
	h.delegate.Reply(id, Result{Outcome: outcome.New(reason, detail, 0)})
}

// Cancel withdraws a request that was not dispatched; its caller left. It does
// nothing to a request that was.
func (h *Home) Cancel(now time.Time, r Request) {
	h.pending = withoutWaiter(h.pending, r.ID)
	h.leaveQueue(now, r)
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
		h.forget(e)
		h.retryPending(now)
	}
}

// Finish reports the end of a dispatched request.
func (h *Home) Finish(now time.Time, id RequestID, r Result) {
	e := h.dispatch[id]
	if e == nil {
		panic("once: a request ended that was not dispatched")
	}
	delete(h.dispatch, id)
	followers := e.followers
	e.followers = nil
	switch r.Outcome.Kind {
	case outcome.NotRun:
		h.forget(e)
		h.tell(Release{Key: e.key, Claim: e.claim})
	case outcome.Run:
		h.keep(now, e, r.Answer)
		h.tell(Done{Key: e.key, Claim: e.claim, Answer: e.answer})
	default:
		e.state = stateUnknown
		e.expires = now.Add(h.cfg.Retention)
	}
	for _, w := range followers {
		if r.Outcome.Kind == outcome.NotRun {
			h.delegate.Reply(w.ID, r)
			continue
		}
		h.known(now, w.Request)
	}
}

// tell sends what became of a claim to the witnesses, those being installed
// included.
func (h *Home) tell(m Message) {
	told := append(slices.Clone(h.round.witnesses), h.round.chosen...)
	for i, w := range told {
		if !slices.Contains(told[:i], w) {
			h.delegate.Send(0, w, m)
		}
	}
}

// Len returns the number of keys remembered.
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
