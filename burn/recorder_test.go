package burn

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"filbertmill.example/outcome"
)

var now = time.Date(2026, 12, 4, 12, 0, 30, 0, time.UTC)

func TestClassify(t *testing.T) {
	for _, test := range []struct {
		desc   string
		reason outcome.Reason
		status int
		late   bool
		want   Cause
	}{
		{"answered", outcome.ReasonAnswered, 200, false, CauseGood},
		{"not found is an answer", outcome.ReasonAnswered, 404, false, CauseGood},
		{"server error", outcome.ReasonAnswered, 500, false, CauseTarget},
		{"answered too late", outcome.ReasonAnswered, 200, true, CauseTarget},
		{"queue full", outcome.ReasonQueueFull, 0, false, CauseOverload},
		{"caller left", outcome.ReasonCallerLeft, 0, false, CauseCaller},
		{"poison", outcome.ReasonPoison, 0, false, CausePoison},
		{"home lost", outcome.ReasonHomeLost, 0, false, CauseProxy},
		{"reason of a newer release", outcome.Reason("new"), 0, false, CauseProxy},
	} {
		t.Run(test.desc, func(t *testing.T) {
			qt.Assert(t, Classify(test.reason, test.status, test.late), qt.Equals, test.want)
		})
	}
}

func TestWindows(t *testing.T) {
	r := NewRecorder(now.Add(-100 * 24 * time.Hour))
	for _, age := range []time.Duration{
		95 * 24 * time.Hour, 20 * 24 * time.Hour, 50 * time.Hour, 90 * time.Minute, 40 * time.Minute, 2 * time.Minute, 0,
	} {
		r.Record(now.Add(-age), "larder", CauseTarget)
		r.Record(now.Add(-age), "larder", CauseCaller)
	}
	total := Merge([]Snapshot{r.Snapshot(now, Query{})})
	for _, test := range []struct {
		window time.Duration
		want   uint64
	}{
		{5 * time.Minute, 2},
		{time.Hour, 3},
		{2 * time.Hour, 4},
		{72 * time.Hour, 5},
		{720 * time.Hour, 6},
		{90 * 24 * time.Hour, 6},
	} {
		t.Run(test.window.String(), func(t *testing.T) {
			c := total.Window(now, "larder", test.window)
			qt.Assert(t, c, qt.Equals, Counts{Target: test.want})
		})
	}
}

func TestClockGoesBack(t *testing.T) {
	r := NewRecorder(now)
	for range 3 {
		r.Record(now, "larder", CauseGood)
	}
	r.Record(now.Add(-61*time.Minute), "larder", CauseProxy)
	total := Merge([]Snapshot{r.Snapshot(now, Query{})})
	qt.Assert(t, total.Window(now, "larder", time.Hour), qt.Equals, Counts{Good: 3, Proxy: 1})
}

// handOver moves the counts of all other recorders to the first one and returns it.
func handOver(at time.Time, all []*Recorder) *Recorder {
	for _, r := range all[1:] {
		for _, page := range r.TakeSnapshots(at) {
			all[0].AddSnapshot(page)
		}
	}
	return all[0]
}

// Buckets of a handover that the receiver's finest level no longer covers, and
// those with an invalid epoch, are dropped; coarser levels keep the counts.
func TestHandoverDropsExpiredBuckets(t *testing.T) {
	old, receiver := NewRecorder(now.Add(-5*time.Hour)), NewRecorder(now)
	old.Record(now.Add(-2*time.Hour), "larder", CauseProxy)
	receiver.Record(now, "larder", CauseGood)
	for _, page := range old.TakeSnapshots(now.Add(-2 * time.Hour)) {
		receiver.AddSnapshot(page)
	}
	receiver.AddSnapshot(Snapshot{Services: []ServiceCounts{{Service: "larder", Buckets: [][]Bucket{{{Epoch: -7}}}}}})
	total := Merge([]Snapshot{receiver.Snapshot(now, Query{})})
	qt.Assert(t, total.Window(now, "larder", time.Hour), qt.Equals, Counts{Good: 1})
	qt.Assert(t, total.Window(now, "larder", 24*time.Hour), qt.Equals, Counts{Good: 1, Proxy: 1})
	qt.Assert(t, old.Snapshot(now, Query{}).Services, qt.HasLen, 0)
}

func TestMergeCountsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 4).Draw(t, "nodes")
		one := NewRecorder(now)
		many := make([]*Recorder, nodes)
		for i := range many {
			many[i] = NewRecorder(now)
		}
		at := now.Add(-time.Hour)
		for range rapid.IntRange(0, 60).Draw(t, "requests") {
			at = at.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "pause")))
			service := rapid.SampledFrom([]string{"larder", "coldrun"}).Draw(t, "service")
			cause := Cause(rapid.IntRange(0, int(causeCount)-1).Draw(t, "cause"))
			one.Record(at, service, cause)
			many[rapid.IntRange(0, nodes-1).Draw(t, "node")].Record(at, service, cause)
		}
		var snapshots []Snapshot
		for _, r := range many {
			snapshots = append(snapshots, r.Snapshot(at, Query{}))
		}
		want := Merge([]Snapshot{one.Snapshot(at, Query{})})
		got := Merge(snapshots)
		if rapid.Bool().Draw(t, "handed over") {
			got = Merge([]Snapshot{handOver(at, many).Snapshot(at, Query{})})
		}
		for _, service := range []string{"larder", "coldrun"} {
			for _, window := range reportedWindows {
				if g, w := got.Window(at, service, window), want.Window(at, service, window); g != w {
					t.Fatalf("%s over %s: %+v, want %+v", service, window, g, w)
				}
			}
		}
	})
}

func TestSnapshotPages(t *testing.T) {
	const services = 2*MaxPageServices + 3
	r := NewRecorder(now)
	for i := range services {
		r.Record(now, fmt.Sprintf("s%03d", i), CauseGood)
	}
	var names []string
	query := Query{}
	for more := true; more; {
		page := r.Snapshot(now, query)
		for _, s := range page.Services {
			names = append(names, s.Service)
			query.After = s.Service
		}
		more = page.More
	}
	qt.Assert(t, names, qt.HasLen, services)
	qt.Assert(t, names[services-1], qt.Equals, fmt.Sprintf("s%03d", services-1))
	qt.Assert(t, r.Snapshot(now, Query{Service: "s100"}).Services, qt.HasLen, 1)
	r.Retain([]string{"s100"})
	qt.Assert(t, r.Snapshot(now, Query{}).Services, qt.HasLen, 1)
}

// totalWithFailures returns counts of 1000 requests in each of the last ten
// minutes, of which the given number failed.
func totalWithFailures(failedEach int) *Total {
	r := NewRecorder(now.Add(-10 * time.Minute))
	for minute := range 10 {
		for i := range 1000 {
			cause := CauseGood
			if i < failedEach {
				cause = CauseTarget + Cause(i)%4
			}
			r.Record(now.Add(-time.Duration(minute)*time.Minute), "larder", cause)
		}
	}
	return Merge([]Snapshot{r.Snapshot(now, Query{})})
}

var objectives = []Objective{
	{Service: "larder", Share: 0.999, Window: 720 * time.Hour},
	{Service: "coldrun", Share: 0.99, Window: 168 * time.Hour},
}

func TestAlerts(t *testing.T) {
	for _, test := range []struct {
		desc   string
		failed int
		want   []Severity
	}{
		{"burn of 4", 4, []Severity{SeverityTicket, SeverityTicket}},
		{"burn of 8", 8, []Severity{SeverityPage, SeverityTicket, SeverityTicket}},
		{"burn of 20", 20, []Severity{SeverityPage, SeverityPage, SeverityTicket, SeverityTicket}},
		{"burn of 1, as allowed", 1, nil},
	} {
		t.Run(test.desc, func(t *testing.T) {
			report := NewReport(now, objectives, totalWithFailures(test.failed))
			var got []Severity
			for _, a := range report.Services[1].Alerts {
				got = append(got, a.Severity)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

func TestWriteText(t *testing.T) {
	report := NewReport(now, objectives, totalWithFailures(20))
	report.Nodes = []string{"wigston-1"}
	report.Silent = []SilentNode{{Node: "oadby-1", Error: "timeout"}}
	var out strings.Builder
	qt.Assert(t, report.WriteText(&out), qt.IsNil)
	want := `Service-level burn at 2026-12-04 12:00:30 UTC, counted since 2026-12-04 11:50:30 UTC by 1 nodes
No answer from node oadby-1: timeout

  SERVICE  OBJECTIVE  WINDOW  REQUESTS  GOOD  TARGET FAULTS  SHED AT THE CREST  POISON  OWN FAULTS  BUDGET LEFT
  coldrun        99%      7d         0     0              0                  0       0           0         100%
   larder      99.9%     30d     10000  9800             50                 50      50          50       -1900%

  BURN RATE OVER     5m    30m     1h     2h     6h     1d     3d
         coldrun      -      -      -      -      -      -      -
          larder  20.00  20.00  20.00  20.00  20.00  20.00  20.00
`
	qt.Assert(t, strings.HasPrefix(out.String(), want), qt.IsTrue, qt.Commentf("%s", out.String()))
	qt.Assert(t, out.String(), qt.Contains, "page: larder: burn rate 20.0 over 1h and 20.0 over 5m, above 14.4\n")
}
