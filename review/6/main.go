// Command 6 stops the only node of a zone as planned, while the store drops its history
// of changes, and watches which configuration and which servers the other nodes use from
// then on.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"filbertmill.example/filbertmill/review/rig"
)

const (
	host     = "jepu9.example"
	deadline = 1200 * time.Millisecond
	work     = 50 * time.Millisecond
	// nodes is the number of nodes of the first zone; the other zone has one.
	nodes = 4
	// calmTime is how long the deployment runs before the disruption.
	calmTime = 3 * time.Second
	// historyDelay is the time until the loss of the history from when the node that was
	// stopped no longer says that it is ready.
	historyDelay = 10 * time.Millisecond
	// judgedAfter is the time from the acknowledgement of the configuration from which
	// on requests count: config-apply-s is 2, and machines are in touch contact-s, 3 s,
	// after the end of the disruption.
	judgedAfter = 4 * time.Second
	judgedTime  = 20 * time.Second
	interval    = 250 * time.Millisecond
)

func main() { rig.Main(run) }

func run(d *rig.Deployment) (bool, error) {
	var specs []rig.ServerSpec
	for i := range 6 {
		specs = append(specs, rig.ServerSpec{ID: fmt.Sprintf("i-%d", i), Service: "statusdesk", Slots: 6, Work: work})
	}
	if err := d.StartServers(specs...); err != nil {
		return false, err
	}
	first := rig.Route{Name: "r-first", Host: host, Prefix: "/status/", Service: "statusdesk", Safe: true, Timeout: 1.2, SLO: 0.6, Attempts: 2}
	added := first
	added.Name, added.Prefix = "r-added", "/added/"
	if err := d.Platform.Configure("00000001", []rig.Route{first}, []string{"statusdesk"}); err != nil {
		return false, err
	}
	zones := []string{rig.Zones[0], rig.Zones[0], rig.Zones[0], rig.Zones[0], rig.Zones[1]}
	if err := d.StartNodes(zones...); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	if before := ask(d, "before", "/status/", 2*time.Second); before.unserved() > 0 {
		return false, fmt.Errorf("%d requests were not served before the disruption", before.unserved())
	}
	if err := d.Nodes[nodes].Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	if err := d.Nodes[nodes].AwaitReady(false); err != nil {
		return false, err
	}
	time.Sleep(historyDelay)
	change := func() error {
		return d.Platform.Configure("00000002", []rig.Route{first, added}, []string{"statusdesk"})
	}
	err := error(nil)
	if d.Trouble {
		err = d.Platform.LoseHistory(change)
	} else {
		err = change()
	}
	if err != nil {
		return false, err
	}
	acknowledged := time.Now()
	d.Record.Notef("version 00000002 with the route /added/ is acknowledged")
	time.Sleep(time.Until(acknowledged.Add(judgedAfter)))
	var old, late answers
	var both sync.WaitGroup
	both.Go(func() { old = ask(d, "old", "/status/", judgedTime) })
	both.Go(func() { late = ask(d, "new", "/added/", judgedTime) })
	both.Wait()
	broken := false
	for i, n := range d.Nodes[:nodes] {
		missing := late.counts[i][http.StatusNotFound]
		d.Record.Sayf("%s, from %s after the acknowledgement on: %d requests on the added route, %d of them answered 404; first route: %d requests, %d of them answered 200",
			n.Name, judgedAfter, late.sum(i), missing, old.sum(i), old.counts[i][http.StatusOK])
		broken = broken || missing > 0
	}
	return broken, nil
}

// answers counts the answers of each node by status.
type answers struct{ counts [nodes]map[int]int }

func (a *answers) sum(node int) int {
	sum := 0
	for _, n := range a.counts[node] {
		sum += n
	}
	return sum
}

// unserved returns the number of requests without a success.
func (a *answers) unserved() int {
	n := 0
	for i := range a.counts {
		n += a.sum(i) - a.counts[i][http.StatusOK]
	}
	return n
}

// ask sends requests to all nodes of the first zone, each on a connection of its own.
func ask(d *rig.Deployment, name, prefix string, length time.Duration) answers {
	var a answers
	var clients sync.WaitGroup
	for i, n := range d.Nodes[:nodes] {
		a.counts[i] = make(map[int]int)
		clients.Go(func() {
			for k, end := 0, time.Now().Add(length); time.Now().Before(end); k++ {
				id := fmt.Sprintf("%s-%s-%d", n.Name, name, k)
				conn, err := rig.Dial(n, d.Record)
				if err != nil {
					a.counts[i][0]++
				} else {
					a.counts[i][conn.Do(rig.Request{ID: id, Method: http.MethodGet, Host: host, Target: prefix + id, Deadline: deadline}).Status]++
					conn.Close()
				}
				time.Sleep(interval)
			}
		})
	}
	clients.Wait()
	return a
}
