package once

import "time"

// tenureState is what a home knows about the tenure that it holds or takes over.
type tenureState struct {
	// record is the record as last read or written; revision is its version.
	record   Tenure
	revision Revision
	// oldWitnesses are the witnesses of the old tenure. The copy of one of them must
	// be taken over.
	oldWitnesses []Member
	// dispatcher is the home whose tenure is taken over.
	dispatcher Member
	// fenced is set if the old home can no longer dispatch, because a witness or
	// that home itself was restarted. Only then may the copy be abandoned after
	// sealUntil.
	fenced    bool
	sealUntil time.Time
	// enlisted holds the answers of candidates; chosen are those that get the copy.
	enlisted []Ack
	chosen   []Member
	// witnesses are the witnesses of the tenure under which the home dispatches.
	witnesses []Member
}

// extraCandidates is how many candidates are asked in addition to the number of
// witnesses needed, since some may not answer.
const extraCandidates = 2

// startTakeover starts to take the tenure if the home is idle and retryAt has passed.
func (h *Home) startTakeover(now time.Time) {
	if !h.in(phaseIdle) || now.Before(h.retryAt) {
		return
	}
	h.fire(triggerStart)
	h.read(now, opRead)
}

// renew reads the record in order to replace the witnesses. The home stays active
// until the store has answered.
func (h *Home) renew(now time.Time) {
	if h.active() && h.openOps(opRenew) == 0 && !now.Before(h.retryAt) {
		h.retryAt = now.Add(h.cfg.RetryInterval)
		h.read(now, opRenew)
	}
}

// abort aborts the current attempt to take or renew the tenure. The next may start
// after the given time.
func (h *Home) abort(now time.Time, wait time.Duration) {
	h.fire(triggerStop)
	h.abandonClaims()
	h.requeueRefusals()
	clear(h.ops)
	clear(h.missedHeartbeats)
	h.retryAt = later(h.retryAt, now.Add(wait))
}

// resign releases the tenure to a home with a higher epoch.
func (h *Home) resign(now time.Time) {
	h.complete = false
	h.yieldUntil = now.Add(h.cfg.RetakeDelay)
	h.abort(now, 0)
}

// handleRecord handles the record that was read. It claims the next epoch, or
// resigns if the home was active and another one holds the tenure.
func (h *Home) handleRecord(now time.Time, o op, t Tenure, revision Revision) {
	holdsTenure := h.complete && t.Epoch >= h.epoch && t.Holder == h.self
	if holdsTenure {
		h.recordConfirmed(o)
	}
	if holdsTenure && o.kind == opVerify {
		return
	}
	if h.active() && !holdsTenure {
		h.successor = t.Holder
		h.resign(now)
		return
	}
	switch {
	case holdsTenure: // no other home can have dispatched since
	case h.epochConflict || t.Epoch < max(h.epoch, h.highestSeen):
		h.markLost(now) // the store was set back: it is not known which keys are missing
	case !t.Started:
		h.complete = true
	default:
		h.complete = false
	}
	h.fire(triggerRead)
	h.abandonClaims()
	h.requeueRefusals()
	clear(h.ops)
	h.current.record = t
	h.current.revision = revision
	h.current.oldWitnesses = t.Witnesses
	h.current.dispatcher = t.Dispatcher
	h.current.fenced = t.Dispatcher.Name == h.self.Name && t.Dispatcher != h.self
	next := t
	next.Epoch = max(t.Epoch, h.epoch, h.highestSeen) + 1
	next.Holder = h.self
	next.Active = false
	h.write(now, opClaim, next)
}

// observe records the epoch that a witness reports. It reports whether this home's
// epoch is not the latest.
func (h *Home) observe(a Ack) bool {
	if a.Epoch > h.highestSeen {
		h.highestSeen = a.Epoch
		h.successor = a.Holder
	}
	if a.Epoch == h.epoch && a.Holder != h.self {
		h.epochConflict = true
	}
	return a.Epoch > h.epoch || h.epochConflict
}

// recordConfirmed records that the store showed this home to hold the tenure at some
// time after the operation started.
func (h *Home) recordConfirmed(o op) {
	h.confirmedOp = max(h.confirmedOp, o.id)
}

// markLost records that the copy of earlier keys is lost. Until lostUntil, any key
// that the home does not know may have been dispatched.
func (h *Home) markLost(now time.Time) {
	h.complete = true
	h.epochConflict = false
	h.lostUntil = now.Add(h.cfg.Retention)
}

// handleClaimed continues after the new epoch was written to the store.
func (h *Home) handleClaimed(now time.Time, o op, revision Revision) {
	h.epoch = o.tenure.Epoch
	h.ownEpochs[h.epoch] = true
	h.highestSeen = max(h.highestSeen, h.epoch)
	h.current.record = o.tenure
	h.current.revision = revision
	if h.complete {
		h.recordConfirmed(o)
		h.enlist(now)
		return
	}
	h.fire(triggerClaimed)
	h.current.sealUntil = now.Add(h.cfg.SealTimeout)
	h.seal(now)
}

// seal asks all witnesses of the old tenure for their copy. It also asks the old
// home's node whether it was restarted.
func (h *Home) seal(now time.Time) {
	for _, member := range h.current.oldWitnesses {
		h.send(now, member, Seal{Epoch: h.epoch, Holder: h.self}, op{kind: opSeal})
	}
	if h.current.dispatcher.Name != h.self.Name {
		h.send(now, Member{Name: h.current.dispatcher.Name}, Enlist{}, op{kind: opDispatcher})
	}
	h.abandonLostCopy(now)
}

// handleDispatcherAck records whether the old home was restarted.
func (h *Home) handleDispatcherAck(now time.Time, a Ack, answered bool) {
	if !h.in(phaseSealing) {
		return
	}
	if answered && a.Member != h.current.dispatcher {
		h.current.fenced = true
	}
	h.abandonLostCopy(now)
}

// handleSealAck takes over the first copy that arrives.
func (h *Home) handleSealAck(now time.Time, a Ack, answered bool) {
	if !h.in(phaseSealing) {
		return
	}
	switch {
	case answered && a.Status == StatusAccepted && a.Copy != nil:
		h.mergeCopy(now, *a.Copy)
		h.complete = true
		h.enlist(now)
		return
	case answered && a.Status == StatusSealed:
		h.observe(a)
		h.abort(now, h.cfg.RetryInterval)
		return
	case answered && a.Status == StatusRestarted:
		h.current.oldWitnesses = withoutName(h.current.oldWitnesses, a.Member.Name)
		h.current.fenced = true
	}
	h.abandonLostCopy(now)
}

// abandonLostCopy abandons the old copy if the old home can no longer dispatch, and
// either no witness can have the copy or none was reached within SealTimeout.
func (h *Home) abandonLostCopy(now time.Time) {
	if h.openOps(opSeal)+h.openOps(opDispatcher) > 0 {
		return
	}
	noCopy := len(h.current.oldWitnesses) == 0 || !now.Before(h.current.sealUntil)
	if h.current.fenced && noCopy {
		h.markLost(now)
		h.enlist(now)
	}
}

// withoutName returns the members except those with the name.
func withoutName(list []Member, name string) []Member {
	var kept []Member
	for _, m := range list {
		if m.Name != name {
			kept = append(kept, m)
		}
	}
	return kept
}

// enlist asks the candidates whether they can be witnesses.
func (h *Home) enlist(now time.Time) {
	h.fire(triggerComplete)
	clear(h.ops)
	h.current.enlisted = nil
	h.current.chosen = nil
	asked := h.candidates[:min(len(h.candidates), h.cfg.Witnesses+extraCandidates)]
	switch {
	case len(asked) == 0 && h.alone:
		h.install(now)
		return
	case len(asked) == 0:
		h.abort(now, h.cfg.RetryInterval)
		return
	}
	for _, name := range asked {
		h.send(now, Member{Name: name}, Enlist{}, op{kind: opEnlist})
	}
}

// handleEnlistAck records a candidate's answer. Once no more answers are awaited, it
// chooses the witnesses.
func (h *Home) handleEnlistAck(now time.Time, a Ack, answered bool) {
	if !h.in(phaseEnlisting) {
		return
	}
	if answered && h.observe(a) {
		h.abort(now, h.cfg.RetryInterval)
		return
	}
	if answered {
		h.current.enlisted = append(h.current.enlisted, a)
	}
	if h.openOps(opEnlist) > 0 {
		return
	}
	h.chooseWitnesses()
	if len(h.current.chosen) == 0 {
		h.abort(now, h.cfg.RetryInterval)
		return
	}
	h.install(now)
}

// chooseWitnesses picks the witnesses among those that answered, best first.
func (h *Home) chooseWitnesses() {
	for _, leaving := range []bool{false, true} {
		for _, name := range h.candidates {
			h.chooseCandidate(name, leaving)
		}
		if len(h.current.chosen) > 0 {
			return // fewer witnesses are better than some that are shutting down
		}
	}
}

// chooseCandidate chooses the named candidate if it answered and more witnesses are
// needed. Leaving selects candidates that are, or are not, shutting down.
func (h *Home) chooseCandidate(name string, leaving bool) {
	for _, a := range h.current.enlisted {
		if a.Member.Name == name && a.Leaving == leaving && len(h.current.chosen) < h.cfg.Witnesses {
			h.current.chosen = append(h.current.chosen, a.Member)
		}
	}
}

// install sends the chosen witnesses a copy of all that is known.
func (h *Home) install(now time.Time) {
	h.fire(triggerEnlisted)
	if len(h.current.chosen) == 0 {
		h.recordWitnesses(now)
		return
	}
	m := Install{Epoch: h.epoch, Holder: h.self, Copy: h.snapshot(now)}
	for _, member := range h.current.chosen {
		h.send(now, member, m, op{kind: opInstall})
	}
}

// handleInstallAck continues once all chosen witnesses hold the copy.
func (h *Home) handleInstallAck(now time.Time, a Ack, answered bool) {
	if !h.in(phaseInstalling) {
		return
	}
	if !answered || a.Status != StatusAccepted {
		h.observe(a)
		h.abort(now, h.cfg.RetryInterval)
		return
	}
	if h.openOps(opInstall) == 0 {
		h.recordWitnesses(now)
	}
}

// recordWitnesses writes the witnesses to the record.
func (h *Home) recordWitnesses(now time.Time) {
	h.fire(triggerInstalled)
	h.write(now, opConfirm, Tenure{
		Epoch:      h.epoch,
		Holder:     h.self,
		Started:    true,
		Active:     true,
		Dispatcher: h.self,
		Witnesses:  h.current.chosen,
	})
}

// becomeActive starts to dispatch under the tenure that was written.
func (h *Home) becomeActive(now time.Time, o op, revision Revision) {
	h.current.record = o.tenure
	h.current.revision = revision
	h.current.witnesses = o.tenure.Witnesses
	h.recordConfirmed(o)
	h.fire(triggerConfirmed)
	h.needsRenewal = false
	clear(h.missedHeartbeats)
	h.heartbeatAt = now.Add(h.cfg.HeartbeatInterval)
	h.retryPending(now)
}
