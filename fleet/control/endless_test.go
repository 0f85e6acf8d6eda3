package control

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/testbed/endless"
)

// maxDialBytes is the memory that one failed connection to a node may take, garbage
// included: a search for a relay connects to dozens of nodes at once.
const maxDialBytes = 1 << 20

// reusedBuffer writes strings to a connection without allocating memory for each.
type reusedBuffer struct {
	net.Conn
	buf []byte
}

func (b *reusedBuffer) WriteString(s string) (int, error) {
	b.buf = append(b.buf[:0], s...)
	return b.Write(b.buf)
}

// TestEndlessAnswerOfAPeerIsNotKept guards against a process that runs out of memory, as
// what answers at the address of a node that is gone sends bytes without end.
func TestEndlessAnswerOfAPeerIsNotKept(t *testing.T) {
	for _, kind := range endless.Kinds {
		t.Run(string(kind), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			go func() {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				defer nc.Close()
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
					_, _ = endless.Write(&reusedBuffer{nc, make([]byte, 0, 64<<10)}, kind, "", "body", 0)
				}
			}()
			node, _ := startTransport(t, "node", testKey)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err = node.Call(ctx, Peer{ControlAddress: l.Addr().String()}, "echo", ping{}, nil)
			runtime.ReadMemStats(&after)
			qt.Check(t, err, qt.IsNotNil)
			allocated := after.TotalAlloc - before.TotalAlloc
			qt.Check(t, allocated < maxDialBytes, qt.IsTrue, qt.Commentf("%d KB", allocated>>10))
		})
	}
}

// TestRefusedConnectionIsClosed guards against descriptors that stay in use, as what
// answers at the address of a node that is gone refuses and leaves the connection open.
func TestRefusedConnectionIsClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	closed := make(chan error, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		defer nc.Close()
		r := bufio.NewReader(nc)
		if _, err := http.ReadRequest(r); err != nil {
			closed <- err
			return
		}
		_, _ = nc.Write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno"))
		_ = nc.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err = r.ReadByte()
		closed <- err
	}()
	node, _ := startTransport(t, "node", testKey)
	qt.Check(t, node.Call(testContext(t), Peer{ControlAddress: l.Addr().String()}, "echo", ping{}, nil), qt.IsNotNil)
	qt.Check(t, <-closed, qt.Equals, io.EOF)
}
