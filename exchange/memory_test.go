package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/exchange/account"
	"filbertmill.example/testbed/endless"
)

// readAll runs an exchange and returns its buffered answer.
func readAll(ctx context.Context, cl *Client, addr string, limit int64, res *Reservation) (*BufferedBody, error) {
	r := &protocol.Request{}
	r.Header.SetHost("test")
	r.Header.SetRequestURI("/")
	ans, f := cl.Do(ctx, Call{Address: addr, Request: r, MaxResponseBytes: limit, Unframed: true})
	if f != nil {
		return nil, f
	}
	defer ans.Body.Close()
	return ans.Body.ReadAll(res)
}

// framedAnswer returns an answer with the body in the given framing.
func framedAnswer(framing, body string) string {
	switch framing {
	case "length":
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nFilbertmill-Attempt: %%A\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	case "chunked":
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return "HTTP/1.1 200 OK\r\n\r\n" + body + "<cut>"
}

// A body of any size and framing must be buffered completely, and must use little
// more memory than its size.
func TestReadAll(t *testing.T) {
	sizes := []int{0, 1, minSegmentBytes - 1, minSegmentBytes, minSegmentBytes + 1, exemptBytes, exemptBytes + 1, 3 << 20}
	for _, framing := range []string{"length", "chunked", "none"} {
		for _, size := range sizes {
			c := qt.New(t)
			body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
			if framing == "chunked" && size == 0 {
				continue // a chunk of size 0 would end the body early
			}
			s := serveScript(c, framedAnswer(framing, body))
			m := NewMemoryBudget(8 << 20)
			res := m.NewReservation()
			ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
			buf, err := readAll(ctx, NewClient(Options{Name: "t"}), s.ln.Addr().String(), 0, res)
			cancel()
			c.Assert(err, qt.IsNil, qt.Commentf("%s of %d", framing, size))
			got, err := io.ReadAll(buf.Reader())
			c.Assert(err, qt.IsNil)
			c.Check(string(got) == body, qt.IsTrue, qt.Commentf("%s: %d of %d bytes", framing, len(got), size))
			c.Check(buf.Size(), qt.Equals, int64(size))
			if size <= exemptBytes {
				if framing == "length" {
					c.Check(m.Use().Peak, qt.Equals, int64(0))
				}
				_, one := buf.Bytes()
				c.Check(framing != "length" || one, qt.IsTrue)
			}
			c.Check(m.Use().Peak <= int64(size)+maxSegmentBytes+exemptBytes, qt.IsTrue, qt.Commentf("%d held for %d", m.Use().Peak, size))
			res.Release()
			res.Release()
			c.Check(m.Use().Used, qt.Equals, int64(0))
		}
	}
}

// Many concurrent answers without end must use no more than the memory budget.
// Neither small answers nor a large one that is smaller than they are may be
// aborted for them.
func TestEndlessBodiesStayWithinMemoryBudget(t *testing.T) {
	c := qt.New(t)
	m := NewMemoryBudget(8 << 20)
	cl := NewClient(Options{Name: "t"})
	ctx, cancel := context.WithTimeout(c.Context(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for _, kind := range []endless.Kind{endless.Chunks, endless.Unframed} {
		addr, _ := serveEndless(c, kind, 0)
		for range 8 {
			wg.Go(func() {
				for range 5 {
					_, err := readAll(ctx, cl, addr, 32<<20, m.NewReservation())
					var f *Failure
					c.Check(errors.As(err, &f), qt.IsTrue)
					c.Check(f.Breach() == BreachMemory, qt.IsTrue, qt.Commentf("%v", f))
				}
			})
		}
	}
	small := serveScript(c, framedAnswer("length", strings.Repeat("s", 32<<10)))
	large := serveScript(c, framedAnswer("length", strings.Repeat("l", 200<<10)))
	for range 12 {
		wg.Go(func() {
			res := m.NewReservation()
			defer res.Release()
			_, err := readAll(ctx, NewClient(Options{Name: "t"}), small.ln.Addr().String(), 0, res)
			c.Check(err, qt.IsNil)
		})
	}
	wg.Go(func() {
		res := m.NewReservation()
		defer res.Release()
		_, err := readAll(ctx, NewClient(Options{Name: "t"}), large.ln.Addr().String(), 0, res)
		c.Check(err, qt.IsNil)
	})
	wg.Wait()
	use := m.Use()
	c.Check(use.Peak <= use.Limit, qt.IsTrue, qt.Commentf("%+v", use))
	c.Check(use.Used, qt.Equals, int64(0))
	c.Check(use.Ended, qt.Equals, int64(80))
}

// A completely buffered answer must never be aborted to free memory. The answer
// that grows must be aborted instead, and its memory released.
func TestCompleteAnswersAreNotEvicted(t *testing.T) {
	c := qt.New(t)
	m := NewMemoryBudget(1 << 20)
	held := m.NewReservation()
	c.Assert(held.grow(900<<10, func() { c.Error("ended") }), qt.IsNil)
	c.Assert(held.finishReading(), qt.IsNil)
	growing := m.NewReservation()
	c.Assert(growing.grow(100<<10, func() {}), qt.IsNil)
	c.Check(growing.grow(200<<10, func() {}), qt.ErrorIs, error(errMemory))
	growing.Release()
	c.Check(m.Use().Used, qt.Equals, int64(900<<10))
	held.Release()
	c.Check(m.Use().Used, qt.Equals, int64(0))
}

// A connection that is kept for another exchange must not be interrupted when the
// memory aborts an answer: its own earlier answer is complete.
func TestKeptConnectionIsNotInterrupted(t *testing.T) {
	c := qt.New(t)
	s := serveScript(c, framedAnswer("length", strings.Repeat("l", 200<<10)), completeAnswer)
	cl := NewClient(Options{Name: "t"})
	m := NewMemoryBudget(300 << 10)
	res := m.NewReservation()
	defer res.Release()
	ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
	defer cancel()
	r := &protocol.Request{}
	r.Header.SetHost("test")
	r.Header.SetRequestURI("/")
	ans, f := cl.Do(ctx, Call{Address: s.ln.Addr().String(), Request: r})
	c.Assert(f == nil, qt.IsTrue)
	ans.Body.reservation = res
	c.Assert(ans.Body.fill(&BufferedBody{}, res), qt.IsNil)
	// The body has been read completely, and ReadAll has not yet returned.
	other := m.NewReservation()
	defer other.Release()
	c.Check(other.grow(150<<10, func() {}), qt.ErrorIs, error(errMemory))
	got, err := get(c, cl, s)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, "whole")
	c.Check(s.conns, qt.HasLen, 1)
}

// Answers of any size must wait while callers that do not read hold the memory of the
// account. Those callers must give way, and no answer must be aborted for them.
func TestAnswersWaitForCallersThatDoNotRead(t *testing.T) {
	for _, size := range []int64{60_000, 1 << 20} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			a := account.New(8 << 20)
			m := NewSharedMemoryBudget(4<<20, a)
			var unread []*Reservation
			for {
				var caller *account.Holder
				res := &Reservation{}
				caller = a.NewHolder(func() { go res.Release() })
				*res = *m.NewReservationFor(caller)
				ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
				res.ctx = ctx
				err := res.grow(size, func() {})
				cancel()
				if err != nil {
					// The remote end is not at fault.
					c.Check(newFailure(t.Context(), StageReceive, err).Cause, qt.Equals, CauseNoMemory)
					res.Release()
					break
				}
				c.Assert(res.finishReading(), qt.IsNil)
				caller.Progress()
				unread = append(unread, res)
			}
			c.Check(len(unread) > 2, qt.IsTrue)
			ended := m.Use().Ended
			ordinary := m.NewReservationFor(a.NewHolder(func() { c.Error("aborted") }))
			ordinary.ctx = t.Context()
			c.Check(ordinary.grow(size, func() { c.Error("interrupted") }), qt.IsNil)
			c.Check(m.Use().Ended, qt.Equals, ended)
			ordinary.Release()
			for _, res := range unread {
				res.Release()
			}
			c.Check(a.Usage().Used, qt.Equals, int64(0))
		})
	}
}
