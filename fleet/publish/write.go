package publish

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet"
	"filbertmill.example/platform"
)

const (
	// maxWriteAttempts is the largest number of attempts to write a key and find
	// out the outcome.
	maxWriteAttempts = 8
	// firstRetryDelay is the wait before the second attempt. The wait doubles
	// with each further one, up to 16 times firstRetryDelay.
	firstRetryDelay = 250 * time.Millisecond
)

// write stores the document in the history and then makes it the newest version.
func (p *Publisher) write(ctx context.Context, base head, d fleet.Document) error {
	data, err := d.Encode()
	if err != nil {
		return err
	}
	if err := p.writeHistory(ctx, d.Version, data); err != nil {
		return errors.Wrap(err, "write the history entry; the change was not made")
	}
	for attempt := range maxWriteAttempts {
		if attempt > 0 {
			sleepContext(ctx, firstRetryDelay<<min(attempt-1, 4))
		}
		known, err := p.tryWrite(ctx, base, d, data)
		if known {
			return err
		}
	}
	return ErrOutcomeUnknown
}

// tryWrite makes one attempt to write the newest version. It reports whether the
// outcome of the change is known, and if so returns its error. It is safe to
// repeat, because a write takes effect only while the base is the newest version.
func (p *Publisher) tryWrite(ctx context.Context, base head, d fleet.Document, data []byte) (bool, error) {
	_, err := p.Store.CompareAndSwap(ctx, fleet.ConfigurationKey, base.revision, data, "")
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, platform.ErrTooLarge):
		return true, err
	case !errors.As(err, &conflict):
		return p.readOutcome(ctx, base, d)
	}
	current, err := fleet.DecodeDocument(conflict.Current.Value)
	if err != nil {
		return true, err
	}
	return p.checkAccepted(ctx, base, d, current)
}

// readOutcome determines from the store whether a write without a reply took
// effect. The outcome is known only if the base is no longer the newest version,
// because the write may otherwise still take effect.
func (p *Publisher) readOutcome(ctx context.Context, base head, d fleet.Document) (bool, error) {
	h, err := p.head(ctx)
	if err != nil || h.revision == base.revision {
		return false, nil
	}
	return p.checkAccepted(ctx, base, d, h.document)
}

// checkAccepted determines by the change ids whether the change was accepted: it
// is then the newest version or one of its ancestors. It reports whether that
// could be determined, and returns a *ChangedError if the change was not accepted.
func (p *Publisher) checkAccepted(ctx context.Context, base head, d, current fleet.Document) (bool, error) {
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
	return true, p.changedError(ctx, base.document.Version.Revision, current)
}

// writeHistory writes the history entry of a version. The key contains the
// change id, so that an entry that already exists is the same one.
func (p *Publisher) writeHistory(ctx context.Context, v fleet.Version, data []byte) error {
	var err error
	for attempt := range maxWriteAttempts {
		if attempt > 0 {
			sleepContext(ctx, firstRetryDelay<<min(attempt-1, 4))
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

// sleepContext returns after d or when ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
