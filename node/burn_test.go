package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/burn"
	"filbertmill.example/config/dynamic"
	"filbertmill.example/exchange"
	"filbertmill.example/outcome"
)

// answered returns a result with a target's answer of the given status.
func answered(status int) result {
	response := &protocol.Response{}
	response.SetStatusCode(status)
	return result{outcome: outcome.New(outcome.ReasonAnswered, "", 0), response: response}
}

// Each kind of result must count as good, or against the target, the load peak
// or the fleet itself, or not at all.
func TestCountBurn(t *testing.T) {
	cut := &exchange.Failure{Stage: exchange.StageReceive, Cause: exchange.CauseConnection, Err: errors.New("cut")}
	gone := &exchange.Failure{Stage: exchange.StageReceive, Cause: exchange.CauseCancelled, Err: errAnswerNotSent}
	for _, test := range []struct {
		desc string
		res  result
		err  error
		late bool
		want burn.Counts
	}{
		{"whole answer", answered(200), nil, false, burn.Counts{Good: 1}},
		{"server error", answered(503), nil, false, burn.Counts{Target: 1}},
		{"after the deadline", answered(200), nil, true, burn.Counts{Target: 1}},
		{"cut while it was passed on", answered(200), cut, false, burn.Counts{Target: 1}},
		{"caller left while it was passed on", answered(200), gone, false, burn.Counts{}},
		{"shed", refused(outcome.ReasonQueueFull, ""), nil, false, burn.Counts{Crest: 1}},
		{"shed as too late", refused(outcome.ReasonTooLate, ""), nil, true, burn.Counts{Crest: 1}},
		{"no home", refused(outcome.ReasonNoHome, ""), nil, false, burn.Counts{Own: 1}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			now := time.Now()
			n := &Node{reports: newReports(2, now)}
			r := &request{service: &dynamic.Service{Name: "larder"}, deadline: now.Add(time.Second)}
			if test.late {
				r.deadline = now.Add(-time.Second)
			}
			n.countBurn(now, r, test.res, test.err)
			total := burn.Merge([]burn.Snapshot{n.reports.burn.Snapshot(now, burn.Query{})})
			qt.Assert(t, total.Window(now, "larder", time.Hour), qt.Equals, test.want)
		})
	}
}

// The services of the last page must not be lost.
func TestCollectPages(t *testing.T) {
	now := time.Now()
	r := burn.NewRecorder(now)
	const services = 2*burn.MaxPage + 1
	for i := range services {
		r.Record(now, fmt.Sprintf("s%03d", i), burn.CauseGood)
	}
	request := func(q burn.Query) (burn.Snapshot, error) { return r.Snapshot(now, q), nil }
	pages, err := collectPages(burn.Query{}, request)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, pages, qt.HasLen, 3)
	total := burn.Merge(pages)
	qt.Assert(t, total.Window(now, fmt.Sprintf("s%03d", services-1), time.Hour).Good, qt.Equals, uint64(1))
}
