package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/backend"
	"filbertmill.example/testbed/process"
)

// shutdownTime is what the settings of the test fleets allow between SIGTERM
// and SIGKILL.
const shutdownTime = 6 * time.Second

// hangTime is longer than any shutdown.
const hangTime = time.Minute

// hangOn makes all backends hang on a path; they answer other paths after 10 ms.
func (f *gatewayFleet) hangOn(path string) {
	for _, b := range f.backends {
		b.Set(backend.Behavior{Work: 10 * time.Millisecond, Works: map[string]time.Duration{path: hangTime}})
	}
}

// allowLongWork sets timeouts of routes that are longer than a shutdown.
func (f *gatewayFleet) allowLongWork() {
	f.configure(2*shutdownTime, `{"name":"new","kind":"safe","match":{"prefix":"/new/"},"action":{"service":"look","timeout-s":1}}`)
	f.await("the new times are in force", 5*time.Second, func() bool { return f.send(0, "GET", "new", "new").StatusCode == 200 })
}

// callerConn is a connection of a caller that pipelines requests.
type callerConn struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

// dial connects a caller to a node.
func (f *gatewayFleet) dial(node int) *callerConn {
	c, err := net.Dial("tcp", f.specs[node].Callers)
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(2 * shutdownTime))
	return newCallerConn(f.t, c)
}

func newCallerConn(t *testing.T, c net.Conn) *callerConn {
	return &callerConn{Conn: c, t: t, r: bufio.NewReader(c)}
}

// send writes a request without waiting for its answer.
func (c *callerConn) send(method, path, id string) {
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: g.example\r\n%s: %s\r\n%s: 30000\r\nContent-Length: 0\r\n\r\n",
		method, path, platform.HeaderRequestID, id, platform.HeaderTimeLeft)
	qt.Assert(c.t, err, qt.IsNil)
}

// receive reads the next answer, which must be complete and that to the given request.
// It returns its status, 0 if the connection ends first.
func (c *callerConn) receive(id string) int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Logf("%s: no answer: %v", id, err)
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	qt.Check(c.t, err, qt.IsNil, qt.Commentf("%s", id))
	qt.Check(c.t, resp.Header.Get(platform.HeaderRequestID), qt.Equals, id)
	if resp.StatusCode == http.StatusOK {
		qt.Check(c.t, string(body), qt.Equals, string(backend.Answer(id, nil)))
	}
	return resp.StatusCode
}

// ended checks that the connection ends without further bytes or a reset.
func (c *callerConn) ended() {
	_, err := c.r.ReadByte()
	qt.Check(c.t, err, qt.Equals, io.EOF)
}

// TestDrainLeavesPipelinedRequestsToTheirCaller guards against a request that is
// refused late in a drain and whose refusal reaches its caller only behind an answer
// that takes long. Such a request must stay unread: the earlier answer closes the
// connection, so that the caller can send the request again.
func TestDrainLeavesPipelinedRequestsToTheirCaller(t *testing.T) {
	f := startGatewayFleet(t, 1, 3)
	f.hangOn("/look/hang")
	f.allowLongWork()
	c := f.dial(0)
	c.send("GET", "/look/hang", "head")
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, f.nodes[0].Terminate(), qt.IsNil)
	time.Sleep(3500 * time.Millisecond)
	c.send("GET", "/look/x", "late")
	resp, err := http.ReadResponse(c.r, nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 504)
	qt.Check(t, resp.Close, qt.IsTrue, qt.Commentf("the caller sends the request behind it again"))
	c.ended()
	qt.Check(t, f.nodes[0].Wait(), qt.IsNil)
	for _, a := range f.ledger.Arrivals() {
		qt.Check(t, a.Request, qt.Not(qt.Equals), "late")
	}
}

// TestDrainRefusesABookingBehindHangingWork guards against a booking that is
// pipelined behind a hanging request and only starts, or is cut, when the process
// ends.
func TestDrainRefusesABookingBehindHangingWork(t *testing.T) {
	f := startGatewayFleet(t, 1, 3)
	f.hangOn("/look/hang")
	f.allowLongWork()
	c := f.dial(0)
	c.send("GET", "/look/hang", "head")
	c.send("POST", "/book/x", "booking")
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, f.nodes[0].Terminate(), qt.IsNil)
	qt.Check(t, c.receive("head"), qt.Equals, 504)
	qt.Check(t, c.receive("booking"), qt.Equals, 503)
	c.ended()
	qt.Check(t, f.nodes[0].Wait(), qt.IsNil)
	for _, a := range f.ledger.Arrivals() {
		qt.Check(t, a.Request, qt.Not(qt.Equals), "booking")
	}
}

// TestDrainDeliversAnswersBehindHangingWork guards against a process that ends with
// a finished answer that could not be written because an earlier answer on the same
// connection was still missing.
func TestDrainDeliversAnswersBehindHangingWork(t *testing.T) {
	f := startGatewayFleet(t, 1, 3)
	f.hangOn("/look/hang")
	f.allowLongWork()
	before, after, booking := f.dial(0), f.dial(0), f.dial(0)
	before.send("GET", "/look/hang", "before-1")
	before.send("GET", "/look/x", "before-2")
	after.send("GET", "/look/x", "after-1")
	qt.Assert(t, after.receive("after-1"), qt.Equals, 200)
	booking.send("POST", "/book/x", "booking-1")
	qt.Assert(t, booking.receive("booking-1"), qt.Equals, 200)

	term := time.Now()
	qt.Assert(t, f.nodes[0].Terminate(), qt.IsNil)
	time.Sleep(time.Second)
	after.send("GET", "/look/hang", "after-2")
	after.send("GET", "/look/x", "after-3")
	qt.Check(t, before.receive("before-1"), qt.Equals, 504)
	qt.Check(t, time.Since(term) > shutdownTime*5/6, qt.IsTrue, qt.Commentf("work is not broken off sooner"))
	qt.Check(t, before.receive("before-2"), qt.Equals, 200)
	before.ended()
	qt.Check(t, after.receive("after-2"), qt.Equals, 504)
	qt.Check(t, after.receive("after-3"), qt.Equals, 200)
	after.ended()
	qt.Check(t, f.nodes[0].Wait(), qt.IsNil)
	qt.Check(t, time.Since(term) < shutdownTime, qt.IsTrue, qt.Commentf("ended after %s", time.Since(term)))
}

// TestDrainWaitsForPartlyReadRequests guards against a process that ends while a
// request arrives slowly: at that time no request is in flight, and no new one has
// arrived recently. A request that is complete early enough is answered, one that is
// complete too late is refused.
func TestDrainWaitsForPartlyReadRequests(t *testing.T) {
	f := startGatewayFleet(t, 1, 3)
	early, late := f.dial(0), f.dial(0)
	qt.Assert(t, f.nodes[0].Terminate(), qt.IsNil)
	term := time.Now()
	for _, c := range []*callerConn{early, late} {
		_, err := fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: g.example\r\n%s: slow\r\nContent-Length: 2\r\n\r\n1", platform.HeaderRequestID)
		qt.Assert(t, err, qt.IsNil)
	}
	time.Sleep(time.Until(term.Add(2700 * time.Millisecond)))
	_, err := early.Write([]byte("2"))
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(early.r, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)

	time.Sleep(time.Until(term.Add(4 * time.Second)))
	_, err = late.Write([]byte("2"))
	qt.Assert(t, err, qt.IsNil)
	resp, err = http.ReadResponse(late.r, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 503)
	qt.Check(t, resp.Close, qt.IsTrue)
	qt.Check(t, f.nodes[0].Wait(), qt.IsNil)
	qt.Check(t, time.Since(term) < shutdownTime, qt.IsTrue)
}

// TestDrainBeforeTheFirstConfiguration guards against a process that is killed by a
// SIGTERM, without a drain, because the signal arrives with the first callers, before
// the node has a configuration.
func TestDrainBeforeTheFirstConfiguration(t *testing.T) {
	specs, err := process.NewGateways(1, gatewayZones, "127.0.0.1:1")
	qt.Assert(t, err, qt.IsNil)
	f := &gatewayFleet{t: t, dir: t.TempDir(), specs: specs}
	for i := range 5 {
		f.startNode(specs[0])
		var c net.Conn
		f.await("the node listens", 5*time.Second, func() bool {
			for range 1000 {
				if c, err = net.Dial("tcp", specs[0].Callers); err == nil {
					return true
				}
			}
			return false
		})
		qt.Assert(t, f.nodes[i].Terminate(), qt.IsNil)
		term := time.Now()
		_ = c.SetDeadline(term.Add(shutdownTime))
		caller := &callerConn{Conn: c, t: t, r: bufio.NewReader(c)}
		caller.send("GET", "/look/x", "first")
		qt.Check(t, caller.receive("first"), qt.Equals, 503)
		caller.ended()
		qt.Check(t, f.nodes[i].Wait(), qt.IsNil)
		qt.Check(t, time.Since(term) < shutdownTime, qt.IsTrue)
		_ = c.Close()
	}
}

// TestDrainIsNotCutByFurtherSignals guards against a SIGHUP that ends requests in
// flight, and against a further SIGTERM or SIGINT that ends a drain early.
func TestDrainIsNotCutByFurtherSignals(t *testing.T) {
	f := startGatewayFleet(t, 1, 3)
	for _, b := range f.backends {
		b.Set(backend.Behavior{Work: 10 * time.Millisecond, Works: map[string]time.Duration{"/look/long": 3500 * time.Millisecond}})
	}
	f.allowLongWork()
	c := f.dial(0)
	c.send("GET", "/look/long", "long")
	time.Sleep(100 * time.Millisecond)
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		qt.Assert(t, syscall.Kill(f.nodes[0].PID(), sig), qt.IsNil)
		time.Sleep(300 * time.Millisecond)
	}
	qt.Check(t, c.receive("long"), qt.Equals, 200)
	c.ended()
	qt.Check(t, f.nodes[0].Wait(), qt.IsNil)
}
