package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/testbed/answer"
	"filbertmill.example/testbed/endless"
)

func start(t *testing.T, cfg Config) *Target {
	t.Helper()
	cfg.Name = "t1"
	cfg.Address = "127.0.0.1:0"
	tg, err := Start(cfg)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(tg.Close)
	return tg
}

// send sends one request on a new connection.
func send(ctx context.Context, tg *Target, id string, header ...string) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+tg.Address()+"/book", strings.NewReader("rug"))
	if err != nil {
		return nil, nil, err
	}
	r.Close = true
	r.Header.Set(answer.HeaderRequest, id)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// waitFor polls a condition until the deadline of the test.
func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for !cond() {
		if t.Context().Err() != nil {
			t.Fatal("the condition was not met")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestAnswerBelongsToRequest(t *testing.T) {
	tg := start(t, Config{})
	_, body, err := send(t.Context(), tg, "r1", answer.HeaderBytes, "5000")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Check(body, "r1", answer.DigestOf([]byte("rug")), 5000), qt.IsNil)
	qt.Assert(t, tg.Ledger().Runs("r1"), qt.HasLen, 1)
	qt.Assert(t, tg.Ledger().Runs("r1")[0].Done, qt.IsTrue)
}

func TestShedIsNotRun(t *testing.T) {
	tg := start(t, Config{Slots: 1})
	tg.Set(Behavior{HangShare: 1})
	ctx, leave := context.WithCancel(t.Context())
	go send(ctx, tg, "r1")
	waitFor(t, func() bool { return tg.InFlight() == 1 })

	resp, _, err := send(t.Context(), tg, "r2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, resp.Header.Get(answer.HeaderShed), qt.Equals, "1")
	qt.Assert(t, tg.Ledger().Runs("r2"), qt.HasLen, 0)

	leave() // a caller that leaves frees its slot
	waitFor(t, func() bool { return tg.InFlight() == 0 })
	qt.Assert(t, tg.Ledger().Runs("r1")[0].Done, qt.IsFalse)
}

func TestOverflowQueues(t *testing.T) {
	tg := start(t, Config{Slots: 1, Overflow: OverflowQueue})
	answers := make(chan int, 4)
	for range 4 {
		go func() {
			resp, _, err := send(t.Context(), tg, "r1", answer.HeaderWork, "5ms")
			if err != nil {
				answers <- 0
				return
			}
			answers <- resp.StatusCode
		}()
	}
	for range 4 {
		qt.Assert(t, <-answers, qt.Equals, http.StatusOK)
	}
}

func TestMisbehavior(t *testing.T) {
	tests := []struct {
		desc     string
		behavior Behavior
		status   int
		err      error
	}{
		{desc: "fails", behavior: Behavior{FailShare: 1}, status: 500},
		{desc: "truncates by length", behavior: Behavior{TruncateShare: 1}, status: 200, err: io.ErrUnexpectedEOF},
		{desc: "truncates a chunked body", behavior: Behavior{TruncateShare: 1, TruncateChunked: true}, status: 200, err: io.ErrUnexpectedEOF},
		{desc: "late", behavior: Behavior{LateShare: 1, LateBy: time.Millisecond}, status: 200},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			tg := start(t, Config{})
			tg.Set(tt.behavior)
			resp, _, err := send(t.Context(), tg, "r1", answer.HeaderBytes, "5000")
			qt.Assert(t, err, qt.Equals, tt.err)
			qt.Assert(t, resp.StatusCode, qt.Equals, tt.status)

			health, err := http.Get("http://" + tg.Address() + HealthPath)
			qt.Assert(t, err, qt.IsNil)
			health.Body.Close()
			qt.Assert(t, health.StatusCode, qt.Equals, http.StatusOK)
		})
	}
}

func TestDoubledAnswer(t *testing.T) {
	tg := start(t, Config{})
	tg.Set(Behavior{DoubleShare: 1})
	c, err := net.Dial("tcp", tg.Address())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nTestbed-Request: r1\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	in := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(in, nil)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, answer.Check(body, "r1", answer.DigestOf(nil), 0), qt.IsNil)
	}
}

func TestSwallowedProbe(t *testing.T) {
	tg := start(t, Config{})
	tg.Set(Behavior{Swallow: true})
	ctx, leave := context.WithCancel(t.Context())
	answered := make(chan error)
	go func() {
		_, _, err := send(ctx, tg, "r1")
		answered <- err
	}()
	leave()
	qt.Assert(t, <-answered, qt.ErrorIs, context.Canceled)
	qt.Assert(t, tg.Ledger().Runs("r1"), qt.HasLen, 0)
}

func TestPoisonCrashes(t *testing.T) {
	tg := start(t, Config{})
	_, _, err := send(t.Context(), tg, "r1", answer.HeaderPoison, "1")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, tg.Crashes(), qt.Equals, 1)
	waitFor(t, func() bool {
		_, _, err := send(t.Context(), tg, "r2")
		return err == nil
	})
}

func TestRefuse(t *testing.T) {
	tg := start(t, Config{})
	tg.Set(Behavior{Refuse: true})
	_, _, err := send(t.Context(), tg, "r1")
	qt.Assert(t, err, qt.ErrorMatches, ".*connection refused")
	tg.Set(Behavior{})
	waitFor(t, func() bool {
		_, _, err := send(t.Context(), tg, "r2")
		return err == nil
	})
}

func TestLeavingIsAnnounced(t *testing.T) {
	tg := start(t, Config{})
	tg.Leave()
	resp, _, err := send(t.Context(), tg, "r1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Header.Get(answer.HeaderLeaving), qt.Equals, "1")
	qt.Assert(t, tg.Ledger().Runs("r1")[0].SinceLeaving > 0, qt.IsTrue)

	health, err := http.Get("http://" + tg.Address() + HealthPath)
	qt.Assert(t, err, qt.IsNil)
	health.Body.Close()
	qt.Assert(t, health.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

// An answer without end continues until its caller closes the connection, and then
// frees the slot.
func TestEndlessAnswerEndsWithItsCaller(t *testing.T) {
	for _, kind := range endless.Kinds {
		tg := start(t, Config{Slots: 1})
		tg.Set(Behavior{EndlessShare: 1, Endless: kind})
		c, err := net.Dial("tcp", tg.Address())
		qt.Assert(t, err, qt.IsNil)
		_, err = io.WriteString(c, "GET /book HTTP/1.1\r\nHost: t\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		n, err := io.CopyN(io.Discard, c, 1<<20)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s: %d bytes", kind, n))
		qt.Check(t, tg.InFlight(), qt.Equals, 1)
		c.Close()
		waitFor(t, func() bool { return tg.InFlight() == 0 })
	}
}
