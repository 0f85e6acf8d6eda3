package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/pool"
	"filbertmill.example/pool/internal/drive"
)

const (
	surgeAt   = 10 * time.Second
	surgeRamp = 2 * time.Second
	surgeEnd  = 25 * time.Second
)

// surge triples the load of three routes within surgeRamp. The slots can run 267 of
// these requests per second.
func surge(seed uint64, base float64) drive.Trace {
	patient := func(rate float64, from, to time.Duration) drive.Load {
		return drive.Load{Route: "patient", Rate: rate, From: from, To: to, Work: 60 * msecond, Timeout: 5 * time.Second, Callers: 20}
	}
	hasty := func(rate float64, from, to time.Duration) drive.Load {
		return drive.Load{Route: "hasty", Rate: rate, From: from, To: to, Work: 60 * msecond, Timeout: 500 * msecond, Callers: 20}
	}
	third := base / 3
	half := surgeAt + surgeRamp/2
	loads := []drive.Load{
		hasty(third, 0, surgeEnd), lookup(third, 0, surgeEnd), patient(third, 0, surgeEnd),
		hasty(third, surgeAt, half), lookup(third, surgeAt, half), patient(third, surgeAt, half),
		hasty(2*third, half, surgeEnd), lookup(2*third, half, surgeEnd), patient(2*third, half, surgeEnd),
	}
	tr := service("surge")
	tr.Conditions = []drive.Condition{noise()}
	tr.Arrivals = drive.Generate(seed, loads...)
	return tr
}

// surgeResult is the result of a surge over all seeds.
type surgeResult struct {
	useful, inTime float64
	// held is the longest wait of a request that was then refused, and heldShare the
	// share of refused requests that waited longer than heldLimit.
	held           time.Duration
	heldShare      float64
	falseEjections int
	// byRoute counts the answers in time by route.
	byRoute map[string]int
}

// heldLimit is the wait up to which a refusal counts as immediate.
const heldLimit = 50 * msecond

func measureSurge(base float64, order pool.Order, variant func(uint64) drive.Options) surgeResult {
	opts := func(seed uint64) drive.Options {
		o := variant(seed)
		o.Config.Order = order
		o.From, o.To = surgeAt+surgeRamp, surgeEnd
		return o
	}
	build := func(seed uint64) drive.Trace { return surge(seed, base) }
	c := surgeResult{byRoute: make(map[string]int)}
	var inTime, offered, refused, late int
	for _, rep := range overSeeds(build, opts) {
		c.useful += rep.UsefulShare / seeds
		inTime += rep.InTime
		offered += rep.Offered
		refused += len(rep.UnstartedWaits)
		c.falseEjections += rep.FalseEjections()
		for route, n := range rep.InTimeByRoute {
			c.byRoute[route] += n
		}
		for _, h := range rep.UnstartedWaits {
			c.held = max(c.held, h)
			if h > heldLimit {
				late++
			}
		}
	}
	c.inTime = float64(inTime) / float64(offered)
	c.heldShare = float64(late) / float64(max(1, refused))
	return c
}

func TestMeasureCrest(t *testing.T) {
	for _, base := range []float64{120, 250} {
		for _, v := range variants {
			orders := []pool.Order{pool.OrderFIFO, pool.OrderEDF, pool.OrderLIFO}
			if v.name == "direct" {
				orders = orders[:1]
			}
			for _, order := range orders {
				m := measureSurge(base, order, v.opts)
				t.Logf("surge %3.0f/s to %3.0f/s %-6s %-4s capacity to answers in time %.3f; requests answered in time %.3f (%v); refusals held over %v %.4f, longest %v; false ejections %d",
					base, 3*base, v.name, order, m.useful, m.inTime, m.byRoute, heldLimit, m.heldShare, m.held.Round(msecond), m.falseEjections)
				if v.name == "home" && order == pool.DefaultConfig().Order {
					c := qt.New(t)
					c.Check(m.useful >= 0.95, qt.IsTrue)
					c.Check(m.held <= heldLimit, qt.IsTrue)
					c.Check(m.falseEjections, qt.Equals, 0)
				}
			}
		}
	}
}
