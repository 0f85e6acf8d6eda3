package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// recoverTime is the bound recover-s of the pages.
	recoverTime = 15 * time.Second
	// downTime is for how long the processes are down, as in the site file's kill_all.
	downTime = 780 * time.Millisecond
)

// runRecover kills all processes at the same moment and starts them again, after the
// configuration has grown, on machines with links of 10 Mbit/s. Without the trouble it does not
// grow.
func runRecover(f *fleet) bool {
	const nodes = 3
	for i := range 4 {
		f.startServer(fmt.Sprint("i-desk-", i), "desk", zones[i%len(zones)], 20*time.Millisecond)
	}
	routes := []route{{"/desk/", "unsafe", "desk", false}}
	f.configure("", routes...)
	f.slowLinks()
	f.startNodes(nodes)
	time.Sleep(contact + time.Second)
	for range growths {
		if f.trouble {
			routes = f.grow(routes, growth)
		}
		f.configure("", routes...)
		time.Sleep(contact)
	}
	before := f.servedShare("before", nodes)

	f.note("all processes are killed")
	var kills sync.WaitGroup
	for i := range nodes {
		kills.Go(func() { f.node(i).Kill() })
	}
	kills.Wait()
	time.Sleep(downTime)
	for i := range nodes {
		f.specs[i].FirstStart = false
		f.startNode(i)
	}
	f.note("all processes are started again")
	time.Sleep(recoverTime)
	after := f.servedShare("after", nodes)
	f.note("served: %.2f of the bookings before the kill, %.2f of those sent %s or more after the start", before, after, recoverTime)
	requireShare("percent of the bookings were served before the kill", int(100*before), 100)
	return after >= 0.25
}

// readiness asks each node whether it is ready and returns the statuses; 0 is no answer.
func (f *fleet) readiness(nodes int) []int {
	list := make([]int, nodes)
	for i := range list {
		if resp, err := http.Get("http://" + f.specs[i].Ready + "/ready"); err == nil {
			list[i] = resp.StatusCode
			_ = resp.Body.Close()
		}
	}
	return list
}

// servedShare sends bookings and returns the share that is served.
func (f *fleet) servedShare(name string, nodes int) float64 {
	const bookings = 50
	served, statuses := 0, make(map[int]int)
	for i := range bookings {
		r := f.send(call{node: i % nodes, method: http.MethodPost, target: "/desk/x", id: fmt.Sprintf("%s-%d", name, i), body: "a booking", quiet: i >= nodes})
		statuses[r.status]++
		if r.status == http.StatusOK {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.note("%s the kill: bookings by status %v, nodes ready %v", name, statuses, f.readiness(nodes))
	return float64(served) / bookings
}
