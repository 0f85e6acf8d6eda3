package node

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"filbertmill.example/exchange"
	"filbertmill.example/exchange/account"
)

const (
	// callerConnBytes is what an open connection needs while it is idle.
	callerConnBytes = 16 << 10
	// minHeadBytes is the first size of the buffer of a head. It doubles as the head grows.
	minHeadBytes = 1 << 10
	// handlingBytes is what the handling of a request needs beside its head and body: the
	// stacks of its goroutines, and the buffers of a connection to a target or a home.
	handlingBytes = 32 << 10
	// headCopies is the number of copies of a head in memory while it is handled, those of
	// the codec among them, and piecewiseCopies that while the codec reads it in pieces.
	// fieldBytes is what a field needs beside its text, in fieldCopies of them.
	headCopies      = 9
	piecewiseCopies = 18
	fieldBytes      = 72
	fieldCopies     = 4
	// maxWrite is the largest number of bytes that are written at once, so that the
	// progress of a caller that reads slowly is seen.
	maxWrite = 64 << 10
)

// callerConn is a caller's connection below the codec, which accounts for what it holds.
// The codec gets a head only when it is whole: it parses a head from its start for each
// piece that arrives, and keeps every copy.
type callerConn struct {
	net.Conn
	limits *callerLimits
	memory *account.Holder
	closed sync.Once

	mu sync.Mutex
	// codec is the codec's connection on top; nil before the first request.
	codec network.Conn
	phase phase
	// whole is set if the head begins with the next byte that is read. gathered is set once
	// it was passed to the codec in one piece.
	whole, gathered bool
	// head holds the bytes of a head until it is whole, and then those that the codec has
	// not read. It is nil otherwise.
	head []byte
	scan exchange.HeadScan
	// pieces is the number of bytes of a head that were not gathered.
	pieces int64
	// uploading is set while a large body is passed on as it arrives.
	uploading bool
	// requests and answers are the memory of these kinds, in bytes. bodies is that of the
	// body, as far as it is held.
	requests, bodies, answers int64
	// lastRead is when bytes last arrived.
	lastRead time.Time
}

// phase is what a connection does.
type phase uint8

// The phases: the head of a request is read; a request is handled, from its whole head on;
// its answer is written.
const (
	readingHead phase = iota
	handling
	answering
)

func newCallerConn(nc net.Conn, l *callerLimits) *callerConn {
	c := &callerConn{Conn: nc, limits: l, whole: true, lastRead: time.Now()}
	c.memory = l.account.NewHolder(func() { _ = nc.Close() })
	return c
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() {
		c.limits.remove(c)
		c.memory.Close()
	})
	return err
}

// idle returns for how long no byte has arrived, or 0 while a request is handled.
func (c *callerConn) idle() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling {
		return 0
	}
	return time.Since(c.lastRead)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.phase == answering {
		c.beginHead()
	}
	gather := c.phase == readingHead && c.whole && !c.gathered
	if len(c.head) > 0 && !gather {
		defer c.mu.Unlock()
		return c.takeHead(p), nil
	}
	c.mu.Unlock()
	if !gather {
		return c.readPiece(p)
	}
	if err := c.gatherHead(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takeHead(p), nil
}

// beginHead releases what the last request held. It must be called with mu held.
func (c *callerConn) beginHead() {
	c.phase = readingHead
	c.release(account.Requests, &c.requests)
	c.release(account.SmallBodies, &c.bodies)
	c.release(account.SmallAnswers, &c.answers)
	c.whole = c.whole && c.codec.Len() == 0
	c.gathered, c.scan, c.pieces, c.uploading = false, exchange.HeadScan{}, 0, false
}

func (c *callerConn) release(class account.Class, bytes *int64) {
	c.memory.Release(class, *bytes)
	*bytes = 0
}

// takeHead passes bytes of the head on. It must be called with mu held.
func (c *callerConn) takeHead(p []byte) int {
	n := copy(p, c.head)
	if c.head = c.head[n:]; len(c.head) == 0 {
		c.head = nil
	}
	return n
}

// gatherHead reads until a head is whole, is too large for the codec, or is none.
func (c *callerConn) gatherHead() error {
	defer c.memory.EndWait()
	for {
		c.mu.Lock()
		head := c.head
		c.mu.Unlock()
		if len(head) > 0 {
			if c.scan.End(head) > 0 || len(head) > maxHeaderBytes || !exchange.BeginsRequest(head) {
				c.mu.Lock()
				c.gathered = true
				c.mu.Unlock()
				return nil
			}
			c.memory.Progress()
		}
		if len(head) == cap(head) {
			size := max(2*cap(head), minHeadBytes)
			if err := c.grow(account.Requests, &c.requests, int64(size)); err != nil {
				return err
			}
			head = append(make([]byte, 0, size), head...)
		}
		n, err := c.Conn.Read(head[len(head):cap(head)])
		c.mu.Lock()
		c.head = head[:len(head)+n]
		c.lastRead = time.Now()
		c.mu.Unlock()
		if n == 0 && err != nil {
			return err
		}
	}
}

// readPiece reads what follows a whole head, or a piece of a head that begins in the
// codec's buffer.
func (c *callerConn) readPiece(p []byte) (int, error) {
	c.mu.Lock()
	inPieces := c.phase == readingHead && !c.gathered
	if c.phase == readingHead || c.uploading {
		c.memory.Progress()
		defer c.memory.EndWait()
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	c.lastRead = time.Now()
	more := min(int64(n), maxHeaderBytes-c.pieces)
	c.pieces += more
	c.mu.Unlock()
	if c.memory.Waits() {
		c.memory.Progress()
	}
	// The rest of an unread body, which is not kept, may come here too.
	if inPieces && more > 0 {
		if err := c.grow(account.Requests, &c.requests, piecewiseCopies*more); err != nil {
			return 0, err
		}
	}
	return n, err
}

// grow adds memory of a class to the connection.
func (c *callerConn) grow(class account.Class, held *int64, bytes int64) error {
	if err := c.memory.Grow(context.Background(), class, bytes); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	*held += bytes
	return nil
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	c.memory.Progress()
	defer c.memory.EndWait()
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(written+maxWrite, len(b))])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
		c.memory.Progress()
	}
}

// beginRequest accounts for a request whose head the codec has read. It fails if others
// need the memory; the connection is then closed, and the request has not run.
func (c *callerConn) beginRequest(ctx *app.RequestContext) error {
	if c == nil {
		return nil
	}
	head := ctx.Request.Header.RawHeaders()
	need := int64(handlingBytes + headCopies*len(head) + fieldCopies*fieldBytes*bytes.Count(head, []byte{'\n'}))
	c.mu.Lock()
	c.phase, c.codec = handling, ctx.GetConn()
	more := need - c.requests
	c.mu.Unlock()
	if more < 0 {
		c.mu.Lock()
		c.memory.Release(account.Requests, -more)
		c.requests = need
		c.mu.Unlock()
	} else if err := c.grow(account.Requests, &c.requests, more); err != nil {
		return err
	}
	body := int64(ctx.Request.Header.ContentLength())
	if body < 0 && !ctx.Request.IsBodyStream() {
		return nil
	}
	if body < 0 || body > replayLimit {
		body = replayLimit
	}
	return c.grow(account.SmallBodies, &c.bodies, body)
}

// waitForBody records that the body of the request is read until the returned function is
// called.
func (c *callerConn) waitForBody() func() {
	if c == nil {
		return func() {}
	}
	c.memory.Progress()
	return c.memory.EndWait
}

// beginUpload records that a large body is passed on as it arrives.
func (c *callerConn) beginUpload() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploading = true
}

// endRequest accounts for the answer that is about to be written.
func (c *callerConn) endRequest(ctx *app.RequestContext) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = answering
	// The rest of a body, or the next request, may be in the codec's buffer.
	c.whole = !ctx.Request.IsBodyStream()
	if !ctx.Response.IsBodyStream() {
		c.answers = int64(len(ctx.Response.BodyBytes()))
		c.memory.Add(account.SmallAnswers, c.answers)
	}
}
