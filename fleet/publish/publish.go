// Package publish changes the fleet configuration in the platform's store on
// behalf of operators.
//
// A change is validated first. It is accepted by one compare-and-swap in the
// store, and gets a revision higher than every earlier one. Accepted versions
// stay in the store as history.
package publish

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/config/source"
	"filbertmill.example/fleet"
	"filbertmill.example/platform"
)

// Errors of a change. Only with ErrOutcomeUnknown may the change have been
// accepted.
var (
	// ErrOutcomeUnknown reports a write without a reply whose outcome could not
	// be read from the store.
	ErrOutcomeUnknown = errors.New("it is not known whether the change was accepted; read the store when it is back")
	// ErrNoRevision reports a revision that the history does not have.
	ErrNoRevision = errors.New("no such revision in the history")
	// ErrNoAuthor reports a change without an author.
	ErrNoAuthor = errors.New("a change needs an author")
)

// InvalidError reports a configuration that is not valid. It was not written to
// the store.
type InvalidError struct {
	// Problems are the faults found, each with file, line and key.
	Problems []source.Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// ChangedError reports that another change was accepted after the version on
// which a change was based. The change was not accepted.
type ChangedError struct {
	// Base is the revision that the change was based on.
	Base int64
	// Current is the newest version in the store.
	Current fleet.Document
	// Differences are those from the base to the current version. They are nil
	// if the history no longer has the base.
	Differences []Difference
}

// Error implements error.
func (e *ChangedError) Error() string {
	lines := []string{fmt.Sprintf("the change is based on revision %d, but %s made revision %s meanwhile",
		e.Base, e.Current.Author, e.Current.Version)}
	for _, d := range e.Differences {
		lines = append(lines, "  "+d.String())
	}
	return strings.Join(lines, "\n")
}

// Change is a change of the configuration by an operator.
type Change struct {
	// File is the name of the text in problems; Text is the configuration in INI.
	File string
	Text []byte
	// Base is the revision that the change is based on; 0 if there is none.
	Base int64
	// Author is who makes the change and Note is the reason.
	Author string
	Note   string
	// HighestInForce is the highest revision known to be in force on any node.
	// The new revision is higher, even if the store was restored from a backup
	// that does not have that revision.
	HighestInForce int64
}

// Publisher changes the configuration in a store.
type Publisher struct {
	// Store is the platform's store.
	Store platform.Store
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// head is the newest version and the store's revision of its key. Both are zero
// if there is no version.
type head struct {
	document fleet.Document
	revision platform.Revision
}

// Current returns the newest version, or platform.ErrNotFound if there is none.
func (p *Publisher) Current(ctx context.Context) (fleet.Document, error) {
	h, err := p.head(ctx)
	if err == nil && h.revision == 0 {
		err = platform.ErrNotFound
	}
	return h.document, err
}

// head returns the newest version, or the zero head if there is none.
func (p *Publisher) head(ctx context.Context) (head, error) {
	e, err := p.Store.Get(ctx, fleet.ConfigurationKey)
	if errors.Is(err, platform.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, errors.Wrap(err, "read the configuration")
	}
	d, err := fleet.DecodeDocument(e.Value)
	return head{document: d, revision: e.Revision}, err
}

// Apply validates a change and writes it to the store. Its errors are
// *InvalidError, *ChangedError, ErrNoAuthor, ErrOutcomeUnknown and those of the
// store.
func (p *Publisher) Apply(ctx context.Context, c Change) (fleet.Document, error) {
	if c.Author == "" {
		return fleet.Document{}, ErrNoAuthor
	}
	if _, problems := dynamic.Parse(c.File, c.Text); len(problems) > 0 {
		return fleet.Document{}, &InvalidError{Problems: problems}
	}
	h, err := p.head(ctx)
	if err != nil {
		return fleet.Document{}, err
	}
	if h.document.Version.Revision != c.Base {
		return fleet.Document{}, p.changedError(ctx, c.Base, h.document)
	}
	d := fleet.Document{
		Version:  fleet.Version{Revision: max(c.Base, c.HighestInForce) + 1, ChangeID: rand.Text()},
		Previous: h.document.Version,
		Author:   c.Author,
		Note:     c.Note,
		Time:     p.now(),
		Text:     c.Text,
	}
	return d, p.write(ctx, h, d)
}

// Rollback makes a new version with the text of an earlier one. highestInForce
// is Change.HighestInForce.
func (p *Publisher) Rollback(ctx context.Context, revision int64, author, note string, highestInForce int64) (fleet.Document, error) {
	h, err := p.head(ctx)
	if err != nil {
		return fleet.Document{}, err
	}
	old, err := p.find(ctx, h.document, revision)
	if err != nil {
		return fleet.Document{}, err
	}
	if note == "" {
		note = fmt.Sprintf("rollback to revision %d", revision)
	}
	return p.Apply(ctx, Change{
		File:           fmt.Sprintf("revision %d", revision),
		Text:           old.Text,
		Base:           h.document.Version.Revision,
		Author:         author,
		Note:           note,
		HighestInForce: highestInForce,
	})
}

func (p *Publisher) now() time.Time {
	if p.Now != nil {
		return p.Now().UTC()
	}
	return time.Now().UTC()
}

// changedError returns a *ChangedError with the differences since the base.
func (p *Publisher) changedError(ctx context.Context, base int64, current fleet.Document) error {
	e := &ChangedError{Base: base, Current: current}
	if old, err := p.find(ctx, current, base); err == nil {
		e.Differences = Diff(old.Text, current.Text)
	}
	return e
}
