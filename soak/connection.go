package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/backend"
)

const (
	// dialTimeout is the timeout for opening a connection, and sendTimeout that for
	// sending one request.
	dialTimeout = time.Second
	sendTimeout = 3 * time.Second
	// overdueMargin is how long after the timeout of a request a caller still waits
	// for its answer.
	overdueMargin = 500 * time.Millisecond
	// maxPending is the maximum number of requests that a caller sends without
	// having read an answer.
	maxPending = 6
	// slowLinkBuffer is the receive buffer of a caller on a slow link, in bytes.
	// With less than two segments of the loopback interface the connection would
	// stall altogether.
	slowLinkBuffer = 256 << 10
	// maxReadBytes is the maximum number of bytes that a caller reads at once.
	maxReadBytes = 64 << 10
	// finishPollInterval is the time between two checks whether all requests are
	// answered.
	finishPollInterval = 10 * time.Millisecond
	// pauseShare is the share of reads before which a caller on a slow link pauses.
	// maxPauseTotal limits the sum of its pauses between two answers.
	pauseShare    = 0.2
	maxPauseTotal = 2 * time.Second
)

// connection is a caller's connection to a node. It stays open until the node ends
// it, an answer is overdue, or the caller closes it on purpose.
type connection struct {
	nc      net.Conn
	node    string
	life    int
	slow    bool
	history *history
	// resend is called with each request that was sent behind a closing answer: one
	// with which the node announced that the connection closes.
	resend func(call)
	// sending is held while a request is sent.
	sending  sync.Mutex
	readDone sync.WaitGroup

	mu      sync.Mutex
	pending []*call
	// reserved is set while a caller has claimed the connection to send on it.
	// closing is set once an answer announced that the connection closes. ended is
	// set once it has ended, and left also if the caller ended it.
	reserved, closing, ended, left bool
	// recorded is set once the end of each of its requests is recorded.
	recorded  bool
	idleSince time.Time
	// keepAlive is the idle timeout that the node announced in a Keep-Alive header,
	// or 0.
	keepAlive time.Duration
	// pausedFor is the sum of the pauses since the last answer. quietSince is the
	// start of the first pause since bytes were last read; zero without one.
	pausedFor  time.Duration
	quietSince time.Time
}

// dial opens a connection to a node. It returns nil if nothing accepts the
// connection, or if the process was replaced in the meantime.
func dial(n *node, slow bool, h *history, resend func(call)) *connection {
	life := n.processes.Starts()
	nc, err := net.DialTimeout("tcp", n.spec.Callers, dialTimeout)
	if err != nil {
		return nil
	}
	if slow {
		err = nc.(*net.TCPConn).SetReadBuffer(slowLinkBuffer)
	}
	if err != nil || n.processes.Starts() != life {
		_ = nc.Close()
		return nil
	}
	cn := &connection{nc: nc, node: n.spec.Name, life: life, slow: slow, history: h, resend: resend, idleSince: time.Now()}
	cn.readDone.Go(cn.readAll)
	return cn
}

// state returns the number of requests without an answer, the time without a
// request, and the idle timeout that the node announced. It reports false if the
// connection takes no more requests.
func (cn *connection) state() (pending int, idle, keepAlive time.Duration, open bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return len(cn.pending), time.Since(cn.idleSince), cn.keepAlive, !cn.ended && !cn.closing && !cn.reserved
}

// reserve claims the connection for sending and reports whether that succeeded.
func (cn *connection) reserve() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	free := !cn.reserved && !cn.ended && !cn.closing
	cn.reserved = cn.reserved || free
	return free
}

func (cn *connection) release() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.reserved = false
}

// send sends one request. It reports false, without sending anything, if the
// connection has ended or is closing.
func (cn *connection) send(c call) bool {
	cn.sending.Lock()
	defer cn.sending.Unlock()
	cn.mu.Lock()
	if cn.ended || cn.closing {
		cn.mu.Unlock()
		return false
	}
	c.node, c.life, c.slow, c.pipelined, c.sent = cn.node, cn.life, cn.slow, len(cn.pending) > 0, time.Now()
	p := &c
	cn.pending = append(cn.pending, p)
	cn.setDeadline()
	cn.history.recordSend(cn.node)
	cn.mu.Unlock()
	text := c.encode()
	_ = cn.nc.SetWriteDeadline(time.Now().Add(sendTimeout + c.halt))
	half := len(text)
	if c.halt > 0 {
		half /= 2
	}
	_, err := cn.nc.Write(text[:half])
	if err == nil && half < len(text) {
		time.Sleep(c.halt)
		_, err = cn.nc.Write(text[half:])
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if err == nil {
		p.fullySent = time.Now()
	}
	return true
}

// encode returns the request as it is sent.
func (c *call) encode() []byte {
	body := c.body()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s /%s/x HTTP/1.1\r\nHost: g.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n",
		c.method, c.route, platform.HeaderRequestID, c.id, platform.HeaderTimeLeft, c.timeout.Milliseconds(), len(body))
	fmt.Fprintf(&b, "%s: %s\r\n", backend.HeaderNode, c.node)
	if c.key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", platform.HeaderKey, c.key)
	}
	if c.claim != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", platform.HeaderWorkspace, c.claim)
	}
	if c.work > 0 {
		fmt.Fprintf(&b, "%s: %s\r\n", backend.HeaderWork, c.work)
	}
	if c.bytes > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", backend.HeaderAnswerBytes, c.bytes)
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

func (c *call) body() []byte { return []byte("body " + c.id) }

// setDeadline sets the read deadline to that of the pending request that is overdue
// first. It must be called with mu held.
func (cn *connection) setDeadline() {
	first := time.Time{}
	for _, c := range cn.pending {
		if end := c.sent.Add(c.halt + c.timeout + overdueMargin); first.IsZero() || end.Before(first) {
			first = end
		}
	}
	_ = cn.nc.SetReadDeadline(first)
}

// done reports whether the connection has ended and the end of each of its requests
// is recorded.
func (cn *connection) done() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.recorded
}

// finish waits until no request is pending and closes the connection.
func (cn *connection) finish() {
	for {
		if pending, _, _, _ := cn.state(); pending == 0 {
			break
		}
		time.Sleep(finishPollInterval)
	}
	cn.leave()
	cn.readDone.Wait()
}

// leave closes the connection from the caller's side.
func (cn *connection) leave() {
	cn.mu.Lock()
	cn.left = true
	cn.mu.Unlock()
	_ = cn.nc.Close()
}

// readAll reads answers, in the order of their requests, until the connection ends.
func (cn *connection) readAll() {
	in := bufio.NewReaderSize(reader{cn}, maxReadBytes)
	var err error
	for err == nil {
		if _, err = in.Peek(1); err != nil {
			break
		}
		c := cn.oldestPending()
		if c == nil {
			cn.history.recordStray(cn.node)
			break
		}
		err = cn.readAnswer(in, c)
	}
	cn.end(err)
}

func (cn *connection) oldestPending() *call {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if len(cn.pending) == 0 {
		return nil
	}
	return cn.pending[0]
}

// readAnswer reads the answer to a request. An error means that the connection has
// ended.
func (cn *connection) readAnswer(in *bufio.Reader, c *call) error {
	resp, err := http.ReadResponse(in, &http.Request{Method: c.method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	c.status, c.ended = resp.StatusCode, time.Now()
	c.fromNode = resp.Header.Get(backend.HeaderStamp) == ""
	c.target, _, _ = strings.Cut(resp.Header.Get(backend.HeaderStamp), ".")
	c.limited, c.leaving = resp.Header.Get(platform.HeaderRateLimit) != "", resp.Header.Get(platform.HeaderLeaving) != ""
	c.intact = bytes.Equal(body, backend.LongAnswer(c.id, c.body(), c.bytes))
	cn.pending = cn.pending[1:]
	cn.closing = cn.closing || resp.Close
	cn.pausedFor, cn.idleSince = 0, time.Now()
	if _, seconds, ok := strings.Cut(resp.Header.Get("Keep-Alive"), "timeout="); ok {
		cn.keepAlive, _ = time.ParseDuration(seconds + "s") // 0 if other parameters follow
	}
	cn.setDeadline()
	cn.history.recordEnd(*c)
	return nil
}

// end records the requests that got no answer.
func (cn *connection) end(err error) {
	_ = cn.nc.Close()
	cn.mu.Lock()
	now := time.Now()
	ended := now
	if !cn.quietSince.IsZero() {
		ended = cn.quietSince
	}
	var timeout net.Error
	overdue := !cn.left && errors.As(err, &timeout) && timeout.Timeout()
	cn.left = cn.left || overdue
	cn.ended = true
	pending, left, closing := cn.pending, cn.left, cn.closing
	cn.pending = nil
	cn.mu.Unlock()
	for _, c := range pending {
		c.ended, c.endObserved, c.left, c.overdue, c.crossed = ended, now, left, overdue, closing && !left
		cn.history.recordEnd(*c)
		if c.crossed {
			cn.resend(*c)
		}
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.recorded = true
}

// reader reads from a connection, with pauses if its link is slow.
type reader struct{ *connection }

func (r reader) Read(p []byte) (int, error) {
	if r.slow {
		r.pause()
	}
	n, err := r.nc.Read(p)
	if n > 0 {
		r.mu.Lock()
		r.quietSince = time.Time{}
		r.mu.Unlock()
	}
	return n, err
}

// pause leaves received bytes unread for a random time, in some of the calls made
// while an answer is pending.
func (r reader) pause() {
	length := time.Duration(rand.Int64N(int64(maxPauseTotal / 2)))
	r.mu.Lock()
	if len(r.pending) == 0 || r.pausedFor+length > maxPauseTotal || rand.Float64() > pauseShare {
		r.mu.Unlock()
		return
	}
	r.pausedFor += length
	if r.quietSince.IsZero() {
		r.quietSince = time.Now()
	}
	r.mu.Unlock()
	time.Sleep(length)
}
