package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryMB is the memory of a node in MB, that of the smallest machines of the pages.
	memoryMB = 184
	// The configuration has largeRoutes routes and nearly the size that the store accepts.
	largeRoutes = 5100
	// A storm is stormChanges changes, one each stormGap, as the site files have it at most.
	// Storms follow each other after stormPause.
	storms       = 24
	stormChanges = 25
	stormGap     = 110 * time.Millisecond
	stormPause   = 300 * time.Millisecond
	// restartDelay is the time from the end of a process to its restart.
	restartDelay = 300 * time.Millisecond
	// faultEnds is the number of ends of a machine's process that count as a fault if
	// faultMachines machines have them.
	faultEnds     = 3
	faultMachines = 2
)

// resident returns how much memory of its own a node's process has, in MB, without the pages
// of the program's file; 0 if it has ended.
func (f *fleet) resident(i int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.node(i).PID()))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "RssAnon:")
	var kb int
	_, _ = fmt.Sscan(after, &kb) // stays 0 in a zombie
	return kb >> 10
}

// watchMemory does what the platform does on node i until the context ends: it kills the
// process if it exceeds its memory, and starts it again. It counts the ends and records the peak.
func (f *fleet) watchMemory(ctx context.Context, i int, end, peak *atomic.Int64) {
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		mb := f.resident(i)
		peak.Store(max(peak.Load(), int64(mb)))
		if mb <= memoryMB {
			continue
		}
		end.Add(1)
		f.note("the process of %s has %d MB of %d and is killed, for the %d. time", f.specs[i].Name, mb, memoryMB, end.Load())
		f.node(i).Kill()
		time.Sleep(restartDelay)
		f.specs[i].FirstStart = false
		f.startNode(i)
	}
}

// runStorm has an operator change a large configuration again and again.
func runStorm(f *fleet) bool {
	const nodes = 3
	for i := range 4 {
		f.startServer(fmt.Sprint("i-desk-", i), "desk", zones[i%len(zones)], 100*time.Millisecond)
	}
	routes := []route{{"/desk/", "unsafe", "desk", false}}
	for i := range largeRoutes {
		routes = append(routes, route{fmt.Sprintf("/a/longer/prefix/of/many/%d/", i), "safe", "desk", false})
	}
	f.configure("", routes...)
	f.memoryMB = memoryMB
	f.startNodes(nodes)
	time.Sleep(contact + time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	var ends, peaks [nodes]atomic.Int64
	for i := range nodes {
		tasks.Go(func() { f.watchMemory(ctx, i, &ends[i], &peaks[i]) })
	}
	broken := func() bool {
		often := 0
		for i := range ends {
			if ends[i].Load() >= faultEnds {
				often++
			}
		}
		return often >= faultMachines
	}
	counts := make(map[string]int)
	tasks.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(50 * time.Millisecond)
			r := f.send(call{node: i % nodes, method: http.MethodPost, target: "/desk/x", id: fmt.Sprint("booking-", i), body: "a booking", quiet: true})
			what := fmt.Sprint("status ", r.status)
			if r.status == 0 {
				what = "no answer"
				if len(f.runsOf(fmt.Sprint("booking-", i))) > 0 {
					what = "no answer, though it ran"
				}
			}
			counts[what]++
		}
	})
	for s := range storms {
		if broken() {
			break
		}
		for range stormChanges {
			if f.trouble {
				f.configure("", routes...)
			}
			time.Sleep(stormGap)
		}
		f.note("after storm %d: %d %d %d MB", s+1, f.resident(0), f.resident(1), f.resident(2))
		time.Sleep(stormPause)
	}
	cancel()
	tasks.Wait()
	for i := range nodes {
		f.note("%s: at most %d MB of %d; its process ended %d times", f.specs[i].Name, peaks[i].Load(), memoryMB, ends[i].Load())
	}
	f.note("bookings: %v", counts)
	return !broken()
}
