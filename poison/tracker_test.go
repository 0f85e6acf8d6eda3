package poison_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/poison"
)

var start = time.Date(2026, 7, 1, 6, 0, 0, 0, time.UTC)

const bad, good = poison.Fingerprint(1), poison.Fingerprint(2)

// crash records that the target crashed while it ran f, at seconds after start.
func crash(t *poison.Tracker, f poison.Fingerprint, target string, seconds int) (poison.Entry, bool) {
	ended := start.Add(time.Duration(seconds) * time.Second)
	return t.RecordCrash(poison.Report{
		Fingerprint: f,
		Service:     "bookings",
		Route:       "book",
		Request:     fmt.Sprint("r", seconds),
		Crash:       poison.Crash{Target: target, Started: ended.Add(-100 * time.Millisecond), Ended: ended},
	})
}

func TestTwoTargetsQuarantineAndAbsolve(t *testing.T) {
	c := qt.New(t)
	tracker := poison.NewTracker(poison.DefaultConfig())

	_, quarantined := crash(tracker, bad, "b1", 0)
	c.Assert(quarantined, qt.IsFalse)
	_, refuse := tracker.Check(start, bad)
	c.Assert(refuse, qt.IsFalse, qt.Commentf("one crash does not lead to quarantine"))

	entry, quarantined := crash(tracker, bad, "b2", 5)
	c.Assert(quarantined, qt.IsTrue)
	c.Assert(entry.Crashes, qt.HasLen, 2)
	c.Assert(entry.Crashes[0].Target, qt.Equals, "b1")
	c.Assert(entry.Crashes[0].Started, qt.Equals, start.Add(-100*time.Millisecond))
	c.Assert(entry.Crashes[1].Target, qt.Equals, "b2")

	now := start.Add(6 * time.Second)
	_, refuse = tracker.Check(now, bad)
	c.Assert(refuse, qt.IsTrue)
	_, refuse = tracker.Check(now, good)
	c.Assert(refuse, qt.IsFalse, qt.Commentf("other requests of the route run"))
	list := tracker.List(now)
	c.Assert(list, qt.HasLen, 1)
	c.Assert(list[0].Refused, qt.Equals, 1)
	c.Assert(list[0].Request, qt.Equals, "r5")
}

func TestWhatDoesNotLeadToQuarantine(t *testing.T) {
	for _, test := range []struct {
		desc string
		run  func(*poison.Tracker)
	}{
		{"the same target twice", func(tr *poison.Tracker) {
			crash(tr, bad, "b1", 0)
			crash(tr, bad, "b1", 9)
		}},
		{"a complete answer in between", func(tr *poison.Tracker) {
			crash(tr, bad, "b1", 0)
			tr.RecordSuccess(start.Add(3*time.Second), bad)
			crash(tr, bad, "b2", 9)
		}},
		{"crashes further apart than Config.Memory", func(tr *poison.Tracker) {
			crash(tr, bad, "b1", 0)
			crash(tr, bad, "b2", 15*60)
		}},
		{"an operator's release", func(tr *poison.Tracker) {
			crash(tr, bad, "b1", 0)
			crash(tr, bad, "b2", 5)
			tr.Release(start.Add(6*time.Second), bad)
			crash(tr, bad, "b3", 7)
		}},
		{"a request in flight next to another poison request", func(tr *poison.Tracker) {
			crash(tr, bad, "b1", 0)
			crash(tr, good, "b1", 0)
			crash(tr, good, "b2", 5)
			crash(tr, bad, "b2", 5)
		}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			tracker := poison.NewTracker(poison.DefaultConfig())
			test.run(tracker)
			_, refuse := tracker.Check(start.Add(10*time.Second), bad)
			qt.Assert(t, refuse, qt.IsFalse)
		})
	}
}

func TestQuarantineEnds(t *testing.T) {
	c := qt.New(t)
	tracker := poison.NewTracker(poison.DefaultConfig())
	crash(tracker, bad, "b1", 0)
	entry, _ := crash(tracker, bad, "b2", 5)

	_, refuse := tracker.Check(entry.Until.Add(-time.Second), bad)
	c.Assert(refuse, qt.IsTrue)
	_, refuse = tracker.Check(entry.Until, bad)
	c.Assert(refuse, qt.IsFalse)
	c.Assert(tracker.List(entry.Until), qt.HasLen, 0)
	c.Assert(tracker.Release(entry.Until, bad), qt.IsFalse)
}

func TestImportCarriesAQuarantineToAnotherNode(t *testing.T) {
	c := qt.New(t)
	home := poison.NewTracker(poison.DefaultConfig())
	successor := poison.NewTracker(poison.DefaultConfig())
	crash(home, bad, "b1", 0)
	entry, _ := crash(home, bad, "b2", 5)
	now := start.Add(10 * time.Second)

	c.Assert(successor.Import(now, entry), qt.IsTrue)
	c.Assert(successor.Import(now, entry), qt.IsFalse)
	_, refuse := successor.Check(now, bad)
	c.Assert(refuse, qt.IsTrue)

	entry.Until = now.Add(24 * time.Hour) // the other node's clock is ahead
	entry.Fingerprint = good
	c.Assert(successor.Import(now, entry), qt.IsTrue)
	list := successor.List(now)
	c.Assert(list[1].Until, qt.Equals, now.Add(poison.DefaultConfig().Quarantine))
	c.Assert(successor.Import(entry.Until, entry), qt.IsFalse, qt.Commentf("an entry that is over"))
}

func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	cfg := poison.DefaultConfig()
	cfg.Capacity = 10
	tracker := poison.NewTracker(cfg)
	crash(tracker, bad, "b1", 0)
	crash(tracker, bad, "b2", 5)
	for i := range 100 {
		crash(tracker, poison.Fingerprint(1000+i), "b3", 10+i)
		c.Assert(tracker.Len() <= 10, qt.IsTrue)
	}
	_, refuse := tracker.Check(start.Add(2*time.Minute), bad)
	c.Assert(refuse, qt.IsTrue, qt.Commentf("suspects go before entries"))
	for i := range 100 {
		crash(tracker, poison.Fingerprint(2000+i), fmt.Sprint("c", i), 200+3*i)
		crash(tracker, poison.Fingerprint(2000+i), fmt.Sprint("d", i), 201+3*i)
		c.Assert(tracker.Len() <= 10, qt.IsTrue)
	}
}

func TestFingerprint(t *testing.T) {
	c := qt.New(t)
	f := poison.NewFingerprint("POST", "bookings.example", "/book?id=7", 42)
	seen := map[poison.Fingerprint]string{f: "the first"}
	for _, test := range []struct {
		desc               string
		method, host, path string
		digest             uint64
	}{
		{"another method", "PUT", "bookings.example", "/book?id=7", 42},
		{"another host", "POST", "invoices.example", "/book?id=7", 42},
		{"another query", "POST", "bookings.example", "/book?id=8", 42},
		{"another body", "POST", "bookings.example", "/book?id=7", 43},
		{"host and path divided at another place", "POST", "bookings.example/", "book?id=7", 42},
	} {
		g := poison.NewFingerprint(test.method, test.host, test.path, test.digest)
		c.Assert(seen[g], qt.Equals, "", qt.Commentf(test.desc))
		seen[g] = test.desc
	}
	back, err := poison.ParseFingerprint(f.String())
	c.Assert(err, qt.IsNil)
	c.Assert(back, qt.Equals, f)
	c.Assert(poison.Fingerprint(7).String(), qt.Equals, "0000000000000007")
	_, err = poison.ParseFingerprint("not hexadecimal")
	c.Assert(err, qt.IsNotNil)
}

// TestHandoversEndWithTheQuarantine guards against nodes that tell one another of a
// quarantine again and again, so that it never ends.
func TestHandoversEndWithTheQuarantine(t *testing.T) {
	c := qt.New(t)
	const transit = 200 * time.Millisecond
	one, two := poison.NewTracker(poison.DefaultConfig()), poison.NewTracker(poison.DefaultConfig())
	crash(one, bad, "b1", 0)
	crash(one, bad, "b2", 1)
	end := start.Add(time.Second + poison.DefaultConfig().Quarantine)
	c.Assert(poison.Digest(one.Handovers(start)), qt.Not(qt.Equals), uint64(0))
	refuses := func(tr *poison.Tracker, now time.Time) bool {
		_, refuse := tr.Check(now, bad)
		return refuse
	}
	for now := start.Add(time.Second); now.Before(end.Add(10 * transit)); now = now.Add(transit) {
		two.TakeOver(now.Add(transit), one.Handovers(now))
		one.TakeOver(now.Add(transit), two.Handovers(now))
		switch at := now.Add(transit); {
		case at.Before(end):
			c.Assert(refuses(one, at) && refuses(two, at), qt.IsTrue, qt.Commentf("%s before the end", end.Sub(at)))
		case at.After(end.Add(2 * transit)):
			c.Assert(refuses(one, at) || refuses(two, at), qt.IsFalse, qt.Commentf("%s after the end", at.Sub(end)))
		}
	}

	var many []poison.Handover
	for i := range 10_000 {
		many = append(many, poison.Handover{Fingerprint: poison.Fingerprint(i), Left: time.Hour})
	}
	full := poison.NewTracker(poison.DefaultConfig())
	c.Check(full.TakeOver(start, many), qt.HasLen, poison.MaxHandovers)
	_, refuse := full.Check(start.Add(poison.DefaultConfig().Quarantine), poison.Fingerprint(1))
	c.Check(refuse, qt.IsFalse, qt.Commentf("a quarantine of another node is no longer than one of this node"))
}
