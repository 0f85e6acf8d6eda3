package exchange

import (
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/network/standard"
	qt "github.com/frankban/quicktest"
)

// TestConnectionKeepsNothingThatWasWritten guards against idle connections that keep the
// last message in memory.
func TestConnectionKeepsNothingThatWasWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}()
	nc, err := standard.NewDialer().DialConnection("tcp", l.Addr().String(), time.Second, nil)
	qt.Assert(t, err, qt.IsNil)
	defer nc.Close()
	var freed atomic.Bool
	func() {
		body := make([]byte, 60000)
		runtime.SetFinalizer(&body[0], func(*byte) { freed.Store(true) })
		w := DirectWriter{nc}
		_, err := w.WriteBinary(body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, w.Flush(), qt.IsNil)
	}()
	for end := time.Now().Add(5 * time.Second); !freed.Load() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		runtime.GC()
	}
	qt.Check(t, freed.Load(), qt.IsTrue)
	runtime.KeepAlive(nc)
}
