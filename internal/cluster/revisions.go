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

// pollInterval is the time between two requests for a node's revision.
const pollInterval = 50 * time.Millisecond

// Revisions records the revisions in force that the nodes report.
type Revisions struct {
	mu sync.Mutex
	// highest is the highest revision that each node reported.
	highest map[string]int64
	// firstReport is the time at which each node first reported each revision.
	firstReport map[string]map[int64]time.Time
	// regressions describes each report of a revision lower than an earlier one.
	regressions []string
}

// Follow polls the revisions of all nodes until the context ends. A poll that fails
// records nothing, and so does revision 0, which a node reports before it has a
// configuration.
func Follow(ctx context.Context, specs []process.Spec) *Revisions {
	r := &Revisions{highest: make(map[string]int64), firstReport: make(map[string]map[int64]time.Time)}
	for _, s := range specs {
		r.firstReport[s.Name] = make(map[int64]time.Time)
		go func() {
			for sleep(ctx, pollInterval) == nil {
				var report node.RevisionReport
				if process.GetJSON(ctx, s.Admin, "/revision", &report) == nil {
					r.record(s.Name, report.Revision)
				}
			}
		}()
	}
	return r
}

func (r *Revisions) record(name string, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision == 0 {
		return
	}
	if revision < r.highest[name] {
		r.regressions = append(r.regressions, fmt.Sprintf("%s reported %d after %d", name, revision, r.highest[name]))
	}
	r.highest[name] = max(r.highest[name], revision)
	if _, ok := r.firstReport[name][revision]; !ok {
		r.firstReport[name][revision] = time.Now()
	}
}

// Backward returns each report of a revision lower than an earlier one.
func (r *Revisions) Backward() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.regressions...)
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

// missing returns the named nodes that have not reported the revision or a higher one.
func (r *Revisions) missing(names []string, revision int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, n := range names {
		if r.highest[n] < revision {
			out = append(out, n)
		}
	}
	return out
}

// latest returns the time at which the last of the named nodes first reported the
// revision.
func (r *Revisions) latest(names []string, revision int64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var latest time.Time
	for _, n := range names {
		if at := r.firstReport[n][revision]; at.After(latest) {
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
