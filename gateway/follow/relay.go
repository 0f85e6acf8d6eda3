package follow

import (
	"context"
	"time"

	"filbertmill.example/fleet/control"
	"filbertmill.example/platform"
)

// kindChanges asks a relay for what has changed: a question, answered by an
// update as soon as there is something to tell.
const kindChanges control.Kind = "changes"

// question asks for the changes after a revision.
type question struct {
	After platform.Revision `cbor:"1,keyasint"`
	// Wait is how long the relay holds the question while nothing changes.
	Wait time.Duration `cbor:"2,keyasint"`
	// NoticeOnly asks that something changed, not what: another relay tells it.
	NoticeOnly bool `cbor:"3,keyasint,omitempty"`
	// Fresh says that by the relay's last answer its copy was fresh: if it is not
	// any more, the node must hear so at once and follow the store itself.
	Fresh bool `cbor:"4,keyasint,omitempty"`
}

// update answers a question.
type update struct {
	Changes []platform.Item `cbor:"1,keyasint,omitempty"`
	// Through is the revision up to which the relay's copy is complete; with a
	// notice only, the changes up to it are not told.
	Through platform.Revision `cbor:"2,keyasint"`
	// Whole says that Changes is the whole content.
	Whole bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the store last confirmed the relay's copy.
	Age time.Duration `cbor:"4,keyasint"`
	// Leaving says that the relay is about to end.
	Leaving bool `cbor:"5,keyasint,omitempty"`
}

// answer serves a question of another node.
func (f *Follower) answer(ctx context.Context, _ string, body []byte) (any, error) {
	var q question
	if err := control.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	f.notePolled()
	timer := time.NewTimer(min(q.Wait, farWait))
	defer timer.Stop()
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	wasFresh := q.Fresh || f.storeAge() < freshAge
	for {
		changed := f.cfg.Replica.Changed()
		changes, through, whole := f.cfg.Replica.Changes(q.After)
		u := update{Changes: changes, Through: through, Whole: whole, Age: f.storeAge(), Leaving: f.leaving.Load()}
		if q.NoticeOnly {
			u.Changes = nil
		}
		if len(changes) > 0 || u.Leaving || (wasFresh && u.Age >= freshAge) {
			return u, nil
		}
		select {
		case <-changed:
		case <-look.C:
		case <-timer.C:
			return u, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
