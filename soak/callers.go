package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/backend"
)

const (
	// patience is how long callers wait; checkInterval how often readiness is
	// asked, as the platform's balancer does.
	patience      = 1500 * time.Millisecond
	checkInterval = 300 * time.Millisecond
	checkTimeout  = 250 * time.Millisecond
	// lookShare is the share of requests that may be repeated, versionShare that
	// of requests on the route of a version.
	lookShare    = 0.5
	versionShare = 0.1
)

// callAll sends requests at random times to the ready nodes.
func (w *world) callAll(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var calls sync.WaitGroup
	defer calls.Wait()
	ready := newBalancer(ctx, w.nodes)
	for i := 0; ctx.Err() == nil; i++ {
		w.mu.Lock()
		gap := time.Duration(w.rng.ExpFloat64() / w.rate * float64(time.Second))
		draw, version := w.rng.Float64(), w.version
		w.mu.Unlock()
		sleep(ctx, gap)
		n := ready.next()
		if n == nil {
			continue
		}
		c := call{id: fmt.Sprintf("r%d", i), route: "book", method: "POST"}
		switch {
		case draw < versionShare:
			c.route, c.method, c.version = versionRoute(version), "GET", version
		case draw < versionShare+lookShare:
			c.route, c.method = "look", "GET"
		}
		calls.Go(func() { w.record.called(w.call(ctx, client, n, c)) })
	}
}

// call sends one request and reads its answer.
func (w *world) call(ctx context.Context, client *http.Client, n *node, c call) call {
	c.node, c.life = n.spec.Name, n.place.Life()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
	defer cancel()
	body := []byte("body " + c.id)
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+n.spec.Callers+"/"+c.route+"/x", bytes.NewReader(body))
	if err != nil {
		panic("soak: a request of fixed parts cannot be made: " + err.Error())
	}
	r.Host = "g.example"
	r.Header.Set(platform.HeaderRequestID, c.id)
	r.Header.Set(platform.HeaderTimeLeft, fmt.Sprint(patience.Milliseconds()))
	// The product, not this client, decides what is sent twice.
	r.GetBody = nil
	c.sent = time.Now()
	resp, err := client.Do(r)
	if err == nil {
		var got []byte
		got, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.status = resp.StatusCode
		c.whole = err == nil && bytes.Equal(got, backend.Answer(c.id, body))
	}
	c.ended = time.Now()
	if err != nil {
		c.status = 0
	}
	return c
}

// balancer hands out the ready nodes in turn.
type balancer struct {
	mu    sync.Mutex
	nodes []*node
	turn  int
}

// newBalancer asks the nodes for their readiness until the context ends.
func newBalancer(ctx context.Context, nodes []*node) *balancer {
	b := &balancer{nodes: nodes}
	client := &http.Client{Timeout: checkTimeout}
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
			sleep(ctx, checkInterval)
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
