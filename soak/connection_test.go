package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// answerTo returns an answer without a body.
func answerTo(extra string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" + extra + "\r\n"
}

// TestConnectionRecordsEndOfRequests sends three requests without waiting to a node
// that answers some of them and closes the connection. Requests that were cut must
// not be mistaken for those that crossed a closing answer.
func TestConnectionRecordsEndOfRequests(t *testing.T) {
	tests := map[string]struct {
		script string
		want   string
	}{
		"all answered":     {strings.Repeat(answerTo(""), 3), "r0 503; r1 503; r2 503"},
		"cut":              {answerTo(""), "r0 503; r1 cut; r2 cut"},
		"cut in an answer": {strings.Replace(answerTo(""), ": 0", ": 5", 1) + "abc", "r0 cut; r1 cut; r2 cut"},
		"closing answer":   {answerTo("Connection: close\r\n"), "r0 503; r1 crossed; r2 crossed"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			h := &history{}
			var resent []string
			cn := &connection{nc: near, node: "n", life: 1, history: h, resend: func(c call) { resent = append(resent, c.id) }}
			cn.readDone.Go(cn.readAll)
			go func() { _, _ = far.Read(make([]byte, 1<<10)) }()
			for i := range 3 {
				if i > 0 {
					go func() { _, _ = far.Read(make([]byte, 1<<10)) }()
				}
				qt.Assert(t, cn.send(call{id: fmt.Sprint("r", i), route: "look", method: "GET", timeout: time.Minute}), qt.IsTrue)
			}
			_, err := far.Write([]byte(tt.script))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, far.Close(), qt.IsNil)
			cn.readDone.Wait()
			var got []string
			for _, c := range h.calls {
				end := fmt.Sprint(c.status)
				switch {
				case c.crossed:
					end = "crossed"
					qt.Check(t, resent, qt.Contains, c.id)
				case c.cut():
					end = "cut"
				}
				got = append(got, c.id+" "+end)
				qt.Check(t, c.pipelined, qt.Equals, c.id != "r0")
				qt.Check(t, c.fullySent.IsZero(), qt.IsFalse)
			}
			qt.Check(t, strings.Join(got, "; "), qt.Equals, tt.want)
		})
	}
}

// TestCallerClosesConnection has a caller close its connection on purpose, or since
// the answer is overdue.
func TestCallerClosesConnection(t *testing.T) {
	for _, overdue := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = l.Close() })
		nc, err := net.Dial("tcp", l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		h := &history{}
		cn := &connection{nc: nc, node: "n", history: h}
		cn.readDone.Go(cn.readAll)
		timeout := time.Minute
		if overdue {
			timeout = time.Millisecond
		}
		cn.send(call{id: "r", route: "look", method: "GET", timeout: timeout})
		if !overdue {
			cn.leave()
		}
		cn.readDone.Wait()
		qt.Assert(t, h.calls, qt.HasLen, 1)
		qt.Check(t, h.calls[0].left, qt.IsTrue)
		qt.Check(t, h.calls[0].overdue, qt.Equals, overdue)
		qt.Check(t, cn.done(), qt.IsTrue)
	}
}
