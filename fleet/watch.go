package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"filbertmill.example/fleet/control"
	"filbertmill.example/platform"
)

// watchersPerRegion is the number of nodes of each region that watch the store
// and read the host list.
const watchersPerRegion = 3

// watch is this node's running watch of the store.
type watch struct {
	cancel context.CancelFunc
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// isWatcher reports whether this node is one of the nodes of its region that
// watch the store. The result is cached until the table changes.
func (a *Agent) isWatcher() bool {
	if a.watcherGeneration != a.table.generation {
		a.watcherGeneration = a.table.generation
		a.watcher = a.ranksAsWatcher()
	}
	return a.watcher
}

// ranksAsWatcher computes the result of isWatcher.
func (a *Agent) ranksAsWatcher() bool {
	var region []Member
	for _, m := range a.table.inState(StateAlive) {
		if m.Peer.Region == a.self.Peer.Region {
			region = append(region, m)
		}
	}
	for _, m := range RankTop("store watch", region, watchersPerRegion) {
		if m.Name() == a.self.Name() {
			return true
		}
	}
	return false
}

// updateWatch starts or ends this node's watch of the store, depending on
// isWatcher, and reads the host list if that is due.
func (a *Agent) updateWatch(now time.Time) {
	watching := a.joined && !a.catchingUp && a.isWatcher()
	if watching && a.cfg.Hosts != nil && due(now, &a.schedule.hostList, jitter(a.rng, a.timing.HostList)) {
		a.readHostList()
	}
	if a.cfg.Store == nil || watching == (a.watch != nil) {
		return
	}
	if !watching {
		a.watch.cancel()
		a.watch = nil
		return
	}
	seed := a.rng.Uint64()
	watchCtx, cancel := context.WithCancel(a.ctx)
	a.watch = &watch{cancel: cancel}
	a.spawn(func(context.Context) { a.watchStore(watchCtx, newRand(seed)) })
}

// watchStore passes each new configuration in the store to the control
// goroutine.
func (a *Agent) watchStore(ctx context.Context, rng *rand.Rand) {
	var from platform.Revision
	var backoff control.Backoff
	for ctx.Err() == nil {
		e, err := a.cfg.Store.Watch(ctx, ConfigurationKey, from)
		if err != nil {
			backoff.Fail(time.Now(), rng)
			sleepContext(ctx, backoff.Wait(time.Now()))
			continue
		}
		backoff.Succeed()
		from = e.Revision
		a.handleStoreEntry(e)
	}
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

// handleStoreEntry parses an entry and passes it to the control goroutine.
func (a *Agent) handleStoreEntry(e platform.Entry) {
	d, err := DecodeDocument(e.Value)
	if e.Revision == 0 || err != nil {
		return
	}
	p := a.parse(d)
	a.post(func(now time.Time) { a.applyIfNewer(p, "store", now) })
}

// pollInterval returns the time until this node reads the store again. All
// nodes together read it about once per Timing.StorePoll.
func (a *Agent) pollInterval() time.Duration {
	nodes := max(1, len(a.table.inState(StateAlive)))
	return jitter(a.rng, time.Duration(nodes)*a.timing.StorePoll)
}

// pollStore reads the store once, in case the watches are stuck.
func (a *Agent) pollStore() {
	if a.cfg.Store == nil || !a.joined {
		return
	}
	a.spawn(func(ctx context.Context) {
		p, err := a.readStore(ctx)
		if err == nil && p != nil {
			a.post(func(now time.Time) { a.applyIfNewer(*p, "store", now) })
		}
	})
}

// readHostList reads the host list and applies the hosts in it to the table.
func (a *Agent) readHostList() {
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		hosts, err := a.cfg.Hosts.Hosts(ctx)
		if err != nil {
			return
		}
		a.post(func(now time.Time) {
			for _, h := range hosts {
				a.applyListedHost(h, now)
			}
		})
	})
}

// applyListedHost applies one host of the host list to the table. A node's own
// record supersedes the list, except that a host which the list reports as
// leaving is marked as leaving.
func (a *Agent) applyListedHost(h platform.Host, now time.Time) {
	e, known := a.table.entries[h.Name]
	if !known {
		e.member = Member{Peer: peerOf(h)}
	}
	if h.Leaving && e.member.State < StateLeaving {
		e.member.State = StateLeaving
	}
	a.applyRecord(e.member, now)
}
