package follow

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
	"filbertmill.example/testbed/memory"
)

// slowWatchStore is a store without content. Its watches are answered after a delay.
type slowWatchStore struct {
	delay time.Duration
	// reads counts full snapshots, and calls those and all others.
	reads, calls atomic.Int64
	// compacted is the revision up to which the store has no history.
	compacted atomic.Int64
	// after is the revision from which the latest watch began.
	after atomic.Int64
}

func (s *slowWatchStore) Range(context.Context, string, string) (platform.Page, error) {
	s.calls.Add(1)
	return platform.Page{Revision: s.revision()}, nil
}

func (s *slowWatchStore) ReadListing(_ context.Context, l *platform.Listing, _ platform.Patience) error {
	s.reads.Add(1)
	s.calls.Add(1)
	l.Revision = s.revision()
	return nil
}

func (s *slowWatchStore) revision() platform.Revision {
	return platform.Revision(max(1, s.compacted.Load()))
}

func (s *slowWatchStore) WatchPrefix(ctx context.Context, _ string, after platform.Revision, _ time.Duration, _ platform.Patience) ([]platform.Item, platform.Revision, error) {
	s.after.Store(int64(after))
	if int64(after) < s.compacted.Load() {
		return nil, 0, platform.ErrCompacted
	}
	sleep(ctx, s.delay)
	return nil, max(after, 1), ctx.Err()
}

func (s *slowWatchStore) Txn(context.Context, map[string]platform.Revision, []platform.Put) (platform.Revision, error) {
	return 1, nil
}

// TestAnswerConfirmsAsOfItsCall guards against a copy that is taken for current because
// an answer was long on its way, or was read late by a process that stood still.
func TestAnswerConfirmsAsOfItsCall(t *testing.T) {
	const delay = 300 * time.Millisecond
	f := newBareFollower(t, "n0", "a")
	f.cfg.Store = &slowWatchStore{delay: delay}
	w := &watch{follower: f}
	ctx, cancel := context.WithTimeout(t.Context(), 2*delay)
	defer cancel()
	go func() { _ = w.run(ctx) }()
	await(t, "the watch confirms", 2*delay, func() bool { return f.CopyAge() < neverConfirmed })
	qt.Check(t, f.CopyAge() >= delay, qt.IsTrue, qt.Commentf("%s", f.CopyAge()))

	relay := serveRelay(t, func(ctx context.Context, _ changesRequest) changesReply {
		sleep(ctx, delay)
		return changesReply{Through: 1, Age: delay}
	})
	node := newBareFollower(t, "n1", "a")
	reply, err := node.poll(t.Context(), relay, 0, time.Second, false)
	qt.Assert(t, err, qt.IsNil)
	node.merge(relay.Name, reply)
	qt.Check(t, node.CopyAge() >= 2*delay, qt.IsTrue, qt.Commentf("%s", node.CopyAge()))
}

// serveRelay serves polls with a function and returns the node of that relay.
func serveRelay(t *testing.T, answer func(context.Context, changesRequest) changesReply) replica.Node {
	t.Helper()
	relay := newBareFollower(t, "relay", "a")
	relay.cfg.Transport.Handle(kindChanges, func(ctx context.Context, _ string, body []byte) (any, error) {
		var req changesRequest
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		return answer(ctx, req), nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = relay.cfg.Transport.Serve(l) }()
	return replica.Node{Name: "relay", AvailabilityZone: "a", ControlAddress: l.Addr().String()}
}

// TestSuspensionAgesACopy guards against a host that was suspended and takes the copy
// that it had before for a current one.
func TestSuspensionAgesACopy(t *testing.T) {
	f := newBareFollower(t, "n0", "a")
	f.recordConfirmation(time.Now())
	f.confirmations.suspended -= 5 * time.Second
	qt.Check(t, f.CopyAge() >= 5*time.Second, qt.IsTrue, qt.Commentf("%s", f.CopyAge()))
	start := startCall()
	start.suspended -= 5 * time.Second
	qt.Check(t, time.Since(start.time()) >= 5*time.Second, qt.IsTrue)
}

// TestCopyAgesBetweenAnswers guards against a node that takes a relay's last answer for
// current until the relay's next one is overdue, instead of following the store in time.
func TestCopyAgesBetweenAnswers(t *testing.T) {
	relay := serveRelay(t, func(ctx context.Context, req changesRequest) changesReply {
		if req.Wait > 0 || req.Age < neverConfirmed {
			<-ctx.Done() // silent after the first answer
		}
		return changesReply{Through: 1, Age: maxCopyAge - 200*time.Millisecond}
	})
	store := &slowWatchStore{delay: time.Minute}
	f := newBareFollower(t, "n1", "b")
	f.cfg.Store, f.cfg.Seeds, f.cfg.FirstStart = store, []string{relay.ControlAddress}, true
	start := time.Now()
	go f.Run(t.Context())
	await(t, "the store is followed", propagationLimit, func() bool { return store.calls.Load() > 0 })
	qt.Check(t, time.Since(start) < fleetStartSeedTimeout+200*time.Millisecond, qt.IsTrue, qt.Commentf("after %s", time.Since(start)))
}

// TestStartTakesNoOldCopy guards against a node that starts and uses a target that is
// gone, or a replaced configuration, by the old copy of a node that lost the store.
func TestStartTakesNoOldCopy(t *testing.T) {
	old := []platform.Item{{Key: platform.ConfigurationKey, Value: []byte(`{"version":"00000001"}`), Revision: 1}}
	relay := serveRelay(t, func(context.Context, changesRequest) changesReply {
		return changesReply{Changes: old, Through: 1, Snapshot: true, Age: time.Minute}
	})
	f := newBareFollower(t, "n1", "b")
	f.cfg.Store = &slowWatchStore{delay: time.Minute}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = f.pollRelay(ctx, relay, sameZoneWait) }()
	time.Sleep(300 * time.Millisecond)
	qt.Check(t, f.cfg.Replica.View().Config, qt.IsNil)
	f.recordStoreFailure()
	await(t, "the old copy is used once the store is away", time.Second, func() bool { return f.cfg.Replica.View().Config != nil })
}

// TestOutageIsNotOfOneNode guards against a node that takes its own loss of the store
// for an outage, after which targets that are gone would stay in use.
func TestOutageIsNotOfOneNode(t *testing.T) {
	c := qt.New(t)
	f := newBareFollower(t, "n0", "a")
	c.Check(f.beginOutageGrace(), qt.Equals, time.Duration(0), qt.Commentf("first read"))
	f.recordConfirmation(time.Now().Add(-time.Minute))
	c.Check(f.beginOutageGrace(), qt.Equals, time.Duration(0), qt.Commentf("the node lived on relays"))
	f.recordStoreFailure()
	f.confirmByRelay("n1", answer{confirmedAt: time.Now().Add(-minOutage / 2)})
	c.Check(f.beginOutageGrace(), qt.Equals, time.Duration(0), qt.Commentf("a relay was served meanwhile"))

	f = newBareFollower(t, "n0", "a")
	before := time.Now().Add(-2 * minOutage)
	f.recordConfirmation(before)
	f.recordStoreFailure()
	c.Check(f.beginOutageGrace(), qt.Equals, targetReportTime)
	entry := platform.Item{Key: platform.TargetPrefix + "i-1", Revision: 1, Value: []byte(
		`{"address":"10.0.0.1:1","born":1,"info":{"service":"s","slots":2},"status":{"state":"ready"}}`)}
	f.cfg.Replica.Replace("test", []platform.Item{entry}, 1, 0)
	f.cfg.Replica.Replace("test", nil, 2, targetReportTime)
	f.confirmByRelay("n1", answer{confirmedAt: time.Now(), unbrokenSince: before.Add(time.Millisecond)})
	c.Check(f.cfg.Replica.View().Targets["s"], qt.HasLen, 1, qt.Commentf("the relay was without the store, too"))
	f.confirmByRelay("n1", answer{confirmedAt: time.Now(), unbrokenSince: before})
	c.Check(f.cfg.Replica.View().Targets["s"], qt.HasLen, 0, qt.Commentf("the store served the relay all the time"))
}

// TestTargetsReportAfterAnOutage guards against nodes that drop targets whose entries
// expired while the store was away, before they could report, or that keep them for
// longer than these may take.
func TestTargetsReportAfterAnOutage(t *testing.T) {
	t.Parallel()
	fleet := startProxiedFleet(t, 6)
	fleet.putTarget(t, "silent", "10.0.0.2:1")
	for _, m := range fleet.members {
		await(t, "the second target is known", propagationLimit, func() bool { return m.lists("silent") })
	}
	fleet.standin.Store.SetFaults(memory.Faults{Unavailable: true})
	fleet.standin.Store.ExpireLeases()
	time.Sleep(2500 * time.Millisecond)
	fleet.standin.Store.SetFaults(memory.Faults{})
	back := time.Now()
	time.Sleep(targetReportTime / 2)
	fleet.putTarget(t, "leased", "10.0.0.1:1")
	limit := retryMax + targetReportTime + time.Second
	for _, m := range fleet.members {
		await(t, "the silent target is dropped", limit-time.Since(back), func() bool {
			qt.Assert(t, m.lists("leased") || time.Since(back) > targetReportTime/2, qt.IsTrue, qt.Commentf("dropped before it could report"))
			return !m.lists("silent")
		})
		qt.Check(t, m.lists("leased"), qt.IsTrue)
	}
}

// TestWatchLeavesOutWhatRelaysDelivered guards against a relay with a thin link that stays
// behind, because each version of a large configuration that other relays have sent it comes
// once more from the store.
func TestWatchLeavesOutWhatRelaysDelivered(t *testing.T) {
	store := &slowWatchStore{delay: 200 * time.Millisecond}
	f := newBareFollower(t, "n0", "a")
	f.cfg.Store = store
	w := &watch{follower: f}
	go func() { _ = w.run(t.Context()) }()
	await(t, "the first watch", time.Second, func() bool { return store.after.Load() == 0 })
	f.cfg.Replica.Merge("relay", replica.Delta{Through: 7, Snapshot: true})
	await(t, "the next watch begins behind that", 2*time.Second, func() bool { return store.after.Load() == 7 })
}

var _ Store = (*slowWatchStore)(nil)

// TestPausedNodeAwaitsAConfirmation guards against a process that was paused for
// seconds and serves requests by its configuration and targets from before.
func TestPausedNodeAwaitsAConfirmation(t *testing.T) {
	c := qt.New(t)
	wait := func(f *Follower) time.Duration {
		start := time.Now()
		f.AwaitCurrent(t.Context())
		return time.Since(start)
	}
	f := newBareFollower(t, "n0", "a")
	c.Check(wait(f) < awaitConfirmation/2, qt.IsTrue, qt.Commentf("a node without a copy refuses"))
	f.recordConfirmation(time.Now().Add(-requiredAge / 2))
	c.Check(wait(f) < awaitConfirmation/2, qt.IsTrue, qt.Commentf("the copy is current"))
	f.confirmations.suspended -= requiredAge
	time.AfterFunc(awaitConfirmation/3, func() { f.recordConfirmation(time.Now()) })
	took := wait(f)
	c.Check(took >= awaitConfirmation/3 && took < awaitConfirmation, qt.IsTrue, qt.Commentf("confirmed after %s", took))

	f.confirmations.suspended -= requiredAge
	c.Check(wait(f) >= awaitConfirmation, qt.IsTrue, qt.Commentf("nothing confirms the copy"))
	f.recordStoreFailure()
	c.Check(wait(f) < awaitConfirmation/2, qt.IsTrue, qt.Commentf("the store is away"))
}

// TestRelayResumesFromItsRevision guards against full snapshots, to a node that follows
// the store when its relays are lost and to all that poll it then.
func TestRelayResumesFromItsRevision(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*Follower, *slowWatchStore)
		reads   int64
	}{
		"current by relays":       {func(*Follower, *slowWatchStore) {}, 0},
		"history is gone":         {func(_ *Follower, s *slowWatchStore) { s.compacted.Store(2) }, 1},
		"a call failed meanwhile": {func(f *Follower, _ *slowWatchStore) { f.recordStoreFailure() }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			store := &slowWatchStore{delay: time.Minute}
			f := newBareFollower(t, "n0", "a")
			f.cfg.Store = store
			f.merge("relay", answer{through: 1, content: &replica.Delta{Through: 1}, confirmedAt: time.Now().Add(-maxCopyAge)})
			test.prepare(f, store)
			go f.followStore(t.Context())
			await(t, "the copy is confirmed", propagationLimit, func() bool { return f.CopyAge() < maxCopyAge/2 })
			if test.reads > 0 {
				await(t, "the store is read", propagationLimit, func() bool { return store.reads.Load() > 0 })
			}
			qt.Check(t, store.reads.Load(), qt.Equals, test.reads)
		})
	}
}
