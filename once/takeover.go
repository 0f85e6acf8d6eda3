package once

import "time"

// round is what a home knows of the tenure that it holds or is taking.
type round struct {
	// record is the record as last read or written, at revision.
	record   Tenure
	revision Revision
	// source is the witnesses one of whose copies must be taken over.
	source []Member
	// dispatcher is the home whose tenure is taken over.
	dispatcher Member
	// fenced says that the old home cannot dispatch any more, because a
	// witness or the home itself was started again. Only then may the copy be
	// given up after sealUntil.
	fenced    bool
	sealUntil time.Time
	// enlisted are the nodes that answered, and chosen those that get the copy.
	enlisted []Ack
	chosen   []Member
	// witnesses are those of the tenure that the home dispatches under.
	witnesses []Member
}

// enlistSpare is how many more candidates are asked than witnesses are needed.
const enlistSpare = 2

// want starts to take the tenure, if that is due.
func (h *Home) want(now time.Time) {
	if !h.in(phaseIdle) || now.Before(h.retryAt) {
		return
	}
	h.fire(triggerWant)
	h.read(now, opRead)
}

// renew reads the record to replace the witnesses; the home stays active until
// the store has answered.
func (h *Home) renew(now time.Time) {
	if h.active() && h.waiting(opRenew) == 0 && !now.Before(h.retryAt) {
		h.retryAt = now.Add(h.cfg.RetryInterval)
		h.read(now, opRenew)
	}
}

// stop gives the present attempt up; the next may start after the given time.
func (h *Home) stop(now time.Time, wait time.Duration) {
	h.fire(triggerStop)
	h.abandonClaims()
	h.endRefusals()
	clear(h.ops)
	clear(h.missed)
	h.retryAt = later(h.retryAt, now.Add(wait))
}

// resign gives the tenure up to a home with a higher epoch.
func (h *Home) resign(now time.Time) {
	h.complete = false
	h.yieldUntil = now.Add(h.cfg.RetakeDelay)
	h.stop(now, 0)
}

// haveRecord claims the next epoch after the record that was read.
func (h *Home) haveRecord(now time.Time, o op, t Tenure, revision Revision) {
	mine := h.complete && t.Epoch >= h.epoch && t.Holder == h.self
	if mine {
		h.confirm(o)
	}
	if mine && o.kind == opVerify {
		return
	}
	if h.active() && !mine {
		h.successor = t.Holder
		h.resign(now)
		return
	}
	switch {
	case mine: // nobody else can have dispatched since
	case h.contradicted || t.Epoch < max(h.epoch, h.seen):
		h.lose(now) // the store was set back: nobody knows what is missing
	case !t.Started:
		h.complete = true
	default:
		h.complete = false
	}
	h.fire(triggerRead)
	h.abandonClaims()
	h.endRefusals()
	clear(h.ops)
	h.round.record = t
	h.round.revision = revision
	h.round.source = t.Witnesses
	h.round.dispatcher = t.Dispatcher
	h.round.fenced = t.Dispatcher.Name == h.self.Name && t.Dispatcher != h.self
	next := t
	next.Epoch = max(t.Epoch, h.epoch, h.seen) + 1
	next.Holder = h.self
	next.Active = false
	h.write(now, opClaim, next)
}

// note takes note of the epoch that a witness has seen. It reports whether
// this home's epoch is not the latest.
func (h *Home) note(a Ack) bool {
	if a.Epoch > h.seen {
		h.seen = a.Epoch
		h.successor = a.Holder
	}
	if a.Epoch == h.epoch && a.Holder != h.self {
		h.contradicted = true
	}
	return a.Epoch > h.epoch || h.contradicted
}

// confirm notes that the store showed this home to hold the tenure at some
// time after the operation started.
func (h *Home) confirm(o op) {
	h.confirmed = max(h.confirmed, o.id)
}

// lose notes that the copy of earlier keys cannot be had any more.
func (h *Home) lose(now time.Time) {
	h.complete = true
	h.contradicted = false
	h.lostUntil = now.Add(h.cfg.Retention)
}

// claimed goes on after the store took the new epoch.
func (h *Home) claimed(now time.Time, o op, revision Revision) {
	h.epoch = o.tenure.Epoch
	h.held[h.epoch] = true
	h.seen = max(h.seen, h.epoch)
	h.round.record = o.tenure
	h.round.revision = revision
	if h.complete {
		h.confirm(o)
		h.enlist(now)
		return
	}
	h.fire(triggerClaimed)
	h.round.sealUntil = now.Add(h.cfg.SealTimeout)
	h.seal(now)
}

// seal asks all witnesses of the old tenure for their copy.
func (h *Home) seal(now time.Time) {
	for _, member := range h.round.source {
		h.send(now, member, Seal{Epoch: h.epoch, Holder: h.self}, op{kind: opSeal})
	}
	if h.round.dispatcher.Name != h.self.Name {
		h.send(now, Member{Name: h.round.dispatcher.Name}, Enlist{}, op{kind: opDispatcher})
	}
	h.loseIfHopeless(now)
}

// heardDispatcher notes whether the old home still runs.
func (h *Home) heardDispatcher(now time.Time, a Ack, answered bool) {
	if !h.in(phaseSealing) {
		return
	}
	if answered && a.Member != h.round.dispatcher {
		h.round.fenced = true
	}
	h.loseIfHopeless(now)
}

// sealed takes over the first copy that comes.
func (h *Home) sealed(now time.Time, a Ack, answered bool) {
	if !h.in(phaseSealing) {
		return
	}
	switch {
	case answered && a.Status == StatusAccepted && a.Copy != nil:
		h.adopt(now, *a.Copy)
		h.complete = true
		h.enlist(now)
		return
	case answered && a.Status == StatusSealed:
		h.note(a)
		h.stop(now, h.cfg.RetryInterval)
		return
	case answered && a.Status == StatusRestarted:
		h.round.source = withoutName(h.round.source, a.Member.Name)
		h.round.fenced = true
	}
	h.loseIfHopeless(now)
}

// loseIfHopeless gives the old copy up once no witness can have it, or none
// could be reached for long and the old home cannot dispatch any more.
func (h *Home) loseIfHopeless(now time.Time) {
	if h.waiting(opSeal)+h.waiting(opDispatcher) > 0 {
		return
	}
	hopeless := len(h.round.source) == 0 || !now.Before(h.round.sealUntil)
	if h.round.fenced && hopeless {
		h.lose(now)
		h.enlist(now)
	}
}

// withoutName returns the members but for those with the name.
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
	h.round.enlisted = nil
	h.round.chosen = nil
	asked := h.candidates[:min(len(h.candidates), h.cfg.Witnesses+enlistSpare)]
	switch {
	case len(asked) == 0 && h.alone:
		h.install(now)
		return
	case len(asked) == 0:
		h.stop(now, h.cfg.RetryInterval)
		return
	}
	for _, name := range asked {
		h.send(now, Member{Name: name}, Enlist{}, op{kind: opEnlist})
	}
}

// enlisted notes a candidate's answer, and goes on once all have answered.
func (h *Home) enlisted(now time.Time, a Ack, answered bool) {
	if !h.in(phaseEnlisting) {
		return
	}
	if answered && h.note(a) {
		h.stop(now, h.cfg.RetryInterval)
		return
	}
	if answered {
		h.round.enlisted = append(h.round.enlisted, a)
	}
	if h.waiting(opEnlist) > 0 {
		return
	}
	h.choose()
	if len(h.round.chosen) == 0 {
		h.stop(now, h.cfg.RetryInterval)
		return
	}
	h.install(now)
}

// choose picks the witnesses among those that answered, best first.
func (h *Home) choose() {
	for _, leaving := range []bool{false, true} {
		for _, name := range h.candidates {
			h.chooseNamed(name, leaving)
		}
		if len(h.round.chosen) > 0 {
			return // fewer witnesses are better than some that leave
		}
	}
}

// chooseNamed takes a candidate that answered, while more are needed.
func (h *Home) chooseNamed(name string, leaving bool) {
	for _, a := range h.round.enlisted {
		if a.Member.Name == name && a.Leaving == leaving && len(h.round.chosen) < h.cfg.Witnesses {
			h.round.chosen = append(h.round.chosen, a.Member)
		}
	}
}

// install gives the chosen witnesses all that is known.
func (h *Home) install(now time.Time) {
	h.fire(triggerEnlisted)
	if len(h.round.chosen) == 0 {
		h.recordWitnesses(now)
		return
	}
	m := Install{Epoch: h.epoch, Holder: h.self, Copy: h.snapshot(now)}
	for _, member := range h.round.chosen {
		h.send(now, member, m, op{kind: opInstall})
	}
}

// installed goes on once all chosen witnesses hold the copy.
func (h *Home) installed(now time.Time, a Ack, answered bool) {
	if !h.in(phaseInstalling) {
		return
	}
	if !answered || a.Status != StatusAccepted {
		h.note(a)
		h.stop(now, h.cfg.RetryInterval)
		return
	}
	if h.waiting(opInstall) == 0 {
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
		Witnesses:  h.round.chosen,
	})
}

// start starts to dispatch.
func (h *Home) start(now time.Time, o op, revision Revision) {
	h.round.record = o.tenure
	h.round.revision = revision
	h.round.witnesses = o.tenure.Witnesses
	h.confirm(o)
	h.fire(triggerConfirmed)
	h.doubt = false
	clear(h.missed)
	h.heartbeatAt = now.Add(h.cfg.HeartbeatInterval)
	h.retryPending(now)
}
