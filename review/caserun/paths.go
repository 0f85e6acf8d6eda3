package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// By the pages a request takes the route with the longest prefix that begins its path. The
// prefixes end with a slash, and the path is forwarded unchanged, so that an encoded slash
// (%2F) belongs to a segment and ends no prefix.

// Doses of lost answers, no larger than those of the site files.
const (
	losingShare = 0.6
	lostAnswers = 0.4
	losingTime  = 4 * time.Second
)

// runTwice has a client book a desk by a path with an encoded slash, while backends lose
// answers to requests that they have run. The route of these bookings is the unsafe one.
func runTwice(f *fleet) bool {
	const backends, waves, wave = 5, 5, 20
	const bookings = waves * wave
	for i := range backends {
		f.startServer(fmt.Sprint("i-desk-", i), "desk", zones[i%len(zones)], 150*time.Millisecond)
	}
	f.configure("", route{"/desk/", "unsafe", "desk", false}, route{"/desk/status/", "safe", "desk", false})
	f.startNodes(3)
	time.Sleep(3 * contact) // tokens for second attempts accrue
	if f.trouble {
		f.loseAnswers(losingShare, lostAnswers)
		time.AfterFunc(losingTime, func() { f.loseAnswers(1, 0) })
	}
	var clients sync.WaitGroup
	twice := make([]int, 2)
	for i := range bookings {
		clients.Go(func() {
			for kind, target := range []string{"/desk/status%2F17", "/desk/house/17"} {
				id := fmt.Sprintf("booking-%d-%d", kind, i)
				f.send(call{node: i % 3, method: http.MethodPost, target: target, id: id, body: "a booking"})
			}
		})
		if (i+1)%wave == 0 {
			time.Sleep(time.Second)
		}
	}
	clients.Wait()
	time.Sleep(time.Second)
	for kind := range twice {
		for i := range bookings {
			id := fmt.Sprintf("booking-%d-%d", kind, i)
			if runs := f.runsOf(id); len(runs) > 1 {
				twice[kind]++
				f.note("%s %s ran %d times, on %s and %s", id, runs[0].path, len(runs), runs[0].backend, runs[1].backend)
			}
		}
	}
	f.note("bookings that ran more than once: %d of %d with an encoded slash, %d of %d with a plain path", twice[0], bookings, twice[1], bookings)
	return twice[0]+twice[1] == 0
}

// runKeys has a client without a key ask for what needs one. In the paths that it sends, an
// encoded slash takes the place of that of a public route.
func runKeys(f *fleet) bool {
	for i := range 4 {
		f.startServer(fmt.Sprint("i-files-", i), "files", zones[i%len(zones)], 20*time.Millisecond)
		f.startServer(fmt.Sprint("i-desk-", i), "desk", zones[i%len(zones)], 20*time.Millisecond)
	}
	f.configure(`{"name":"yard","api-keys":["key-of-yard-01"],"priority":1}`,
		route{"/files/", "safe", "files", false}, route{"/files/open/", "safe", "files", true}, route{"/desk/", "safe", "desk", true})
	f.startNodes(3)
	time.Sleep(contact + time.Second)
	targets := []string{"/files/secret", "/files/a/secret"}
	if f.trouble {
		targets = append(targets, "/files/open%2Fsecret", "/files/a%2F..%2Fopen%2Fsecret", "/files/..%2Fdesk%2Fsecret")
	}
	withoutKey, elsewhere := 0, 0
	for i := range 10 {
		for t, target := range targets {
			for k, key := range []string{"key-of-yard-01", "", "never-a-key"} {
				id := fmt.Sprintf("read-%d-%d-%d", i, t, k)
				f.send(call{node: i % 3, method: http.MethodGet, target: target, id: id, key: key})
				for _, r := range f.runsOf(id) {
					f.note("   run by service %s, backend %s: %s, tenant %q", r.service, r.backend, r.path, r.tenant)
					if k > 0 {
						withoutKey++
					}
					if r.service != "files" {
						elsewhere++
					}
				}
			}
		}
	}
	f.note("requests that ran without a key that the configuration holds: %d; run by a service to which their route does not lead: %d", withoutKey, elsewhere)
	return withoutKey == 0 && elsewhere == 0
}
