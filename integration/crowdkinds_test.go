package integration

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/backend"
	"filbertmill.example/testbed/process"
)

// The crowds of these tests hold memory otherwise than by bodies: by heads, by requests
// behind others, by answers that they do not read, and in several of these ways at once.
const (
	// manyDescriptors allows for more callers than crowdDescriptors, in the same memory.
	manyDescriptors = 2048
	// headLimit is the largest legal head, which the configuration sets; longHead is
	// somewhat less.
	headLimit = 16384
	longHead  = 16000
	// unreadAnswer is the size of an answer that no caller of the crowd reads.
	unreadAnswer = 60000
)

// mixedCrowd is a crowd of more callers, whose answers are compared with what the targets
// ran.
type mixedCrowd struct {
	*crowd
	sent sync.Mutex
	// requests holds the ids of the requests that were sent on each connection, in order.
	requests map[net.Conn][]string
}

func startMixedCrowd(t *testing.T, change func(*process.Gateway)) *mixedCrowd {
	t.Helper()
	f := startGatewayFleetWith(t, 1, 4, func(g *process.Gateway) {
		g.MemoryMB, g.MaxDescriptors = crowdMemoryMB, manyDescriptors
		change(g)
	})
	f.maxBodyBytes = crowdBody
	f.configure(1500*time.Millisecond, `{"name":"limit","kind":"safe","match":{"prefix":"/limit/"},"action":{"service":"look","timeout-s":1}}`)
	f.await("the limit is in force", 5*time.Second, func() bool { return f.send(0, "GET", "limit", "warm4").StatusCode == 200 })
	m := &mixedCrowd{crowd: &crowd{gatewayFleet: f}, requests: make(map[net.Conn][]string)}
	t.Cleanup(func() {
		for _, conn := range m.open {
			_ = conn.Close()
		}
	})
	return m
}

// write sends the head and the body of a request and records its id.
func (m *mixedCrowd) write(conn net.Conn, id, head string, body []byte) error {
	m.sent.Lock()
	m.requests[conn] = append(m.requests[conn], id)
	m.sent.Unlock()
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	_, err := conn.Write(body)
	return err
}

// lines returns a request's head without the empty line at its end.
func lines(method, route, id string, more ...string) string {
	return fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: g.example\r\n%s: %s\r\n%s: 1500\r\n%s",
		method, route, platform.HeaderRequestID, id, platform.HeaderTimeLeft, strings.Join(append(more, ""), "\r\n"))
}

// pad returns text of the given length, in lines of headers.
func pad(length int) string {
	line := "X-Pad: " + strings.Repeat("p", 500) + "\r\n"
	return strings.Repeat(line, length/len(line)+1)[:length]
}

// check checks what crowd.check does, with more descriptors, and that no request that was
// refused has run.
func (m *mixedCrowd) check(t *testing.T) {
	t.Helper()
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.nodes[0].PID()))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(descriptors) <= manyDescriptors, qt.IsTrue, qt.Commentf("%d descriptors, %d allowed", len(descriptors), manyDescriptors))
	m.await("an ordinary request is answered", 30*time.Second, func() bool {
		return m.send(0, "POST", "book", fmt.Sprintf("ordinary-%d", time.Now().UnixNano())).StatusCode == 200
	})
	peak := residentPeak(qt.New(t), m.nodes[0]) >> 20
	qt.Check(t, peak <= crowdMemoryMB, qt.IsTrue, qt.Commentf("resident at most %d MB, %d allowed", peak, crowdMemoryMB))
	t.Logf("resident at most %d MB, %d descriptors", peak, len(descriptors))
	m.checkOnce()
	m.checkRefusals(t)
}

// checkRefusals checks that no target ran a request of the crowd that was refused.
func (m *mixedCrowd) checkRefusals(t *testing.T) {
	t.Helper()
	refused := readRefusals(t, m.requests)
	for _, run := range m.ledger.Runs() {
		status, ok := refused[run.Request]
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%s was answered %d and ran", run.Request, status))
	}
}

// readRefusals reads the answers to the requests, given by connection in their order, and
// returns the status of those that were answered with 408, 429 or 503.
func readRefusals(t *testing.T, requests map[net.Conn][]string) map[string]int {
	t.Helper()
	var mu sync.Mutex
	statuses := make(map[int]int)
	refused := make(map[string]int)
	var all sync.WaitGroup
	for conn, ids := range requests {
		all.Go(func() {
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			r := bufio.NewReader(conn)
			for _, id := range ids {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				mu.Lock()
				statuses[resp.StatusCode]++
				switch resp.StatusCode {
				case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
					refused[id] = resp.StatusCode
				}
				mu.Unlock()
				if err != nil || resp.Close {
					return
				}
			}
		})
	}
	all.Wait()
	t.Logf("answers by status: %v", statuses)
	return refused
}

// sendHead sends a head of longHead bytes that does not end, in pieces.
func (m *mixedCrowd) sendHead(conn net.Conn, caller int) error {
	const pieces = 4
	id := fmt.Sprintf("head-%d", caller)
	head := lines("POST", "book", id)
	head += pad(longHead - len(head))
	if err := m.write(conn, id, head[:len(head)/pieces], nil); err != nil {
		return err
	}
	for i := 1; i < pieces; i++ {
		time.Sleep(50 * time.Millisecond)
		if _, err := io.WriteString(conn, head[i*len(head)/pieces:(i+1)*len(head)/pieces]); err != nil {
			return err
		}
	}
	return nil
}

// sendUnread sends many requests for answers of unreadAnswer bytes and reads none.
func (m *mixedCrowd) sendUnread(conn net.Conn, caller int) error {
	const each = 100
	for i := range each {
		id := fmt.Sprintf("unread-%d-%d", caller, i)
		head := lines("GET", "look", id, fmt.Sprintf("%s: %d", backend.HeaderAnswerBytes, unreadAnswer)) + "\r\n"
		if err := m.write(conn, id, head, nil); err != nil {
			return err
		}
	}
	return nil
}

// sendBody sends a body that lacks its last byte.
func (m *mixedCrowd) sendBody(conn net.Conn, caller, size int) error {
	id := fmt.Sprintf("body-%d", caller)
	return m.write(conn, id, lines("POST", "book", id, fmt.Sprintf("Content-Length: %d", size))+"\r\n", bytes.Repeat([]byte{'b'}, size-1))
}

// TestCrowdOfHeads guards against a process that ends since many callers send legal heads
// and stop short of their end.
func TestCrowdOfHeads(t *testing.T) {
	m := startMixedCrowd(t, func(*process.Gateway) {})
	m.sendAll(1200, m.sendHead)
	m.check(t)
}

// TestCrowdOfManyFields guards against a process that ends since many callers send whole
// heads of legal size with as many fields as fit in, and wait for the answer.
func TestCrowdOfManyFields(t *testing.T) {
	m := startMixedCrowd(t, func(*process.Gateway) {})
	m.sendAll(400, func(conn net.Conn, caller int) error {
		id := fmt.Sprintf("fields-%d", caller)
		head := lines("POST", "book", id, backend.HeaderWork+": 1s", "Content-Length: 0")
		head += strings.Repeat("a:\r\n", (longHead-len(head))/4) + "\r\n"
		return m.write(conn, id, head, nil)
	})
	m.check(t)
}

// TestCrowdOfUnreadAnswers guards against a process that ends since callers send many
// requests for answers of which none is large, and read none of them.
func TestCrowdOfUnreadAnswers(t *testing.T) {
	m := startMixedCrowd(t, func(*process.Gateway) {})
	for _, b := range m.backends {
		b.Set(backend.Behavior{Work: time.Millisecond})
	}
	m.sendAll(600, m.sendUnread)
	time.Sleep(3 * time.Second) // the answers arrive
	m.check(t)
}

// TestCrowdOfLargeUnreadAnswers is the same with answers of 1 MiB.
func TestCrowdOfLargeUnreadAnswers(t *testing.T) {
	m := startMixedCrowd(t, func(*process.Gateway) {})
	m.sendAll(300, func(conn net.Conn, caller int) error {
		const each = 20
		for i := range each {
			id := fmt.Sprintf("unread-%d-%d", caller, i)
			if err := m.write(conn, id, lines("GET", "look", id, fmt.Sprintf("%s: %d", backend.HeaderAnswerBytes, 1<<20))+"\r\n", nil); err != nil {
				return err
			}
		}
		return nil
	})
	time.Sleep(3 * time.Second)
	m.check(t)
}

// TestCrowdOfRequestsBehind guards against a process that ends since many callers send
// further requests, with bodies, behind one that takes its time.
func TestCrowdOfRequestsBehind(t *testing.T) {
	m := startMixedCrowd(t, func(*process.Gateway) {})
	body := bytes.Repeat([]byte{'b'}, 60000)
	m.sendAll(600, func(conn net.Conn, caller int) error {
		for i := range 20 {
			id := fmt.Sprintf("behind-%d-%d", caller, i)
			head := lines("POST", "book", id, backend.HeaderWork+": 1s", fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n"
			_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
			if err := m.write(conn, id, head, body); err != nil {
				return err
			}
		}
		return nil
	})
	m.check(t)
}

// TestCrowdOfSeveralKinds guards against a process that ends since what callers of several
// kinds hold adds up, though each kind is bounded.
func TestCrowdOfSeveralKinds(t *testing.T) {
	m := startMixedCrowd(t, func(*process.Gateway) {})
	m.sendSeveralKinds()
	m.check(t)
}

// sendSeveralKinds has callers of several kinds send, and waits until answers arrive.
func (m *mixedCrowd) sendSeveralKinds() {
	for _, b := range m.backends {
		b.Set(backend.Behavior{Work: time.Millisecond})
	}
	m.sendAll(1200, func(conn net.Conn, caller int) error {
		switch kind := caller % 24; {
		case kind == 0:
			return m.sendBody(conn, caller, crowdBody)
		case kind < 8:
			return m.sendHead(conn, caller)
		case kind < 16:
			return m.sendBody(conn, caller, 60000)
		default:
			return m.sendUnread(conn, caller)
		}
	})
	time.Sleep(3 * time.Second)
}

// TestCrowdBesideALargeConfiguration guards against a room for callers that does not
// shrink as the configuration grows: it has thousands of routes, and changes while the
// crowd is there.
func TestCrowdBesideALargeConfiguration(t *testing.T) {
	m := startMixedCrowd(t, func(*process.Gateway) {})
	many := m.configureMany()
	var changes sync.WaitGroup
	changes.Go(func() {
		for range 4 {
			time.Sleep(time.Second)
			m.configure(1500*time.Millisecond, many...)
		}
	})
	m.sendSeveralKinds()
	changes.Wait()
	m.check(t)
}

// configureMany writes a configuration with thousands of routes and awaits it. It returns
// the routes beside the usual ones.
func (f *gatewayFleet) configureMany() []string {
	const routes = 4500
	many := make([]string, routes)
	for i := range many {
		many[i] = fmt.Sprintf(`{"name":"route-%d","kind":"safe","slo-s":0.6,"priority":1,"match":{"prefix":"/a/longer/prefix/of/many/%d/"},`+
			`"action":{"service":"look","timeout-s":1.5,"attempts":3}}`, i, i)
	}
	f.configure(10*time.Second, many...)
	f.await("the routes are in force", 10*time.Second, func() bool {
		return f.send(0, "GET", fmt.Sprintf("a/longer/prefix/of/many/%d", routes-1), "last").StatusCode == 200
	})
	return many
}

// TestCrowdOfOneBesideALargeConfiguration guards against a room for callers that is too
// small for one body of the largest legal size, in calm, on the smallest hosts.
func TestCrowdOfOneBesideALargeConfiguration(t *testing.T) {
	const memoryMB, size = 184, 64 << 20
	f := startGatewayFleetWith(t, 1, 4, func(g *process.Gateway) { g.MemoryMB = memoryMB })
	f.maxBodyBytes = size
	f.configureMany()
	body := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	for i := range 4 {
		id := fmt.Sprintf("large-%d", i)
		r, err := http.NewRequest("POST", "http://"+f.specs[0].Callers+"/book/x", bytes.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		r.Host = "g.example"
		r.Header.Set(platform.HeaderRequestID, id)
		resp, err := http.DefaultClient.Do(r)
		qt.Assert(t, err, qt.IsNil)
		got, err := io.ReadAll(resp.Body)
		qt.Check(t, err, qt.IsNil)
		_ = resp.Body.Close()
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
		qt.Check(t, string(got), qt.Equals, string(backend.Answer(id, body)))
	}
	peak := residentPeak(qt.New(t), f.nodes[0]) >> 20
	qt.Check(t, peak <= memoryMB, qt.IsTrue, qt.Commentf("resident at most %d MB", peak))
	t.Logf("resident at most %d MB of %d", peak, memoryMB)
}

// TestCrowdBesideUnreadLogs guards against a process that ends since nobody reads its log
// while callers send requests whose lines are long.
func TestCrowdBesideUnreadLogs(t *testing.T) {
	var pipe *os.File
	m := startMixedCrowd(t, func(g *process.Gateway) {
		// The node's log becomes a pipe that this test holds open and does not read.
		log := filepath.Join(t.TempDir(), "log")
		qt.Assert(t, syscall.Mkfifo(log, 0o600), qt.IsNil)
		var err error
		pipe, err = os.OpenFile(log, os.O_RDWR, 0)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = pipe.Close() })
		g.Log = log
	})
	// Bytes that JSON escapes make a line six times as long.
	path := strings.Repeat("&", longHead-300)
	m.sendAll(64, func(conn net.Conn, caller int) error {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for i := range 100 {
			head := fmt.Sprintf("GET /look/%s HTTP/1.1\r\nHost: g.example\r\n%s: log-%d-%d\r\n\r\n", path, platform.HeaderRequestID, caller, i)
			if _, err := io.WriteString(conn, head); err != nil {
				return err
			}
			time.Sleep(10 * time.Millisecond)
		}
		return nil
	})
	m.check(t)
}
