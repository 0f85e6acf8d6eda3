package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/gateway/ingress"
	"filbertmill.example/platform"
)

// copyingTarget refuses the first request of each caller and runs all later ones. On a
// connection on which it has refused a request, it sends a second copy of that refusal
// when the next request arrives, before it answers.
type copyingTarget struct {
	address string
	refused atomic.Bool
	runs    atomic.Int32
}

func startCopyingTarget(t *testing.T) *copyingTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	target := &copyingTarget{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go target.serve(c)
		}
	}()
	return target
}

func (s *copyingTarget) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	refusal := ""
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := req.Header.Get(platform.HeaderRequestID)
		if s.refused.CompareAndSwap(false, true) {
			refusal = fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", platform.HeaderRequestID, id, platform.HeaderNotExecuted)
			fmt.Fprint(c, refusal)
			continue
		}
		s.runs.Add(1)
		fmt.Fprint(c, refusal)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", platform.HeaderRequestID, id)
	}
}

// TestCopyOfARefusalIsNotTakenForASecondOne guards against a request that is called not
// run although the target has run it: the target refused it once, a second copy of that
// refusal arrives late, and names the request that is sent to it again.
func TestCopyOfARefusalIsNotTakenForASecondOne(t *testing.T) {
	n := newTestNode(t)
	s := startCopyingTarget(t)
	forwarded := &protocol.Request{}
	forwarded.Header.SetMethod("POST")
	forwarded.Header.SetHost("h")
	forwarded.Header.SetRequestURI("/1")
	forwarded.Header.Set(platform.HeaderRequestID, "booking")
	r := &request{
		Request: &ingress.Request{Request: forwarded}, route: &dynamic.Route{MaxResponseBytes: 1 << 20}, id: "booking",
		forwarded: forwarded, deadline: time.Now().Add(5 * time.Second), reservations: n.trackAnswers(forwarded),
	}
	ctx, cancel := context.WithDeadline(t.Context(), r.deadline)
	defer cancel()
	target := platform.Target{ID: "t", Address: s.address}
	first := n.send(ctx, r, target, attemptPlan{})
	qt.Assert(t, first.notRun, qt.IsTrue)
	again := n.send(ctx, r, target, attemptPlan{only: hashTargets([]string{"t"})})
	qt.Check(t, again.notRun && s.runs.Load() > 0, qt.IsFalse, qt.Commentf("called not run, and the target ran it"))
	qt.Check(t, again.failed, qt.IsFalse)
}
