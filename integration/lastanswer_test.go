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
)

// TestDrainWaitsForTheLastAnswerToArrive guards against a process that ends while its
// last answer is still in the kernel's send buffer because the link is slow. Bytes
// that the caller sends after its request then make the kernel reset the connection,
// and the rest of the answer is lost.
func TestDrainWaitsForTheLastAnswerToArrive(t *testing.T) {
	f := startGatewayFleet(t, 1, 3)
	for _, b := range f.backends {
		b.Set(backend.Behavior{Work: 10 * time.Millisecond, Works: map[string]time.Duration{"/look/long": 1800 * time.Millisecond}})
	}
	f.allowLongWork()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	nc, err := d.Dial("tcp", f.specs[0].Callers)
	qt.Assert(t, err, qt.IsNil)
	defer nc.Close()
	qt.Assert(t, nc.SetDeadline(time.Now().Add(2*shutdownTime)), qt.IsNil)
	body := make([]byte, 100<<10)

	term := time.Now()
	qt.Assert(t, f.nodes[0].Terminate(), qt.IsNil)
	time.Sleep(time.Second)
	fmt.Fprintf(nc, "POST /look/long HTTP/1.1\r\nHost: g.example\r\n%s: long\r\n%s: 30000\r\nContent-Length: %d\r\n\r\n",
		platform.HeaderRequestID, platform.HeaderTimeLeft, len(body))
	_, err = nc.Write(body)
	qt.Assert(t, err, qt.IsNil)
	ended := make(chan time.Time, 1)
	go func() { _ = f.nodes[0].Wait(); ended <- time.Now() }()
	// The caller reads 16 KiB each 100 ms, as over a link of about a Mbit/s, and
	// sends a further request in the meantime.
	r := &slowReader{Reader: nc}
	go func() {
		time.Sleep(time.Until(term.Add(3200 * time.Millisecond)))
		fmt.Fprint(nc, "GET /look/x HTTP/1.1\r\nHost: g.example\r\nX-Request-Id: behind\r\n\r\n")
	}()
	resp, err := http.ReadResponse(bufio.NewReaderSize(r, 16<<10), nil)
	qt.Assert(t, err, qt.IsNil)
	got, err := io.ReadAll(resp.Body)
	t.Logf("status %d, %d bytes of %d read %s after SIGTERM, process ended %s after it", resp.StatusCode, len(got),
		resp.ContentLength, time.Since(term), (<-ended).Sub(term))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(got) == string(backend.Answer("long", body)), qt.IsTrue)
}

// slowReader reads at most 16 KiB each 100 ms.
type slowReader struct{ io.Reader }

func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return r.Reader.Read(p[:min(len(p), 16<<10)])
}
