// Command 6 restarts the only node of a zone as planned, while the store drops its history
// of changes, and watches which configuration and which servers the other nodes use from
// then on.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"filbertmill.example/filbertmill/review/rig"
)

const (
	host     = "jepu9.example"
	service  = "statusdesk"
	deadline = 1200 * time.Millisecond
	work     = 50 * time.Millisecond
	// nodes is the number of nodes of the first zone; the other zone has one.
	nodes = 4
	// restarts is how often the node of the other zone is stopped at most. The script ends
	// with the first restart after which the rule is broken.
	restarts = 5
	// calmTime is how long the deployment runs before the first restart, and calmJitter by
	// how much more at most before each one.
	calmTime   = 3 * time.Second
	calmJitter = time.Second
	// historyDelay is the time until the loss of the history from when the node that was
	// stopped no longer says that it is ready.
	historyDelay = 10 * time.Millisecond
	// judgedAfter is the time from the acknowledgement of the configuration from which
	// on requests count: config-apply-s is 2, and machines are in touch contact-s, 3 s,
	// after the end of the disruption. They are sent for probeTime, and for judgedTime if
	// the rule is broken.
	judgedAfter = 4 * time.Second
	probeTime   = 2 * time.Second
	judgedTime  = 20 * time.Second
	interval    = 250 * time.Millisecond
)

func main() { rig.Main(run) }

func run(d *rig.Deployment) (bool, error) {
	var specs []rig.ServerSpec
	for i := range 6 {
		specs = append(specs, rig.ServerSpec{ID: fmt.Sprintf("i-%d", i), Service: service, Slots: 6, Work: work})
	}
	if err := d.StartServers(specs...); err != nil {
		return false, err
	}
	if err := configure(d, 0); err != nil {
		return false, err
	}
	if err := d.StartNodes(rig.Zones[0], rig.Zones[0], rig.Zones[0], rig.Zones[0], rig.Zones[1]); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	if before := ask(d, "before", "/status/", probeTime); before.unserved() > 0 {
		return false, fmt.Errorf("%d requests were not served before the disruption", before.unserved())
	}
	for version := 1; version <= restarts; version++ {
		time.Sleep(rand.N(calmJitter))
		if err := restart(d, version); err != nil {
			return false, err
		}
		if probe := ask(d, fmt.Sprint("probe", version), addedPrefix(version), probeTime); probe.missing() > 0 {
			judge(d, version)
			return true, nil
		}
		if err := d.Nodes[nodes].AwaitReady(true); err != nil {
			return false, err
		}
	}
	if unserved := judge(d, restarts); !d.Trouble && unserved > 0 {
		return false, fmt.Errorf("%d requests were not served, though there was no disruption", unserved)
	}
	return false, nil
}

// addedPrefix returns the prefix of the route that a version adds.
func addedPrefix(version int) string { return fmt.Sprintf("/added%d/", version) }

// configure writes a version, which has one more route than the one before.
func configure(d *rig.Deployment, version int) error {
	route := rig.Route{Name: "r-first", Host: host, Prefix: "/status/", Service: service, Safe: true, Timeout: 1.2, SLO: 0.6, Attempts: 2}
	routes := []rig.Route{route}
	for v := 1; v <= version; v++ {
		route.Name, route.Prefix = fmt.Sprint("r-added", v), addedPrefix(v)
		routes = append(routes, route)
	}
	return d.Platform.Configure(fmt.Sprintf("%08x", version+1), routes, []string{service})
}

// restart stops the node of the second zone and has the operator write a version, while the
// store drops its history unless the case runs without the disruption. It returns when
// requests count.
func restart(d *rig.Deployment, version int) error {
	stopped := d.Nodes[nodes]
	if err := stopped.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := stopped.AwaitReady(false); err != nil {
		return err
	}
	time.Sleep(historyDelay)
	write := func() error { return configure(d, version) }
	err := error(nil)
	if d.Trouble {
		err = d.Platform.LoseHistory(write)
	} else {
		err = write()
	}
	acknowledged := time.Now()
	d.Record.Notef("the version with the route %s is acknowledged", addedPrefix(version))
	time.Sleep(time.Until(acknowledged.Add(judgedAfter)))
	return err
}

// judge shows how the nodes of the first zone answer for judgedTime. It returns the number
// of requests without a success.
func judge(d *rig.Deployment, version int) int {
	var old, added answers
	var both sync.WaitGroup
	both.Go(func() { old = ask(d, "old", "/status/", judgedTime) })
	both.Go(func() { added = ask(d, "new", addedPrefix(version), judgedTime) })
	both.Wait()
	for i, n := range d.Nodes[:nodes] {
		d.Record.Sayf("%s, later than %s after the acknowledgement of version %d: %d requests on the route that it adds, %d of them answered 404; first route: %d requests, %d of them answered 200",
			n.Name, judgedAfter, version, added.sum(i), added.counts[i][http.StatusNotFound], old.sum(i), old.counts[i][http.StatusOK])
	}
	return old.unserved() + added.unserved()
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

// missing returns the number of requests that were answered 404.
func (a *answers) missing() int {
	n := 0
	for i := range a.counts {
		n += a.counts[i][http.StatusNotFound]
	}
	return n
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
