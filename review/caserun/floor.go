package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"filbertmill.example/platform"
)

// floorShare is the bound floor-share of the nodes' settings.
const floorShare = 0.7

// writeStrangeEntries has another writer put entries into the store that name a service which
// the configuration does not have, at addresses of backends.
func (f *fleet) writeStrangeEntries(of []*server) {
	for i, s := range of {
		value, err := json.Marshal(map[string]any{
			"address": s.listener.Addr().String(), "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "ghost", "version": "v1", "zone": s.zone, "slots": 4},
			"status": map[string]any{"state": "ready", "seq": 1, "cold-left-s": 0},
		})
		must(err, "encode an entry")
		key := fmt.Sprint(platform.TargetPrefix, "x-", i)
		_, err = f.store.Txn(context.Background(), nil, []platform.Put{{Key: key, Value: value}})
		must(err, "write an entry")
		f.note("another writer puts %s: %s", key, value)
	}
}

// second is what happened in one second.
type second struct {
	asked, unserved int
	used            map[string]bool
}

// runFloor loads a service with two thirds of what its backends can run, while entries of
// another writer stand beside those of half of them.
func runFloor(f *fleet) bool {
	const backends, slots, work = 4, 4, 200 * time.Millisecond
	for i := range backends {
		f.startServer(fmt.Sprint("i-look-", i), "look", zones[i%len(zones)], work)
	}
	f.configure("", route{"/look/", "safe", "look", false})
	f.startNodes(3)
	time.Sleep(2*contact + time.Second)
	if f.trouble {
		f.writeStrangeEntries(f.backends[:backends/2])
	}
	time.Sleep(contact)

	const seconds = 10
	const perSecond = 53 // two thirds of what the backends can run
	var mu sync.Mutex
	history := make([]second, seconds)
	var clients sync.WaitGroup
	start := time.Now()
	for i := range seconds * perSecond {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
		at := &history[i/perSecond]
		clients.Go(func() {
			id := fmt.Sprint("look-", i)
			r := f.send(call{node: i % 3, method: http.MethodGet, target: "/look/x", id: id, quiet: true})
			mu.Lock()
			defer mu.Unlock()
			at.asked++
			if r.status != http.StatusOK {
				at.unserved++
			}
			for _, one := range f.runsOf(id) {
				if at.used == nil {
					at.used = make(map[string]bool)
				}
				at.used[one.backend] = true
			}
		})
	}
	clients.Wait()
	for _, s := range f.backends {
		resp, err := http.Get("http://" + s.listener.Addr().String() + "/health")
		must(err, "ask a backend for its health")
		_ = resp.Body.Close()
		f.note("health of %s: %d", s.id, resp.StatusCode)
	}
	broken := false
	for i := range seconds - 1 {
		// A window of two seconds.
		used := make(map[string]bool)
		asked, unserved := 0, 0
		for _, s := range history[i : i+2] {
			asked, unserved = asked+s.asked, unserved+s.unserved
			for name := range s.used {
				used[name] = true
			}
		}
		share, missing := float64(len(used))/backends, float64(unserved)/float64(asked)
		f.note("seconds %d to %d: %d of %d backends got requests; %d of %d requests not served (%.2f)", i, i+2, len(used), backends, unserved, asked, missing)
		broken = broken || share > 0 && share < floorShare && missing > 0.1 && missing < 0.5
	}
	return !broken
}
