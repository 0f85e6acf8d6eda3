package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"filbertmill.example/platform"
)

const (
	// callerTimeout is how long callers wait for an answer. longCallerTimeout is the
	// same for long work, for callers that pipeline and for those on slow links.
	callerTimeout     = 1500 * time.Millisecond
	longCallerTimeout = 8 * time.Second
	// readinessInterval is the time between two polls of the nodes' readiness, as by
	// the platform's load balancer.
	readinessInterval = 300 * time.Millisecond
	readinessTimeout  = 250 * time.Millisecond
	// maxConnections limits the connections to a node that callers still use.
	// Connections that have been idle for too long to be used stay open beside them.
	maxConnections = 10
	// reuseShare is the share of the idle timeout up to which an idle connection is
	// used again.
	reuseShare = 0.8
	// maxHalt limits how long a caller stops midway through sending a request. It is
	// well below the header timeout of the nodes.
	maxHalt = 2 * time.Second
	// minWork and maxWork limit the service time of long work that ends.
	minWork = 600 * time.Millisecond
	maxWork = 1800 * time.Millisecond
	// unsafePipelinedShare is the share of pipelined requests that are sent on the
	// route of unsafe requests, which may run once only.
	unsafePipelinedShare = 0.05
	// hugeBytes is the size of large answers; it exceeds the socket buffers of a
	// caller on a slow link.
	hugeBytes = 2 << 20
	// burstBytes is the size of answers that fit in them.
	burstBytes = 1 << 10
)

// The shares of requests by kind. The rest go to the route of bookings. hangShare is a
// share of the slow requests, and hugeShare one of the lookups.
const (
	versionShare = 0.1
	lookShare    = 0.4
	slowShare    = 0.2
	hangShare    = 0.05
	hugeShare    = 0.05
)

// slowLinkShare and pipelinerShare are shares of connections, by their caller's
// behavior. The others are probabilities: of opening a new connection although
// one can be used, of a pipeliner sending several requests, of stopping midway
// through a request, of closing the connection after a request, and of closing
// it during such a stop.
const (
	slowLinkShare      = 0.15
	pipelinerShare     = 0.4
	newConnectionShare = 0.15
	burstShare         = 0.3
	haltShare          = 0.03
	leaveShare         = 0.02
	leaveHaltShare     = 0.3
)

// callers sends requests on a set of connections.
type callers struct {
	*world
	ready   *balancer
	sending sync.WaitGroup

	mu          sync.Mutex
	count       int
	connections []*callerConnection
}

// callerConnection is a connection with the behavior of its caller.
type callerConnection struct {
	*connection
	pipelines bool
}

// sendRequests sends requests at random times until the context ends, also on
// connections to nodes that are no longer ready. It returns when all are answered.
func (w *world) sendRequests(ctx context.Context) {
	c := &callers{world: w, ready: newBalancer(ctx, w.nodes)}
	for ctx.Err() == nil {
		w.mu.Lock()
		gap := time.Duration(w.rng.ExpFloat64() / w.rate * float64(time.Second))
		w.mu.Unlock()
		sleep(ctx, gap)
		c.sendBatch(ctx)
	}
	for c.finish() {
	}
}

// finish waits for all pending answers and closes the connections. It reports
// whether there were any.
func (c *callers) finish() bool {
	c.sending.Wait()
	c.mu.Lock()
	connections := c.connections
	c.connections = nil
	c.mu.Unlock()
	for _, conn := range connections {
		conn.finish()
	}
	return len(connections) > 0
}

// sendBatch sends one request or, on a connection of a caller that pipelines,
// sometimes several.
func (c *callers) sendBatch(ctx context.Context) {
	conn := c.acquire()
	if conn == nil {
		return
	}
	requests := 1
	if conn.pipelines && rand.Float64() < burstShare {
		requests += rand.IntN(maxPending - 1)
	}
	c.sending.Go(func() {
		defer conn.release()
		for range requests {
			pending, _, _, _ := conn.state()
			if pending >= maxPending || !c.sendOne(ctx, conn, pending > 0) {
				return
			}
		}
	})
}

// sendOne sends one request. It reports false if no other can follow on the
// connection.
func (c *callers) sendOne(ctx context.Context, conn *callerConnection, pipelined bool) bool {
	r := c.drawRequest(pipelined, conn)
	if rand.Float64() < haltShare {
		r.halt = time.Duration(rand.Int64N(int64(maxHalt)))
		if rand.Float64() < leaveHaltShare {
			time.AfterFunc(r.halt/2, conn.leave)
		}
	}
	if !conn.send(r) {
		return false
	}
	if rand.Float64() < leaveShare {
		sleep(ctx, time.Duration(rand.Int64N(int64(time.Second/2))))
		conn.leave()
		return false
	}
	return true
}

// drawRequest returns a random request for a connection.
func (c *callers) drawRequest(pipelined bool, conn *callerConnection) call {
	c.world.mu.Lock()
	version := c.version
	c.world.mu.Unlock()
	c.mu.Lock()
	c.count++
	r := call{id: fmt.Sprintf("r%d", c.count), route: "book", method: http.MethodPost, timeout: callerTimeout}
	c.mu.Unlock()
	get := func(route string) { r.route, r.method = route, http.MethodGet }
	switch d := rand.Float64(); {
	case pipelined && rand.Float64() < unsafePipelinedShare:
	case d < versionShare:
		get(versionRoute(version))
		r.version = version
	case d < versionShare+lookShare, conn.slow && (pipelined || rand.Float64() < lookShare):
		get("look")
		r.bytes = burstBytes
		if rand.Float64() < hugeShare || conn.slow {
			r.bytes = hugeBytes
		}
	case c.short && pipelined:
		get("look")
	case c.short:
	case d < versionShare+lookShare+slowShare, pipelined:
		get("slow")
		r.timeout = longCallerTimeout
		r.work = c.minWork + time.Duration(rand.Int64N(int64(maxWork-c.minWork)))
		if rand.Float64() < hangShare {
			r.work = time.Hour
		}
	}
	if conn.pipelines || conn.slow {
		r.timeout = longCallerTimeout
	}
	if c.workspaces {
		r.key, r.claim = drawKey()
	}
	return r
}

// acquire reserves a connection for a caller: an open one, or a new one to a ready
// node. It returns nil if there is none.
func (c *callers) acquire() *callerConnection {
	c.mu.Lock()
	var usable []*callerConnection
	used := make(map[string]int)
	open := c.connections[:0]
	for _, conn := range c.connections {
		pending, idle, keepAlive, ok := conn.state()
		if conn.done() {
			continue
		}
		open = append(open, conn)
		limit := c.history.idleLimitSince(time.Now().Add(-idle))
		if keepAlive > 0 {
			limit = min(limit, keepAlive)
		}
		inUse := pending > 0 || idle <= time.Duration(reuseShare*float64(limit))
		if inUse {
			used[conn.node]++
		}
		if ok && inUse && (pending == 0 || conn.pipelines && pending < maxPending) {
			usable = append(usable, conn)
		}
	}
	c.connections = open
	c.mu.Unlock()
	n := c.ready.next()
	if len(usable) > 0 && (n == nil || used[n.spec.Name] >= maxConnections || rand.Float64() > newConnectionShare) {
		if conn := usable[rand.IntN(len(usable))]; conn.reserve() {
			return conn
		}
	}
	if n == nil || used[n.spec.Name] >= maxConnections {
		return nil
	}
	return c.open(n)
}

// open opens a connection to a node and reserves it. It returns nil if that fails.
func (c *callers) open(n *node) *callerConnection {
	conn := dial(n, rand.Float64() < slowLinkShare, &c.history, c.resend)
	if conn == nil {
		return nil
	}
	opened := &callerConnection{connection: conn, pipelines: rand.Float64() < pipelinerShare}
	c.mu.Lock()
	c.connections = append(c.connections, opened)
	c.mu.Unlock()
	conn.reserve()
	return opened
}

// resend sends a request that was pipelined behind a closing answer once more, on
// another connection and under a new id.
func (c *callers) resend(r call) {
	n := c.ready.next()
	if n == nil {
		return
	}
	c.sending.Go(func() {
		conn := c.open(n)
		if conn == nil {
			return
		}
		defer conn.release()
		conn.send(call{
			id: r.id + "-again", route: r.route, method: r.method, timeout: r.timeout, work: r.work, bytes: r.bytes, version: r.version,
			key: r.key, claim: r.claim,
		})
	})
}

// balancer returns the ready nodes in turn.
type balancer struct {
	mu    sync.Mutex
	nodes []*node
	turn  int
}

// newBalancer returns a balancer that polls the nodes' readiness until the context
// ends.
func newBalancer(ctx context.Context, nodes []*node) *balancer {
	b := &balancer{nodes: nodes}
	client := &http.Client{Timeout: readinessTimeout}
	go func() {
		for ctx.Err() == nil {
			var ready []*node
			for _, n := range nodes {
				resp, err := client.Get("http://" + n.spec.Ready + platform.ReadyPath)
				if err != nil {
					continue
				}
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready = append(ready, n)
				}
			}
			b.mu.Lock()
			b.nodes = ready
			b.mu.Unlock()
			sleep(ctx, readinessInterval)
		}
	}()
	return b
}

func (b *balancer) next() *node {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.nodes) == 0 {
		return nil
	}
	b.turn++
	return b.nodes[b.turn%len(b.nodes)]
}
