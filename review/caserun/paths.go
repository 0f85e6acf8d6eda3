package main

import (
	"fmt"
	"net/http"
	"time"
)

// By the pages a request takes the route with the longest prefix that begins its path. The
// prefixes end with a slash, and the path is forwarded unchanged, so that an encoded slash
// (%2F) belongs to a segment and ends no prefix.

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
