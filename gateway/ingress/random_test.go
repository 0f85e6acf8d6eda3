package ingress

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	qt "github.com/frankban/quicktest"
)

var randomSeed = flag.Uint64("random-seed", 0, "seed of TestRandomCallers; 0 draws one")

// recorder records which requests are handed to the Handler.
type recorder struct {
	*echo
	mu      sync.Mutex
	handled map[string]bool
}

func (r *recorder) Serve(ctx context.Context, in *Request) *protocol.Response {
	r.mu.Lock()
	r.handled[string(in.Path())] = true
	r.mu.Unlock()
	return r.echo.Serve(ctx, in)
}

func (r *recorder) wasHandled(path string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.handled[path]
}

// randomCaller is one caller's connection with random behavior.
type randomCaller struct {
	rng  *rand.Rand
	name string
	c    net.Conn
	r    *bufio.Reader
	// unanswered holds the paths of the requests without an answer, in order.
	unanswered []string
	sent       int
	// lastSent is when the last call of send ended.
	lastSent time.Time
	// closing is set once an answer announced that the connection closes.
	closing bool
}

func (rc *randomCaller) pause(most time.Duration) {
	time.Sleep(time.Duration(rc.rng.Int64N(int64(most))))
}

// send sends one request, at random in two parts. It reports whether it succeeded.
func (rc *randomCaller) send() bool {
	rc.sent++
	defer func() { rc.lastSent = time.Now() }()
	path := fmt.Sprintf("/%s-%d", rc.name, rc.sent)
	method, body := "GET", ""
	if rc.rng.IntN(3) == 0 {
		method, body = "POST", "some body"
	}
	if rc.rng.IntN(40) == 0 {
		body = string(make([]byte, rc.rng.IntN(200<<10)))
		method = "POST"
	}
	header := ""
	if rc.rng.IntN(20) == 0 {
		header = "Connection: close\r\n"
	}
	message := fmt.Sprintf("%s %s?ms=%d HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, rc.rng.IntN(30), header, len(body), body)
	rc.unanswered = append(rc.unanswered, path)
	cut := len(message)
	if rc.rng.IntN(3) == 0 {
		cut = rc.rng.IntN(len(message))
	}
	if _, err := rc.c.Write([]byte(message[:cut])); err != nil {
		return false
	}
	if cut == len(message) {
		return true
	}
	rc.pause(20 * time.Millisecond)
	_, err := rc.c.Write([]byte(message[cut:]))
	return err == nil
}

// receive reads the answer to the first unanswered request. It returns false if the
// connection has ended, or ends with this answer.
func (rc *randomCaller) receive(t *testing.T) bool {
	if _, err := rc.r.Peek(1); err != nil {
		return false
	}
	resp, err := http.ReadResponse(rc.r, nil)
	if !qt.Check(t, err, qt.IsNil) {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Check(t, err, qt.IsNil, qt.Commentf("%s has a partial answer", rc.unanswered[0]))
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
	qt.Check(t, resp.Header.Get("X-Path"), qt.Equals, rc.unanswered[0])
	rc.unanswered = rc.unanswered[1:]
	rc.closing = resp.Close
	return !resp.Close
}

// run uses the connection until it ends. It reports whether the caller ended it.
func (rc *randomCaller) run(t *testing.T) (left bool) {
	defer func() { _ = rc.c.Close() }()
	for {
		for range 1 + rc.rng.IntN(12) {
			if !rc.send() {
				break
			}
		}
		if rc.rng.IntN(10) == 0 {
			rc.pause(20 * time.Millisecond)
			return true
		}
		for len(rc.unanswered) > 0 {
			if !rc.receive(t) {
				return false
			}
		}
		rc.pause(150 * time.Millisecond)
	}
}

// TestRandomCallers runs callers that pipeline, pause, send in parts and disconnect,
// while connections become idle and the server shuts down at a random time. Every
// request that was handed to the Handler must be answered, completely and in order,
// unless its caller disconnected. Every other request must have been sent before its
// caller saw that the connection closes, and the caller must see that immediately.
func TestRandomCallers(t *testing.T) {
	const callers, limit, lifetime = 60, 30 * time.Millisecond, 2 * time.Second
	seed := *randomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Logf("-random-seed %d", seed)
	h := &recorder{echo: &echo{limits: Limits{IdleTimeout: limit}}, handled: make(map[string]bool)}
	s, addr := startWith(t, h, h.echo)
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := 0; ; n++ {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				rc := &randomCaller{rng: rng, name: fmt.Sprintf("%d-%d", i, n), c: c, r: bufio.NewReader(c)}
				if rc.run(t) {
					continue
				}
				if len(rc.unanswered) > 0 && !rc.closing {
					elapsed := time.Since(rc.lastSent)
					qt.Check(t, elapsed < slack, qt.IsTrue, qt.Commentf("%s was sent as the connection closed, and the caller saw the close after %v", rc.unanswered[0], elapsed))
				}
				for _, path := range rc.unanswered {
					qt.Check(t, h.wasHandled(path), qt.IsFalse, qt.Commentf("%s was handled and has no answer (close announced: %v)", path, rc.closing))
				}
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, callers))
	time.Sleep(time.Duration(rng.Int64N(int64(lifetime))))
	s.Drain()
	time.Sleep(time.Duration(rng.Int64N(int64(lifetime / 4))))
	qt.Check(t, <-shutdown(s, 2*lingerTimeout), qt.IsNil)
	all.Wait()
	stats := s.Stats()
	qt.Check(t, stats.Ended[Unfinished]+stats.Ended[WriteTimedOut], qt.Equals, int64(0))
	t.Logf("%+v", stats)
}
