package load

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/testbed/target"
)

func stream(class Class, rate float64) Stream {
	return Stream{Class: class, Phases: []Phase{{Duration: 200 * time.Millisecond, Rate: rate}}}
}

func TestStreamsDoNotDependOnOneAnother(t *testing.T) {
	short := stream(Class{Name: "short", Work: time.Millisecond, Exponential: true}, 500)
	long := stream(Class{Name: "long", Work: time.Second}, 50)
	alone := Arrivals("run", 7, short)
	mixed := Arrivals("run", 7, short, long)
	var kept []Arrival
	for _, a := range mixed {
		if a.Class.Name == "short" {
			kept = append(kept, a)
		}
	}
	qt.Assert(t, len(alone) > 50, qt.IsTrue)
	qt.Assert(t, kept, qt.DeepEquals, alone)
	qt.Assert(t, Arrivals("run", 8, short), qt.Not(qt.DeepEquals), alone)
}

func TestPhasesSetTheRate(t *testing.T) {
	got := Arrivals("run", 1, Stream{Class: Class{Name: "c"}, Phases: []Phase{
		{Duration: 10 * time.Second, Rate: 100},
		{Duration: 10 * time.Second, Rate: 300},
	}})
	var first int
	for _, a := range got {
		if a.At < 10*time.Second {
			first++
		}
	}
	qt.Assert(t, first > 900 && first < 1100, qt.IsTrue, qt.Commentf("%d", first))
	qt.Assert(t, len(got)-first > 2800 && len(got)-first < 3200, qt.IsTrue)
}

func TestRunAgainstAnHonestTarget(t *testing.T) {
	tg, err := target.Start(target.Config{Name: "t1", Address: "127.0.0.1:0", Slots: 200})
	qt.Assert(t, err, qt.IsNil)
	defer tg.Close()
	class := Class{Name: "c", Method: http.MethodPost, Path: "/", BodyBytes: 10, AnswerBytes: 3000}
	samples := Run(t.Context(), Fixed(1, tg.Address()), Arrivals("run", 1, stream(class, 500)))
	qt.Assert(t, len(samples) > 50, qt.IsTrue)
	for _, s := range samples {
		qt.Assert(t, s.Last().Result, qt.Equals, ResultComplete, qt.Commentf("%+v", s))
		qt.Assert(t, tg.Ledger().Runs(s.ID), qt.HasLen, 1)
	}
}

// rawServer answers each connection's first request with fixed bytes.
func rawServer(t *testing.T, reply string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				req.Body.Close()
				fmt.Fprint(c, reply)
			}
			c.Close()
		}
	}()
	return l.Addr().String()
}

func TestResults(t *testing.T) {
	tests := []struct {
		desc, reply string
		want        Result
	}{
		{"no answer", "", ResultLost},
		{"part of a head", "HTTP/1.1 200", ResultLost},
		{"part of a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nrequ", ResultBroken},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nrequ\r\n", ResultBroken},
		{"cut and taken as whole", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrequ", ResultTruncated},
		{"other body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrug!", ResultMismatch},
		{"other request", "HTTP/1.1 500 No\r\nTestbed-Request: r2\r\nContent-Length: 0\r\n\r\n", ResultMismatch},
		{"status", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", ResultStatus},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			entry := rawServer(t, tt.reply)
			samples := Run(t.Context(), Fixed(1, entry), []Arrival{{ID: "r1", Class: Class{Path: "/"}}})
			qt.Assert(t, samples, qt.HasLen, 1)
			qt.Assert(t, samples[0].Last().Result, qt.Equals, tt.want, qt.Commentf("%v", samples[0].Last().Err))
		})
	}
}

func TestResendGoesThroughAnotherEntry(t *testing.T) {
	tg, err := target.Start(target.Config{Name: "t1", Address: "127.0.0.1:0"})
	qt.Assert(t, err, qt.IsNil)
	defer tg.Close()
	for seed := range uint64(4) {
		lost := rawServer(t, "")
		class := Class{Path: "/", Keyed: true, Resends: 1}
		samples := Run(t.Context(), Fixed(seed, lost, tg.Address()), []Arrival{{ID: fmt.Sprint("r", seed), Class: class}})
		qt.Assert(t, samples[0].Good(), qt.IsTrue)
		qt.Assert(t, samples[0].Last().Entry, qt.Equals, tg.Address())
	}
}

func TestLatencyCountsFromTheDueTime(t *testing.T) {
	tg, err := target.Start(target.Config{Name: "t1", Address: "127.0.0.1:0", Slots: 1, Overflow: target.OverflowQueue})
	qt.Assert(t, err, qt.IsNil)
	defer tg.Close()
	const work = 20 * time.Millisecond
	arrivals := make([]Arrival, 4) // all due at once
	for i := range arrivals {
		arrivals[i] = Arrival{ID: fmt.Sprint("r", i), Class: Class{Path: "/"}, Work: work}
	}
	samples := Run(t.Context(), Fixed(1, tg.Address()), arrivals)
	longest := Quantile(samples, 100, func(s Sample) time.Duration { return s.Latency })
	qt.Assert(t, longest >= 4*work, qt.IsTrue, qt.Commentf("%v", longest))
}

func TestBalancerLeavesOutEntriesThatAreNotReady(t *testing.T) {
	down, err := target.Start(target.Config{Name: "t1", Address: "127.0.0.1:0"})
	qt.Assert(t, err, qt.IsNil)
	defer down.Close()
	down.Leave()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	b := NewBalancer(ctx, 1, time.Millisecond,
		Entry{Address: "a", ReadyURL: "http://" + down.Address() + target.HealthPath},
		Entry{Address: "b"})
	for len(b.readyNow()) > 1 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		qt.Assert(t, b.Pick(nil), qt.Equals, "b")
	}
}

func (b *Balancer) readyNow() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}
