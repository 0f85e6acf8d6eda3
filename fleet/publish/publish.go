// Package publish changes the fleet configuration in the platform's store on
// behalf of operators.
//
// A change is checked before it is accepted, is accepted by one
// compare-and-swap, and gets a revision above every earlier one. Accepted
// versions stay in the store as history.
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

// Errors of a change. Only ErrUnsettled leaves open whether it was accepted.
var (
	// ErrUnsettled reports a write whose fate could not be read back.
	ErrUnsettled = errors.New("it is not known whether the change was accepted; read the store when it is back")
	// ErrNoRevision reports a revision that the history does not have.
	ErrNoRevision = errors.New("no such revision in the history")
	// ErrNoAuthor reports a change without an author.
	ErrNoAuthor = errors.New("a change needs an author")
)

// InvalidError reports a configuration that was not accepted.
type InvalidError struct {
	// Problems are the faults, each with file, line and key.
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

// ChangedError reports that somebody else changed the configuration since the
// version on which a change was based. Nothing was written.
type ChangedError struct {
	// Base is the revision that the change was based on.
	Base int64
	// Current is what the store has now.
	Current fleet.Document
	// Differences lead from the base to the current one, if the history still
	// has the base.
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

// Change is what an operator wants.
type Change struct {
	// File names the text in problems; Text is the configuration in INI.
	File string
	Text []byte
	// Base is the revision that the operator started from; 0 if there was none.
	Base int64
	// Author and Note say who makes the change and why.
	Author string
	Note   string
	// HighestInForce is a revision known to be in force somewhere. A store that was
	// restored from an older copy may not know it.
	HighestInForce int64
}

// Publisher changes the configuration in a store.
type Publisher struct {
	// Store is the platform's store.
	Store platform.Store
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// head is the newest version with the store's revision of its key.
type head struct {
	document fleet.Document
	revision platform.Revision
}

// Current returns the newest version, or platform.ErrNotFound.
func (p *Publisher) Current(ctx context.Context) (fleet.Document, error) {
	h, err := p.head(ctx)
	if err == nil && h.revision == 0 {
		err = platform.ErrNotFound
	}
	return h.document, err
}

// head returns the newest version, the zero head if there is none.
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

// Apply checks a change and has it accepted. Failures are *InvalidError,
// *ChangedError, ErrNoAuthor, ErrUnsettled and those of the store.
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
		return fleet.Document{}, p.changed(ctx, c.Base, h.document)
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

// Rollback makes a new version with the text of an earlier one.
func (p *Publisher) Rollback(ctx context.Context, revision int64, author, note string, above int64) (fleet.Document, error) {
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
		HighestInForce: above,
	})
}

func (p *Publisher) now() time.Time {
	if p.Now != nil {
		return p.Now().UTC()
	}
	return time.Now().UTC()
}

// changed describes what others did since the base.
func (p *Publisher) changed(ctx context.Context, base int64, current fleet.Document) error {
	e := &ChangedError{Base: base, Current: current}
	if old, err := p.find(ctx, current, base); err == nil {
		e.Differences = Diff(old.Text, current.Text)
	}
	return e
}
