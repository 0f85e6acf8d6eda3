package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	qt "github.com/frankban/quicktest"
)

// startEcho starts a listener within limits whose handler answers with the path and the
// body, or without reading the body of a request to /refuse.
func startEcho(t *testing.T, limits *callerLimits) string {
	t.Helper()
	l, err := listen("callers", "127.0.0.1:0", streaming, limits, func(v any, _ []byte) { t.Errorf("panic: %v", v) })
	qt.Assert(t, err, qt.IsNil)
	l.engine.NoRoute(func(c context.Context, ctx *app.RequestContext) {
		conn := callerConnOf(c)
		defer conn.endRequest(ctx)
		qt.Check(t, conn.beginRequest(ctx), qt.IsNil)
		if string(ctx.Path()) == "/refuse" {
			ctx.SetBodyString("refused")
			return
		}
		body, err := readRequestBody(ctx, 0)
		qt.Check(t, err, qt.IsNil)
		ctx.SetBodyString(string(ctx.Path()) + string(body.small))
	})
	go func() { _ = l.engine.Run() }()
	t.Cleanup(l.close)
	return l.addr.String()
}

// TestRequestsInPiecesArriveUnchanged guards against requests that stall, are cut or are
// mixed up since heads are gathered below the codec: they come in random pieces, several at
// once, with and without bodies.
func TestRequestsInPiecesArriveUnchanged(t *testing.T) {
	limits, err := newCallerLimits(0, 0)
	qt.Assert(t, err, qt.IsNil)
	address := startEcho(t, limits)
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var stream bytes.Buffer
		var want []string
		for i := range 12 {
			path, body := fmt.Sprintf("/p%d", i), strings.Repeat("b c\r\n", rng.IntN(4)*rng.IntN(1500))
			if rng.IntN(4) == 0 {
				path = "/refuse"
			}
			fmt.Fprintf(&stream, "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", path, pad(rng.IntN(3)*rng.IntN(9000)), len(body), body)
			if path == "/refuse" {
				want = append(want, "refused")
			} else {
				want = append(want, path+body)
			}
		}
		c, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		go func() {
			for stream.Len() > 0 {
				_, _ = c.Write(stream.Next(1 + rng.IntN(1+rng.IntN(20000))))
				time.Sleep(time.Duration(rng.IntN(2)) * time.Millisecond)
			}
		}()
		r := bufio.NewReader(c)
		for i, text := range want {
			resp, err := http.ReadResponse(r, nil)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d, answer %d", seed, i))
			got, err := io.ReadAll(resp.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(got) == text, qt.IsTrue, qt.Commentf("seed %d, answer %d: %.40q", seed, i, got))
		}
		_ = c.Close()
	}
	for end := time.Now().Add(5 * time.Second); limits.usage().Connections > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	qt.Check(t, limits.usage().Used, qt.Equals, int64(0))
}

// TestDescriptorsStayWithinTheSystem guards against a setting above the limit of the
// operating system, with which callers could take all descriptors.
func TestDescriptorsStayWithinTheSystem(t *testing.T) {
	system, err := newCallerLimits(0, 0)
	qt.Assert(t, err, qt.IsNil)
	above, err := newCallerLimits(0, 1<<30)
	qt.Assert(t, err, qt.IsNil)
	below, err := newCallerLimits(0, 100)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, above.maxConns, qt.Equals, system.maxConns)
	qt.Check(t, below.maxConns, qt.Equals, 70)
}

// pad returns header lines of about the given size.
func pad(size int) string { return strings.Repeat("X-Pad: 0123456789abcdef\r\n", size/25) }
