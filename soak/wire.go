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
	// dialTimeout and sendTimeout bound the opening of a connection and the
	// sending of one request.
	dialTimeout = time.Second
	sendTimeout = 3 * time.Second
	// lateMargin is how long after the end of its time an answer is waited for.
	lateMargin = 500 * time.Millisecond
	// maxDue is the number of requests that a caller sends before it reads.
	maxDue = 6
	// smallBuffer is the receive buffer of a caller on a slow link, in bytes; less
	// than two segments of the loopback would stall it altogether.
	smallBuffer = 256 << 10
	// readBytes is the most that a caller reads at once.
	readBytes = 64 << 10
	// finishLook is the time between two looks whether all is answered.
	finishLook = 10 * time.Millisecond
	// pauseShare is how often a caller on a slow link pauses before it reads on,
	// and maxPauses how long its pauses last in all for the answers due at once.
	pauseShare = 0.2
	maxPauses  = 2 * time.Second
)

// wire is a caller's connection to a node. It stays open until the node ends it,
// an answer is overdue, or the caller leaves on purpose.
type wire struct {
	nc     net.Conn
	node   string
	life   int
	slow   bool
	record *history
	// again is told of each request that was sent behind a closing answer.
	again func(call)
	// sending is held while a request is sent.
	sending sync.Mutex
	read    sync.WaitGroup

	mu  sync.Mutex
	due []*call
	// busy says that a caller is about to send; closing that an answer said that
	// the connection closes; ended and left that it has ended, by the caller.
	busy, closing, ended, left bool
	// finished says that what became of its requests is recorded.
	finished  bool
	idleSince time.Time
	// keep is how long the node said that it keeps the connection idle, or 0.
	keep time.Duration
	// paused is the time of the pauses since the last answer, and quiet the start
	// of a pause after which nothing has been read.
	paused time.Duration
	quiet  time.Time
}

// dial opens a connection to a node. It returns nil if nobody answers or the
// process was replaced meanwhile.
func dial(n *node, slow bool, record *history, again func(call)) *wire {
	life := n.place.Starts()
	nc, err := net.DialTimeout("tcp", n.spec.Callers, dialTimeout)
	if err != nil {
		return nil
	}
	if slow {
		err = nc.(*net.TCPConn).SetReadBuffer(smallBuffer)
	}
	if err != nil || n.place.Starts() != life {
		_ = nc.Close()
		return nil
	}
	w := &wire{nc: nc, node: n.spec.Name, life: life, slow: slow, record: record, again: again, idleSince: time.Now()}
	w.read.Go(w.readAll)
	return w
}

// state returns the number of answers due and the time without a request. It
// reports false if the connection takes no more requests.
func (w *wire) state() (due int, idle, keep time.Duration, open bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.due), time.Since(w.idleSince), w.keep, !w.ended && !w.closing && !w.busy
}

// reserve claims the sending of the next requests.
func (w *wire) reserve() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	free := !w.busy && !w.ended && !w.closing
	w.busy = w.busy || free
	return free
}

func (w *wire) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = false
}

// send sends one request. It reports false, and nothing is sent, if the connection
// has ended or closes.
func (w *wire) send(c call) bool {
	w.sending.Lock()
	defer w.sending.Unlock()
	w.mu.Lock()
	if w.ended || w.closing {
		w.mu.Unlock()
		return false
	}
	c.node, c.life, c.slow, c.behind, c.sent = w.node, w.life, w.slow, len(w.due) > 0, time.Now()
	p := &c
	w.due = append(w.due, p)
	w.setDeadline()
	w.record.calling(w.node)
	w.mu.Unlock()
	text := c.wire()
	_ = w.nc.SetWriteDeadline(time.Now().Add(sendTimeout + c.halt))
	half := len(text)
	if c.halt > 0 {
		half /= 2
	}
	_, err := w.nc.Write(text[:half])
	if err == nil && half < len(text) {
		time.Sleep(c.halt)
		_, err = w.nc.Write(text[half:])
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		p.whole = time.Now()
	}
	return true
}

// wire returns the request's bytes.
func (c *call) wire() []byte {
	body := c.body()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s /%s/x HTTP/1.1\r\nHost: g.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n",
		c.method, c.route, platform.HeaderRequestID, c.id, platform.HeaderTimeLeft, c.patience.Milliseconds(), len(body))
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

// setDeadline bounds the wait for the answers due. It must be called with mu held.
func (w *wire) setDeadline() {
	first := time.Time{}
	for _, c := range w.due {
		if end := c.sent.Add(c.halt + c.patience + lateMargin); first.IsZero() || end.Before(first) {
			first = end
		}
	}
	_ = w.nc.SetReadDeadline(first)
}

// gone reports whether the connection has ended and all of it is recorded.
func (w *wire) gone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.finished
}

// finish waits for the answers due and leaves.
func (w *wire) finish() {
	for {
		if due, _, _, _ := w.state(); due == 0 {
			break
		}
		time.Sleep(finishLook)
	}
	w.leave()
	w.read.Wait()
}

// leave ends the connection from the caller's side.
func (w *wire) leave() {
	w.mu.Lock()
	w.left = true
	w.mu.Unlock()
	_ = w.nc.Close()
}

// readAll reads answers, in the order of their requests, until the connection ends.
func (w *wire) readAll() {
	in := bufio.NewReaderSize(reader{w}, readBytes)
	var err error
	for err == nil {
		if _, err = in.Peek(1); err != nil {
			break
		}
		c := w.head()
		if c == nil {
			w.record.strayed(w.node)
			break
		}
		err = w.readAnswer(in, c)
	}
	w.end(err)
}

func (w *wire) head() *call {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.due) == 0 {
		return nil
	}
	return w.due[0]
}

// readAnswer reads the answer to a request. An error means that the connection
// has ended.
func (w *wire) readAnswer(in *bufio.Reader, c *call) error {
	resp, err := http.ReadResponse(in, &http.Request{Method: c.method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	c.status, c.ended = resp.StatusCode, time.Now()
	c.own = resp.Header.Get(backend.HeaderStamp) == ""
	c.intact = bytes.Equal(body, backend.LongAnswer(c.id, c.body(), c.bytes))
	w.due = w.due[1:]
	w.closing = w.closing || resp.Close
	w.paused, w.idleSince = 0, time.Now()
	if _, seconds, ok := strings.Cut(resp.Header.Get("Keep-Alive"), "timeout="); ok {
		w.keep, _ = time.ParseDuration(seconds + "s") // 0 where other values follow
	}
	w.setDeadline()
	w.record.called(*c)
	return nil
}

// end records the requests that got no answer.
func (w *wire) end(err error) {
	_ = w.nc.Close()
	w.mu.Lock()
	now := time.Now()
	ended := now
	if !w.quiet.IsZero() {
		ended = w.quiet
	}
	var timeout net.Error
	overdue := !w.left && errors.As(err, &timeout) && timeout.Timeout()
	w.left = w.left || overdue
	w.ended = true
	due, left, closing := w.due, w.left, w.closing
	w.due = nil
	w.mu.Unlock()
	for _, c := range due {
		c.ended, c.noticed, c.left, c.overdue, c.crossed = ended, now, left, overdue, closing && !left
		w.record.called(*c)
		if c.crossed {
			w.again(*c)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished = true
}

// reader reads from a connection, with pauses if its link is slow.
type reader struct{ *wire }

func (r reader) Read(p []byte) (int, error) {
	if r.slow {
		r.pause()
	}
	n, err := r.nc.Read(p)
	if n > 0 {
		r.mu.Lock()
		r.quiet = time.Time{}
		r.mu.Unlock()
	}
	return n, err
}

// pause lets bytes wait now and then while an answer is due.
func (r reader) pause() {
	length := time.Duration(rand.Int64N(int64(maxPauses / 2)))
	r.mu.Lock()
	if len(r.due) == 0 || r.paused+length > maxPauses || rand.Float64() > pauseShare {
		r.mu.Unlock()
		return
	}
	r.paused += length
	if r.quiet.IsZero() {
		r.quiet = time.Now()
	}
	r.mu.Unlock()
	time.Sleep(length)
}
