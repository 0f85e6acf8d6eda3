package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// connectTimeout is how long clients allow for a new connection.
const connectTimeout = time.Second

// Request is one client attempt.
type Request struct {
	ID, Method, Host, Target string
	Body                     []byte
	Deadline                 time.Duration
}

// Answer is what the client of a request got.
type Answer struct {
	// Status is 0 if the connection ended without a complete answer, or none came by
	// the deadline.
	Status int
	Header http.Header
	Body   string
	Err    error
}

// Conn is a client's connection, which is kept for further requests.
type Conn struct {
	record *Record
	tcp    net.Conn
	in     *bufio.Reader
}

// Dial opens a connection to a node.
func Dial(n *Node, r *Record) (*Conn, error) {
	c, err := net.DialTimeout("tcp", n.Callers, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &Conn{record: r, tcp: c, in: bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.tcp.Close() }

// Do sends a request and reads its answer until the deadline. A connection whose
// answer is not complete can't be used further.
func (c *Conn) Do(r Request) Answer {
	_ = c.tcp.SetDeadline(time.Now().Add(r.Deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.Method, r.Target, r.Host, r.ID, r.Deadline.Milliseconds())
	if r.Body != nil || r.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	c.record.Notef("sent      %s %s %s (%d bytes)", r.ID, r.Method, r.Target, len(r.Body))
	a := c.exchange(head+"\r\n", r)
	if a.Status == 0 {
		c.record.Notef("no answer %s: %v", r.ID, a.Err)
	} else {
		c.record.Notef("answer    %s %d %s", r.ID, a.Status, a.Header.Get("X-Backend-Stamp"))
	}
	return a
}

func (c *Conn) exchange(head string, r Request) Answer {
	if _, err := io.WriteString(c.tcp, head); err != nil {
		return Answer{Err: err}
	}
	if _, err := c.tcp.Write(r.Body); err != nil {
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Err: err}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body)}
}
