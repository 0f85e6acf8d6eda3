package once

import "time"

// opKind is the kind of an operation.
type opKind uint8

const (
	// opIntent to opInstall are messages to other nodes.
	opIntent     opKind = iota
	opHeartbeat         // an Enlist to a witness of the current tenure
	opRefusal           // an Enlist that confirms a refusal
	opSeal              // a Seal to a witness of the old tenure
	opDispatcher        // an Enlist to the home of the old tenure
	opEnlist            // an Enlist to a candidate for a witness
	opInstall
	// opRead, opRenew and opVerify are reads of the record: to take the tenure, to
	// replace witnesses, and to check that this home still holds the tenure.
	opRead
	opRenew
	opVerify
	// opClaim and opConfirm are writes of the record: of a new epoch, and of the
	// witnesses of that epoch.
	opClaim
	opConfirm
)

// op is an operation that the Home requested from its Delegate and whose result is
// still awaited.
type op struct {
	id      OpID
	kind    opKind
	started time.Time
	// entry is the claimed entry, set for an Intent.
	entry *entry
	// member is the recipient, set for all messages.
	member Member
	// refusal is set for an Enlist that confirms a refusal.
	refusal *refusal
	// tenure is the record that is written.
	tenure Tenure
}

// startOp records an operation and returns its id.
func (h *Home) startOp(now time.Time, o op) OpID {
	o.started = now
	h.lastOp++
	o.id = h.lastOp
	h.ops[h.lastOp] = o
	return h.lastOp
}

// finishOp returns the operation and removes it. It reports false if the result is
// no longer awaited.
func (h *Home) finishOp(id OpID) (op, bool) {
	o, ok := h.ops[id]
	delete(h.ops, id)
	return o, ok
}

// send sends a message and awaits its answer.
func (h *Home) send(now time.Time, to Member, m Message, o op) {
	o.member = to
	h.delegate.Send(h.startOp(now, o), to, m)
}

// read starts to read the record.
func (h *Home) read(now time.Time, kind opKind) {
	h.delegate.Read(h.startOp(now, op{kind: kind}))
}

// write starts to write the record.
func (h *Home) write(now time.Time, kind opKind, t Tenure) {
	h.delegate.Write(h.startOp(now, op{kind: kind, tenure: t}), t, h.current.revision)
}

// openOps returns the number of open operations of a kind.
func (h *Home) openOps(kind opKind) int {
	n := 0
	for _, o := range h.ops {
		if o.kind == kind {
			n++
		}
	}
	return n
}

// HandleAck handles a witness's answer to a message. Answered is false if there was
// no answer.
func (h *Home) HandleAck(now time.Time, id OpID, a Ack, answered bool) {
	o, ok := h.finishOp(id)
	if !ok {
		return
	}
	switch o.kind {
	case opIntent:
		h.handleIntentAck(now, o, a, answered)
	case opHeartbeat:
		h.handleHeartbeatAck(now, o, a, answered)
	case opRefusal:
		h.handleRefusalAck(now, o, a, answered)
	case opSeal:
		h.handleSealAck(now, a, answered)
	case opDispatcher:
		h.handleDispatcherAck(now, a, answered)
	case opEnlist:
		h.handleEnlistAck(now, a, answered)
	case opInstall:
		h.handleInstallAck(now, a, answered)
	}
	h.Tick(now)
}

// HandleRead handles the result of a read; ok is false if the record could not be
// read. A record that does not exist is the zero Tenure with revision 0.
func (h *Home) HandleRead(now time.Time, id OpID, t Tenure, revision Revision, ok bool) {
	o, open := h.finishOp(id)
	if !open {
		return
	}
	switch {
	case ok:
		h.handleRecord(now, o, t, revision)
	case o.kind == opRead:
		h.abort(now, h.cfg.RetryInterval)
	}
	h.Tick(now)
}

// HandleWrite handles the result of a write. ok is false if the write did not take
// effect, or if this is not known.
func (h *Home) HandleWrite(now time.Time, id OpID, revision Revision, ok bool) {
	o, open := h.finishOp(id)
	if !open {
		return
	}
	switch {
	case !ok:
		h.abort(now, h.cfg.RetryInterval)
	case o.kind == opClaim:
		h.handleClaimed(now, o, revision)
	default:
		h.becomeActive(now, o, revision)
	}
	h.Tick(now)
}
