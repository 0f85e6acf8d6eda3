package harness

import (
	"bufio"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertmill.example/platform"
)

// paceInterval is the time between two pieces of a body that is sent at a limited rate.
const paceInterval = 20 * time.Millisecond

// Result is what a client saw of one request.
type Result struct {
	ID     string
	Status int
	// Broken is set if the connection ended without a complete answer, before the
	// client's deadline. Sent is set if the whole request was sent before.
	Broken, Sent bool
	// OnKept is set if the connection had served a request before.
	OnKept bool
	// Wrong says how a success differs from the server's answer to this request.
	Wrong string
	Took  time.Duration
}

// Client is a client that keeps one connection to a machine open.
type Client struct {
	Name    string
	Address string

	record *Record
	conn   net.Conn
	reader *bufio.Reader
	served int
	sent   int
}

// NewClient returns a client that has not connected yet.
func NewClient(r *Record, name, address string) *Client {
	return &Client{Name: name, Address: address, record: r}
}

// Close ends the client's connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn, c.reader, c.served = nil, nil, 0
	}
}

// Do sends one request, and waits for its answer until the deadline. A rate limits the
// bytes a second at which the body is sent; 0 does not.
func (c *Client) Do(method, path string, body []byte, deadline time.Duration, rate int) Result {
	c.sent++
	res := Result{ID: fmt.Sprintf("%s-%d", c.Name, c.sent), OnKept: c.served > 0}
	start := time.Now()
	err := c.exchange(&res, method, path, body, start.Add(deadline), deadline, rate)
	res.Took = time.Since(start)
	if err != nil {
		res.Broken = !errors.Is(err, os.ErrDeadlineExceeded)
		c.Close()
	}
	c.record.Line("client %s: status %d, broken %v (%v), sent %v, kept connection %v, %s, %s", res.ID, res.Status, res.Broken, err, res.Sent, res.OnKept,
		res.Took.Round(time.Millisecond), res.Wrong)
	return res
}

func (c *Client) exchange(res *Result, method, path string, body []byte, until time.Time, deadline time.Duration, rate int) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Address, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	}
	if err := c.conn.SetDeadline(until); err != nil {
		return err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n", method, path, Host,
		platform.HeaderRequestID, res.ID, platform.HeaderTimeLeft, deadline.Milliseconds(), len(body))
	if _, err := io.WriteString(c.conn, head); err != nil {
		return err
	}
	if err := writePaced(c.conn, body, rate); err != nil {
		return err
	}
	res.Sent = true
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	res.Status = resp.StatusCode
	c.served++
	if resp.StatusCode == http.StatusOK {
		sum := crc32.ChecksumIEEE(body)
		if string(answer) != Answer(res.ID, sum, int64(len(body)), 0) {
			res.Wrong = "wrong answer " + strconv.Quote(string(answer))
		}
	}
	if resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		c.Close()
	}
	return nil
}

// writePaced writes the body at the rate in bytes a second.
func writePaced(w io.Writer, body []byte, rate int) error {
	piece := len(body)
	if rate > 0 {
		piece = max(1, int(float64(rate)*paceInterval.Seconds()))
	}
	next := time.Now()
	for len(body) > 0 {
		n := min(piece, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
		next = next.Add(paceInterval)
		if rate > 0 {
			time.Sleep(time.Until(next))
		}
	}
	return nil
}

// Runs collects what servers have run.
type Runs struct {
	mu   sync.Mutex
	runs map[string]*run
}

// run is what became of one request at servers.
type run struct {
	count   int
	service string
	ended   time.Time
}

// Begin counts one run of a request, by a server of a service.
func (r *Runs) Begin(id, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = make(map[string]*run)
	}
	if r.runs[id] == nil {
		r.runs[id] = &run{}
	}
	r.runs[id].count++
	r.runs[id].service = service
}

// ByService returns the requests that servers of a service have run.
func (r *Runs) ByService(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, run := range r.runs {
		if run.service == service {
			ids = append(ids, id)
		}
	}
	return ids
}

// End records that a server has ended a run of a request and begins to answer.
func (r *Runs) End(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id].ended = time.Now()
}

// Of returns how often a request has run.
func (r *Runs) Of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[id] == nil {
		return 0
	}
	return r.runs[id].count
}

// Ended returns when the latest run of a request ended, or the zero time.
func (r *Runs) Ended(id string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[id] == nil {
		return time.Time{}
	}
	return r.runs[id].ended
}
