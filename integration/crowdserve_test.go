package integration

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/testbed/answer"
)

// serveHead is somewhat less than the largest head that `filbertmill serve` takes.
const serveHead = 60000

// serveCrowd is a node of `filbertmill serve` with callers that nobody controls.
type serveCrowd struct {
	*bookingFleet
	mu   sync.Mutex
	open []net.Conn
	// requests holds the ids of the requests that were sent on each connection, in order.
	requests map[net.Conn][]string
}

func startServeCrowd(t *testing.T) *serveCrowd {
	t.Helper()
	s := &serveCrowd{bookingFleet: startBookingsWith(qt.New(t), 1, serveLimits), requests: make(map[net.Conn][]string)}
	t.Cleanup(func() {
		for _, conn := range s.open {
			_ = conn.Close()
		}
	})
	return s
}

// sendAll has callers send at once. A caller stops at the first error.
func (s *serveCrowd) sendAll(size int, send func(conn net.Conn, caller int) error) {
	var all sync.WaitGroup
	for i := range size {
		all.Go(func() {
			conn, err := net.Dial("tcp", s.specs[0].Callers)
			if err != nil {
				return
			}
			_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
			s.mu.Lock()
			s.open = append(s.open, conn)
			s.mu.Unlock()
			_ = send(conn, i)
		})
	}
	all.Wait()
}

// head records a request on a connection and returns its head without the empty line at
// its end.
func (s *serveCrowd) head(conn net.Conn, id string, lines ...string) string {
	s.mu.Lock()
	s.requests[conn] = append(s.requests[conn], id)
	s.mu.Unlock()
	return fmt.Sprintf("POST /book HTTP/1.1\r\nHost: h\r\n%s: %s\r\nIdempotency-Key: %s\r\n%s",
		answer.HeaderRequest, id, id, strings.Join(append(lines, ""), "\r\n"))
}

// sendHead sends a head that does not end, in pieces.
func (s *serveCrowd) sendHead(conn net.Conn, caller int) error {
	head := s.head(conn, fmt.Sprintf("head-%d", caller))
	head += pad(serveHead - len(head))
	const piece = 3000
	for ; len(head) > 0; head = head[min(piece, len(head)):] {
		if _, err := io.WriteString(conn, head[:min(piece, len(head))]); err != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// sendUnread sends requests for answers that it does not read.
func (s *serveCrowd) sendUnread(conn net.Conn, caller int) error {
	for i := range 100 {
		head := s.head(conn, fmt.Sprintf("unread-%d-%d", caller, i), fmt.Sprintf("%s: %d", answer.HeaderBytes, unreadAnswer), "Content-Length: 0")
		if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
			return err
		}
	}
	return nil
}

// sendBody sends a body that lacks its last byte.
func (s *serveCrowd) sendBody(conn net.Conn, caller, size int) error {
	if _, err := io.WriteString(conn, s.head(conn, fmt.Sprintf("body-%d", caller), fmt.Sprintf("Content-Length: %d", size))+"\r\n"); err != nil {
		return err
	}
	_, err := conn.Write(bytes.Repeat([]byte{'b'}, size-1))
	return err
}

// check checks, while the crowd is there, that the process lives within its memory and
// descriptors, that an ordinary booking is answered, and that no request that was refused
// has run.
func (s *serveCrowd) check(t *testing.T) {
	t.Helper()
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.nodes[0].PID()))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(descriptors) <= manyDescriptors, qt.IsTrue, qt.Commentf("%d descriptors, %d allowed", len(descriptors), manyDescriptors))
	answered := false
	for end := time.Now().Add(30 * time.Second); !answered && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answered = s.book(0, fmt.Sprintf("ordinary-%d", time.Now().UnixNano())).status == 200
	}
	qt.Check(t, answered, qt.IsTrue, qt.Commentf("an ordinary booking is answered"))
	peak := residentPeak(qt.New(t), s.nodes[0]) >> 20
	qt.Check(t, peak <= crowdMemoryMB, qt.IsTrue, qt.Commentf("resident at most %d MB, %d allowed", peak, crowdMemoryMB))
	t.Logf("resident at most %d MB, %d descriptors", peak, len(descriptors))
	for id, status := range readRefusals(t, s.requests) {
		qt.Check(t, s.ledger.Runs(id), qt.HasLen, 0, qt.Commentf("%s was answered %d and ran", id, status))
	}
}

// TestCrowdOfHeadsBeforeServe guards against a process of `filbertmill serve` that ends
// since many callers send legal heads and stop short of their end.
func TestCrowdOfHeadsBeforeServe(t *testing.T) {
	s := startServeCrowd(t)
	s.sendAll(600, s.sendHead)
	s.check(t)
}

// TestCrowdOfConnectionsBeforeServe guards against callers that leave the process without
// descriptors.
func TestCrowdOfConnectionsBeforeServe(t *testing.T) {
	s := startServeCrowd(t)
	s.sendAll(3000, func(conn net.Conn, caller int) error {
		_, err := io.WriteString(conn, s.head(conn, fmt.Sprintf("connection-%d", caller)))
		return err
	})
	time.Sleep(time.Second)
	s.check(t)
}

// TestCrowdOfSeveralKindsBeforeServe guards against a process that ends since what callers
// of several kinds hold adds up.
func TestCrowdOfSeveralKindsBeforeServe(t *testing.T) {
	s := startServeCrowd(t)
	s.sendAll(1200, func(conn net.Conn, caller int) error {
		switch kind := caller % 24; {
		case kind == 0:
			return s.sendBody(conn, caller, crowdBody)
		case kind < 8:
			return s.sendHead(conn, caller)
		case kind < 16:
			return s.sendBody(conn, caller, 60000)
		default:
			return s.sendUnread(conn, caller)
		}
	})
	time.Sleep(3 * time.Second)
	s.check(t)
}

// serveLimits are the settings of the crowds' node.
var serveLimits = fmt.Sprintf("[limits]\nmemory_mb = %d\ndescriptors = %d\n", crowdMemoryMB, manyDescriptors)
