package follow

import (
	"context"
	"time"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/content"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

// kindChanges is the call that polls a relay for changes: a changesRequest, which is
// answered with a changesReply as soon as there is a change to report.
const kindChanges control.Kind = "changes"

// changesRequest asks for the changes after a revision.
type changesRequest struct {
	After platform.Revision `cbor:"1,keyasint"`
	// Wait is how long the relay holds the request while nothing changes.
	Wait time.Duration `cbor:"2,keyasint"`
	// NoticeOnly asks only whether anything changed: another relay sends the changes.
	NoticeOnly bool `cbor:"3,keyasint,omitempty"`
	// Fresh is set if the relay's replica was fresh by its last answer. If it has
	// become stale, the relay must answer immediately, so that the node follows the
	// store itself.
	Fresh bool `cbor:"4,keyasint,omitempty"`
	// Age is the age of the node's replica. A relay whose replica is much younger
	// answers without changes, unless NoticeOnly is set.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// Probe asks only for a sign of life: the node need not become a relay.
	Probe bool `cbor:"6,keyasint,omitempty"`
	// Checksum is that of the node's replica at the revision After, or 0 if the replica
	// cannot be compared.
	Checksum uint64 `cbor:"7,keyasint,omitempty"`
	// Fetches is set if the node can fetch announced values and lists.
	Fetches bool `cbor:"8,keyasint,omitempty"`
}

// changesReply answers a changesRequest.
type changesReply struct {
	Changes []platform.Item `cbor:"1,keyasint,omitempty"`
	// Through is the revision up to which the relay's replica is complete.
	Through platform.Revision `cbor:"2,keyasint"`
	// Snapshot is set if Changes is a full snapshot of the store.
	Snapshot bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the relay's replica was last confirmed.
	Age time.Duration `cbor:"4,keyasint"`
	// Leaving is set if the relay is about to shut down.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Lapsed holds, for removed targets that may report again, how long they stay
	// usable.
	Lapsed map[string]time.Duration `cbor:"6,keyasint,omitempty"`
	// Held is the time for which the relay held the poll.
	Held time.Duration `cbor:"7,keyasint,omitempty"`
	// Unbroken is for how long the relay's replica has been confirmed without a gap.
	Unbroken time.Duration `cbor:"8,keyasint,omitempty"`
	// Notice is set if the changes up to Through are left out, so that Changes,
	// Snapshot and Lapsed say nothing.
	Notice bool `cbor:"9,keyasint,omitempty"`
	// Differs is set if the relay's replica has the revision After and another checksum.
	Differs bool `cbor:"10,keyasint,omitempty"`
	// Announced lists the changes whose values are to be fetched with kindValue.
	Announced []replica.Announcement `cbor:"11,keyasint,omitempty"`
	// List is the first part of Changes if they are sent in parts, by kindList.
	List content.Part `cbor:"12,keyasint,omitzero"`

	// hasChanges is set if there are changes, sent or not.
	hasChanges bool
}

// serveChanges answers the poll of another node.
func (f *Follower) serveChanges(ctx context.Context, from string, body []byte) (any, error) {
	received := time.Now()
	var req changesRequest
	if err := control.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	if !req.Probe {
		f.recordPoll()
	}
	timer := time.NewTimer(min(req.Wait, otherZoneWait))
	defer timer.Stop()
	ageCheck := time.NewTicker(ageCheckInterval)
	defer ageCheck.Stop()
	wasFresh := req.Fresh || f.CopyAge() < maxCopyAge
	settled := false
	for expired := req.Wait <= 0; ; {
		changed := f.cfg.Replica.Changed()
		// The confirmation is read before the content that it vouches for.
		confirmedAt, renewed := f.confirmation()
		reply := f.changesReply(req, confirmedAt, received)
		younger := confirmedAt.Sub(received.Add(-req.Age)) >= confirmationStep
		// Copies that are being brought up to date may differ for a moment.
		reply.Differs = reply.Differs && settled
		if expired || reply.Differs || reply.hasChanges || reply.Leaving || (wasFresh && reply.Age >= maxCopyAge) || (younger && !req.NoticeOnly) {
			if reply.Differs {
				f.checkCopy(from)
			}
			if req.Fetches {
				return f.inParts(req.After, reply)
			}
			return reply, nil
		}
		if req.NoticeOnly {
			renewed = nil
		}
		select {
		case <-changed:
		case <-renewed:
		case <-ageCheck.C:
			settled = true
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// changesReply returns the reply to a poll that was received at the given time.
func (f *Follower) changesReply(req changesRequest, confirmedAt, received time.Time) changesReply {
	d := f.cfg.Replica.Changes(req.After)
	reply := changesReply{
		Changes: d.Items, Through: d.Through, Snapshot: d.Snapshot, Lapsed: d.Lapsed, hasChanges: len(d.Items) > 0,
		Unbroken: f.unbroken(), Leaving: f.leaving.Load(), Differs: differs(req, f.cfg.Replica.View()),
	}
	if req.NoticeOnly {
		reply.Changes, reply.Snapshot, reply.Lapsed, reply.Notice = nil, false, nil, true
	}
	reply.Held, reply.Age = time.Since(received), time.Since(confirmedAt)
	return reply
}
