package rig

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// AllowedLosses is how often the rule LOST allows that a node closes the kept connection
// of a request that a server runs.
const AllowedLosses = 3

// redialDelay is the time until a client tries again to connect.
const redialDelay = 100 * time.Millisecond

// Bookings are clients that book all the time, each on a connection that it keeps.
type Bookings struct {
	// Clients is the number of clients of each node.
	Clients int
	// Host, Prefix and Deadline are those of the requests.
	Host, Prefix string
	Deadline     time.Duration

	stop    chan struct{}
	clients sync.WaitGroup

	mu sync.Mutex
	// closed holds, by node, the requests whose kept connection was closed without an
	// answer. answered counts the successes.
	closed   map[string][]string
	answered int
}

// Start starts the clients.
func (b *Bookings) Start(d *Deployment) {
	b.stop, b.closed = make(chan struct{}), make(map[string][]string)
	for _, n := range d.Nodes {
		for c := range b.Clients {
			b.clients.Go(func() { b.book(d.Record, n, c) })
		}
	}
}

// Stop ends the clients after their last answers.
func (b *Bookings) Stop() {
	close(b.stop)
	b.clients.Wait()
}

// book sends bookings, one after the other. A client whose connection is closed opens
// another.
func (b *Bookings) book(r *Record, n *Node, client int) {
	var conn *Conn
	onConn := 0
	for i := 0; ; i++ {
		select {
		case <-b.stop:
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = Dial(n, r); err != nil {
				conn = nil
				time.Sleep(redialDelay)
				continue
			}
			onConn = 0
		}
		id := fmt.Sprintf("%s-b%d-%d", n.Name, client, i)
		a := conn.Do(Request{ID: id, Method: http.MethodPost, Host: b.Host, Target: b.Prefix + id, Deadline: b.Deadline})
		onConn++
		b.count(n, id, a, onConn > 1)
		if a.Status == 0 || a.Header.Get("Connection") == "close" {
			conn.Close()
			conn = nil
		}
	}
}

// count records the end of a request; kept is set if its connection had served others.
func (b *Bookings) count(n *Node, id string, a Answer, kept bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.Status == http.StatusOK:
		b.answered++
	case a.Closed && kept:
		b.closed[n.Name] = append(b.closed[n.Name], id)
	}
}

// Judge reports whether a node closed the kept connections of more bookings than the rule
// allows, though a server had begun to run them.
func (b *Bookings) Judge(d *Deployment) bool {
	ran := make(map[string]bool)
	for _, r := range d.Ledger.Runs() {
		ran[r.Request] = true
	}
	broken := false
	for _, n := range d.Nodes {
		lost := 0
		for _, id := range b.closed[n.Name] {
			if ran[id] {
				d.Record.Notef("lost      %s: it ran, and its kept connection was closed without an answer", id)
				lost++
			}
		}
		peak, kills := n.Memory()
		d.Record.Sayf("%s: %d MB at the most (memory-mb %d), %d processes over their memory, %d bookings that ran lost their answer (%d allowed)",
			n.Name, peak, MemoryMB, kills, lost, AllowedLosses)
		broken = broken || lost > AllowedLosses
	}
	d.Record.Sayf("%d bookings were answered with success", b.answered)
	return broken
}
