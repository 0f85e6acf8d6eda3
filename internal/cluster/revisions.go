package cluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/node"
	"filbertmill.example/testbed/process"
)

// pollInterval is the time between two looks at a node's revision.
const pollInterval = 50 * time.Millisecond

// Revisions follows the revision that each node reports.
type Revisions struct {
	mu    sync.Mutex
	last  map[string]int64
	first map[string]map[int64]time.Time
	back  []string
}

// Follow looks at all nodes' revisions until the context ends. A node that does
// not answer reports nothing; revision 0, before the first, is not counted.
func Follow(ctx context.Context, specs []process.Spec) *Revisions {
	r := &Revisions{last: make(map[string]int64), first: make(map[string]map[int64]time.Time)}
	for _, s := range specs {
		r.first[s.Name] = make(map[int64]time.Time)
		go func() {
			for sleep(ctx, pollInterval) == nil {
				var report node.RevisionReport
				if process.GetJSON(ctx, s.Admin, "/revision", &report) == nil {
					r.see(s.Name, report.Revision)
				}
			}
		}()
	}
	return r
}

func (r *Revisions) see(name string, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision == 0 {
		return
	}
	if revision < r.last[name] {
		r.back = append(r.back, fmt.Sprintf("%s reported %d after %d", name, revision, r.last[name]))
	}
	r.last[name] = max(r.last[name], revision)
	if _, ok := r.first[name][revision]; !ok {
		r.first[name][revision] = time.Now()
	}
}

// Backward returns each report of a revision lower than an earlier one.
func (r *Revisions) Backward() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.back...)
}

// Await waits until all named nodes have reported the revision or a higher one,
// and returns how long after since the last of them did.
func (r *Revisions) Await(ctx context.Context, names []string, revision int64, since time.Time) (time.Duration, error) {
	for {
		missing := r.missing(names, revision)
		if len(missing) == 0 {
			return r.latest(names, revision).Sub(since), nil
		}
		if err := sleep(ctx, pollInterval/2); err != nil {
			return 0, errors.Wrapf(err, "revision %d is not in force on %v", revision, missing)
		}
	}
}

func (r *Revisions) missing(names []string, revision int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, n := range names {
		if r.last[n] < revision {
			out = append(out, n)
		}
	}
	return out
}

func (r *Revisions) latest(names []string, revision int64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var latest time.Time
	for _, n := range names {
		if at := r.first[n][revision]; at.After(latest) {
			latest = at
		}
	}
	return latest
}

// Names returns the names of the running nodes.
func (c *Cluster) Names() []string {
	out := make([]string, 0, len(c.Nodes))
	for name := range c.Nodes {
		out = append(out, name)
	}
	return out
}
