package follow

import (
	"context"
	"time"

	"filbertmill.example/fleet/control"
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
}

// changesReply answers a changesRequest.
type changesReply struct {
	Changes []platform.Item `cbor:"1,keyasint,omitempty"`
	// Through is the revision up to which the relay's replica is complete. If
	// NoticeOnly is set, the changes up to it are left out.
	Through platform.Revision `cbor:"2,keyasint"`
	// Snapshot is set if Changes is a full snapshot of the store.
	Snapshot bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the store last confirmed the relay's replica.
	Age time.Duration `cbor:"4,keyasint"`
	// Leaving is set if the relay is about to shut down.
	Leaving bool `cbor:"5,keyasint,omitempty"`
}

// serveChanges answers the poll of another node.
func (f *Follower) serveChanges(ctx context.Context, _ string, body []byte) (any, error) {
	var req changesRequest
	if err := control.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	f.recordPoll()
	timer := time.NewTimer(min(req.Wait, otherZoneWait))
	defer timer.Stop()
	ageCheck := time.NewTicker(ageCheckInterval)
	defer ageCheck.Stop()
	wasFresh := req.Fresh || f.storeAge() < maxRelayAge
	for {
		changed := f.cfg.Replica.Changed()
		changes, through, snapshot := f.cfg.Replica.Changes(req.After)
		reply := changesReply{Changes: changes, Through: through, Snapshot: snapshot, Age: f.storeAge(), Leaving: f.leaving.Load()}
		if req.NoticeOnly {
			reply.Changes = nil
		}
		if len(changes) > 0 || reply.Leaving || (wasFresh && reply.Age >= maxRelayAge) {
			return reply, nil
		}
		select {
		case <-changed:
		case <-ageCheck.C:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
