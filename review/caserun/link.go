package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"filbertmill.example/testbed/process"
)

const (
	// linkBytes is what the link of a machine carries in a second: 10 Mbit/s.
	linkBytes = 10_000_000 / 8
	// segmentBytes is what a link carries at once.
	segmentBytes = 4 << 10
	// applyTime is the bound config-apply-s, and contact-s after it.
	applyTime = 2*time.Second + contact
	// growth is the number of routes by which the configuration grows in each of growths
	// changes, the most in the site files. It comes near the size that the store accepts.
	growth  = 1648
	growths = 4
)

// link carries the answers of the platform's store to one node.
type link struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	free     time.Time
}

// startLink returns the address at which a node reaches the store over a link of its own.
func startLink(to string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "start a link")
	k := &link{listener: l, to: to}
	go k.accept()
	return l.Addr().String()
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp", k.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		go func() {
			_, _ = io.Copy(up, c)
			_ = up.Close()
		}()
		go func() {
			_, _ = io.CopyBuffer(struct{ io.Writer }{pacedWriter{k, c}}, struct{ io.Reader }{up}, make([]byte, segmentBytes))
			_ = c.Close()
		}()
	}
}

// pacedWriter writes no faster than the link carries.
type pacedWriter struct {
	link *link
	to   io.Writer
}

func (w pacedWriter) Write(b []byte) (int, error) {
	w.link.mu.Lock()
	if now := time.Now(); w.link.free.Before(now) {
		w.link.free = now
	}
	w.link.free = w.link.free.Add(time.Duration(len(b)) * time.Second / linkBytes)
	at := w.link.free
	w.link.mu.Unlock()
	time.Sleep(time.Until(at))
	return w.to.Write(b)
}

// slowLinks gives each node that is started from now on a link of its own to the store.
func (f *fleet) slowLinks() {
	f.link = func(g *process.Gateway) { g.Store = startLink(strings.TrimPrefix(f.platform.URL(), "http://")) }
}

// grow returns the routes and n more, to the service of the first.
func (f *fleet) grow(routes []route, n int) []route {
	for range n {
		routes = append(routes, route{fmt.Sprintf("/a%06d/", len(routes)), "safe", routes[0].service, false})
	}
	return routes
}

// runLinks has an operator move a route to another service, after the configuration has grown,
// on machines with links of 10 Mbit/s.
func runLinks(f *fleet) bool {
	const nodes, asked = 3, 60
	for i := range 4 {
		f.startServer(fmt.Sprint("i-old-", i), "old", zones[i%len(zones)], 20*time.Millisecond)
		f.startServer(fmt.Sprint("i-new-", i), "new", zones[i%len(zones)], 20*time.Millisecond)
	}
	routes := []route{{"/desk/", "unsafe", "old", false}, {"/other/", "safe", "new", false}}
	f.configure("", routes...)
	f.slowLinks()
	f.startNodes(nodes)
	time.Sleep(contact + time.Second)
	for range growths {
		if f.trouble {
			routes = f.grow(routes, growth)
		}
		f.configure("", routes...)
		time.Sleep(2 * contact)
	}
	routes[0].service = "new"
	f.configure("", routes...)
	acknowledged := time.Now()
	time.Sleep(applyTime)
	old, ran := 0, 0
	for i := range asked {
		id := fmt.Sprint("booking-", i)
		after := time.Since(acknowledged)
		f.send(call{node: i % nodes, method: http.MethodPost, target: "/desk/x", id: id, body: "a booking", quiet: i >= 2*nodes})
		for _, r := range f.runsOf(id) {
			ran++
			if r.service == "old" {
				old++
			}
			if i < 2*nodes || i == asked-1 {
				f.note("   sent %.1f s after the acknowledgement, run by service %s", after.Seconds(), r.service)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.note("%d of %d bookings were run by the service that the route had left %s to %s before", old, asked, applyTime, time.Since(acknowledged).Round(time.Second))
	requireShare("bookings ran", ran, asked)
	return old == 0
}
