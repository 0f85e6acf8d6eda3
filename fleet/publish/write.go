package publish

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet"
	"filbertmill.example/platform"
)

const (
	// settleAttempts bounds the attempts to settle a write without a reply.
	settleAttempts = 8
	settlePause    = 250 * time.Millisecond
)

// write keeps the document as history and makes it the newest version.
func (p *Publisher) write(ctx context.Context, base head, d fleet.Document) error {
	data, err := d.Encode()
	if err != nil {
		return err
	}
	if err := p.keep(ctx, d.Version, data); err != nil {
		return errors.Wrap(err, "keep the history; the change was not made")
	}
	for attempt := range settleAttempts {
		if attempt > 0 {
			pause(ctx, settlePause<<min(attempt-1, 4))
		}
		settled, err := p.tryWrite(ctx, base, d, data)
		if settled {
			return err
		}
	}
	return ErrUnsettled
}

// tryWrite attempts the write once. Repeating it is safe: it takes effect only
// on the base. It reports whether the fate of the change is known.
func (p *Publisher) tryWrite(ctx context.Context, base head, d fleet.Document, data []byte) (bool, error) {
	_, err := p.Store.CompareAndSwap(ctx, fleet.ConfigurationKey, base.revision, data, "")
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, platform.ErrTooLarge):
		return true, err
	case !errors.As(err, &conflict):
		return p.settle(ctx, base, d)
	}
	current, err := fleet.DecodeDocument(conflict.Current.Value)
	if err != nil {
		return true, err
	}
	return p.judge(ctx, base, d, current)
}

// settle reads back whether a write without a reply took effect. It is settled
// only if the base is no longer the newest version.
func (p *Publisher) settle(ctx context.Context, base head, d fleet.Document) (bool, error) {
	h, err := p.head(ctx)
	if err != nil || h.revision == base.revision {
		return false, nil
	}
	return p.judge(ctx, base, d, h.document)
}

// judge decides by the change ids whether the change is the newest version or
// one of its ancestors.
func (p *Publisher) judge(ctx context.Context, base head, d, current fleet.Document) (bool, error) {
	if current.Version == d.Version {
		return true, nil
	}
	err := p.walk(ctx, current, func(ancestor fleet.Document) bool {
		return ancestor.Version == d.Version
	})
	if err == nil {
		return true, nil
	}
	if !errors.Is(err, ErrNoRevision) {
		return false, nil
	}
	return true, p.changed(ctx, base.document.Version.Revision, current)
}

// keep writes a version's history entry. The key holds the change id, so that
// an entry found there is the same one.
func (p *Publisher) keep(ctx context.Context, v fleet.Version, data []byte) error {
	var err error
	for attempt := range settleAttempts {
		if attempt > 0 {
			pause(ctx, settlePause<<min(attempt-1, 4))
		}
		_, err = p.Store.CompareAndSwap(ctx, v.HistoryKey(), 0, data, "")
		var conflict *platform.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
		if errors.Is(err, platform.ErrTooLarge) {
			return err
		}
	}
	return err
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
