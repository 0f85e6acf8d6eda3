package ingress

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHeadsInPiecesArriveUnchanged guards against requests that are cut or mixed up since
// their heads are not read by the codec: they come in random pieces, several at once.
func TestHeadsInPiecesArriveUnchanged(t *testing.T) {
	_, addr := start(t, &echo{})
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var stream bytes.Buffer
		var paths, bodies []string
		for i := range 12 {
			path, body := fmt.Sprintf("/%d-%d", seed, i), strings.Repeat("b c\r\n", rng.IntN(4)*rng.IntN(1500))
			pad := strings.Repeat("X-Pad: 0123456789abcdef\r\n", rng.IntN(3)*rng.IntN(400))
			framing, sent := fmt.Sprintf("Content-Length: %d", len(body)), body
			if body != "" && rng.IntN(3) == 0 {
				framing, sent = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			}
			fmt.Fprintf(&stream, "POST %s HTTP/1.1\r\nHost: h\r\n%s%s\r\n\r\n%s", path, pad, framing, sent)
			paths, bodies = append(paths, path), append(bodies, body)
		}
		c, r := dial(t, addr)
		go func() {
			for stream.Len() > 0 {
				_, _ = c.Write(stream.Next(1 + rng.IntN(1+rng.IntN(20000))))
				time.Sleep(time.Duration(rng.IntN(2)) * time.Millisecond)
			}
		}()
		for i, path := range paths {
			resp, body := readAnswer(t, r)
			qt.Assert(t, resp.Header.Get("X-Path"), qt.Equals, path)
			qt.Assert(t, string(body) == bodies[i], qt.IsTrue, qt.Commentf("body of %s", path))
		}
		_ = c.Close()
	}
}

// TestHeadLimits guards against heads beyond the limit that are taken, heads within it that
// are refused, and bytes that are no request and are waited for.
func TestHeadLimits(t *testing.T) {
	const limit = 9000
	_, addr := start(t, &echo{limits: Limits{HeaderBytes: limit, HeaderTimeout: 3 * time.Second, IdleTimeout: time.Second}})
	exactly := func(size int) string {
		head := "GET / HTTP/1.1\r\nHost: h\r\nX-Pad: "
		return head + strings.Repeat("p", size-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
	}
	for text, status := range map[string]int{
		exactly(limit): 200, exactly(limit + 1): 431, exactly(limit + 1)[:limit]: 431, exactly(200): 200,
		"\x16\x03\x01\x02": 400, "\r\n": 400, strings.Repeat("G", 40): 400, "GET\r\n": 400,
		"GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n": 400, "GET / HTTP/1.1\r\nA b: c\r\n\r\n": 400,
	} {
		for _, pieces := range []int{1, 3} {
			c, r := dial(t, addr)
			sent := time.Now()
			for i := range pieces {
				_, _ = c.Write([]byte(text[i*len(text)/pieces : (i+1)*len(text)/pieces]))
				time.Sleep(10 * time.Millisecond)
			}
			resp, _ := readAnswer(t, r)
			qt.Check(t, resp.StatusCode, qt.Equals, status, qt.Commentf("%.60q in %d pieces", text, pieces))
			qt.Check(t, time.Since(sent) < 2*time.Second, qt.IsTrue, qt.Commentf("%.60q", text))
			_ = c.Close()
		}
	}
}
