package once

import "time"

// opKind says what a Home waits for.
type opKind uint8

const (
	opIntent opKind = iota
	opHeartbeat
	opRefusal
	opSeal
	opDispatcher
	opEnlist
	opInstall
	opRead
	opRenew
	opVerify
	opClaim
	opConfirm
)

// op is something asked of the Delegate whose answer has not come.
type op struct {
	id      OpID
	kind    opKind
	started time.Time
	// entry is set for an Intent, and member for other messages.
	entry  *entry
	member Member
	// refusal is set for an Enlist that confirms one.
	refusal *refusal
	// tenure is what is written.
	tenure Tenure
}

// open notes an operation and returns its id.
func (h *Home) open(now time.Time, o op) OpID {
	o.started = now
	h.lastOp++
	o.id = h.lastOp
	h.ops[h.lastOp] = o
	return h.lastOp
}

// close returns the operation and forgets it. It reports false if the answer
// is not waited for any more.
func (h *Home) close(id OpID) (op, bool) {
	o, ok := h.ops[id]
	delete(h.ops, id)
	return o, ok
}

// send sends a message whose answer is waited for.
func (h *Home) send(now time.Time, to Member, m Message, o op) {
	o.member = to
	h.delegate.Send(h.open(now, o), to, m)
}

// read reads the record.
func (h *Home) read(now time.Time, kind opKind) {
	h.delegate.Read(h.open(now, op{kind: kind}))
}

// write writes the record.
func (h *Home) write(now time.Time, kind opKind, t Tenure) {
	h.delegate.Write(h.open(now, op{kind: kind, tenure: t}), t, h.round.revision)
}

// waiting returns the number of open operations of a kind.
func (h *Home) waiting(kind opKind) int {
	n := 0
	for _, o := range h.ops {
		if o.kind == kind {
			n++
		}
	}
	return n
}

// HandleAck gives a witness's answer to a message; answered is false if none came.
func (h *Home) HandleAck(now time.Time, id OpID, a Ack, answered bool) {
	o, ok := h.close(id)
	if !ok {
		return
	}
	switch o.kind {
	case opIntent:
		h.recorded(now, o, a, answered)
	case opHeartbeat:
		h.heard(now, o, a, answered)
	case opRefusal:
		h.confirmRefusal(now, o, a, answered)
	case opSeal:
		h.sealed(now, a, answered)
	case opDispatcher:
		h.heardDispatcher(now, a, answered)
	case opEnlist:
		h.enlisted(now, a, answered)
	case opInstall:
		h.installed(now, a, answered)
	}
	h.Tick(now)
}

// HandleRead gives the record; ok is false if it could not be read. A record
// that does not exist is the zero Tenure with revision 0.
func (h *Home) HandleRead(now time.Time, id OpID, t Tenure, revision Revision, ok bool) {
	o, open := h.close(id)
	if !open {
		return
	}
	switch {
	case ok:
		h.haveRecord(now, o, t, revision)
	case o.kind == opRead:
		h.stop(now, h.cfg.RetryInterval)
	}
	h.Tick(now)
}

// HandleWrite tells whether a write took effect; ok is false if it did not, or
// if that is not known.
func (h *Home) HandleWrite(now time.Time, id OpID, revision Revision, ok bool) {
	o, open := h.close(id)
	if !open {
		return
	}
	switch {
	case !ok:
		h.stop(now, h.cfg.RetryInterval)
	case o.kind == opClaim:
		h.claimed(now, o, revision)
	default:
		h.start(now, o, revision)
	}
	h.Tick(now)
}
