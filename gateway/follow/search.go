package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/gateway/replica"
)

const (
	// probePatience is how long a search waits for the answers to its probes, the time to
	// connect included, before it goes on to further candidates. A node that answers
	// within probeTimeout has not failed all the same: its host may be short of processor
	// time, while many nodes connect to it.
	probePatience = pollGrace
	probeTimeout  = time.Second
	// firstBatch is the number of candidates that are probed first after the loss of a
	// relay. Each further batch is batchGrowth times larger, so that a search among
	// dozens of lost nodes ends within about a second.
	firstBatch  = 2
	batchGrowth = 4
)

var errProbeLate = errors.New("the answer to a probe is late")

// startSearch starts to look for the next relay of an availability zone, unless it is
// being looked for. It must be called with mu held.
func (f *Follower) startSearch(zone string) {
	if f.searchCtx == nil || zone == "" || f.searching[zone] {
		return
	}
	f.searching[zone] = true
	go f.search(f.searchCtx, zone)
}

// search probes the candidates of an availability zone, in the order of their ranks and
// in growing batches, until one answers. Candidates that do not answer have failed.
func (f *Follower) search(ctx context.Context, zone string) {
	start, probed, found := time.Now(), 0, ""
	for size := firstBatch; found == "" && ctx.Err() == nil; size *= batchGrowth {
		batch := f.unprovenCandidates(zone, size)
		if len(batch) == 0 {
			break
		}
		probed += len(batch)
		found = f.probeAll(ctx, batch)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.searching, zone)
	f.publishRelays(time.Now())
	f.cfg.Log.Info("looked for a relay", "zone", zone, "found", found, "probed", probed, "took_ms", time.Since(start).Milliseconds())
}

// unprovenCandidates returns the best ranked nodes of a zone that have not failed, up to
// the first one that has answered recently. It returns no more than limit.
func (f *Follower) unprovenCandidates(zone string, limit int) []replica.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []replica.Node
	now := time.Now()
	for _, n := range RankRelays(f.cfg.Replica.View().Nodes) {
		if n.AvailabilityZone != zone || f.outages[n.Name] != nil {
			continue
		}
		fd := f.feeds[n.Name]
		if n.Name == f.cfg.Self.Name || (fd != nil && fd.answers(now)) || len(list) == limit {
			break
		}
		list = append(list, n)
	}
	return list
}

// probeAll probes nodes concurrently. It returns the name of the best ranked one that
// answers, as soon as those before it have failed, or an empty name. Nodes that have not
// answered after probePatience count as failed until they do.
func (f *Follower) probeAll(ctx context.Context, nodes []replica.Node) string {
	results := make([]chan error, len(nodes))
	for i, n := range nodes {
		results[i] = make(chan error, 1)
		go func() { results[i] <- f.probe(ctx, n) }()
	}
	patience := time.NewTimer(probePatience)
	defer patience.Stop()
	late := false
	for i, n := range nodes {
		if !late {
			select {
			case err := <-results[i]:
				results[i] <- err
			case <-patience.C:
				late = true
			}
		}
		select {
		case err := <-results[i]:
			if err == nil {
				return n.Name
			}
		default:
			f.dropFailed(n.Name, errProbeLate)
		}
	}
	return ""
}

// probe asks a node for a sign of life. It records the result.
func (f *Follower) probe(ctx context.Context, n replica.Node) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply changesReply
	err := f.cfg.Transport.Call(ctx, peerOf(n), kindChanges, changesRequest{NoticeOnly: true, Probe: true}, &reply)
	if err == nil && reply.Leaving {
		err = errLeaving
	}
	if err != nil {
		f.dropFailed(n.Name, errors.Wrap(err, "probe"))
		return err
	}
	f.mu.Lock()
	delete(f.outages, n.Name)
	f.mu.Unlock()
	f.recordAnswer(n.Name, reply.Age)
	return nil
}

// dropFailed ends the polls of a node that failed, and starts its backoff.
func (f *Follower) dropFailed(name string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fd := f.feeds[name]; fd != nil {
		fd.cancel()
		delete(f.feeds, name)
	}
	f.recordFailure(name, err)
}
