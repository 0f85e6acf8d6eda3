package publish

import (
	"context"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet"
	"filbertmill.example/platform"
)

// maxHistory is the largest number of versions that are read from the history.
const maxHistory = 1000

// History returns the n newest versions, or fewer if the history has fewer. The
// newest comes first.
func (p *Publisher) History(ctx context.Context, n int) ([]fleet.Document, error) {
	h, err := p.head(ctx)
	if err != nil || h.revision == 0 {
		return nil, err
	}
	var out []fleet.Document
	err = p.walk(ctx, h.document, func(d fleet.Document) bool {
		out = append(out, d)
		return len(out) >= n
	})
	if errors.Is(err, ErrNoRevision) {
		err = nil
	}
	return out, err
}

// Find returns the version with the given revision, or ErrNoRevision.
func (p *Publisher) Find(ctx context.Context, revision int64) (fleet.Document, error) {
	h, err := p.head(ctx)
	if err != nil {
		return fleet.Document{}, err
	}
	return p.find(ctx, h.document, revision)
}

// find returns the version with the given revision among from and its
// ancestors.
func (p *Publisher) find(ctx context.Context, from fleet.Document, revision int64) (fleet.Document, error) {
	var found fleet.Document
	err := p.walk(ctx, from, func(d fleet.Document) bool {
		found = d
		return d.Version.Revision == revision
	})
	if err != nil {
		return fleet.Document{}, errors.Wrapf(err, "revision %d", revision)
	}
	return found, nil
}

// walk calls stop with a version and its ancestors until stop returns true. It
// returns ErrNoRevision if the history ends first.
func (p *Publisher) walk(ctx context.Context, from fleet.Document, stop func(fleet.Document) bool) error {
	d := from
	for range maxHistory {
		if d.Version.Revision == 0 {
			return ErrNoRevision
		}
		if stop(d) {
			return nil
		}
		if d.Previous.Revision == 0 {
			return ErrNoRevision
		}
		e, err := p.Store.Get(ctx, d.Previous.HistoryKey())
		if errors.Is(err, platform.ErrNotFound) {
			return ErrNoRevision
		}
		if err != nil {
			return errors.Wrap(err, "read the history")
		}
		if d, err = fleet.DecodeDocument(e.Value); err != nil {
			return err
		}
	}
	return ErrNoRevision
}
