package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/filbertmill/internal/cluster"
	"filbertmill.example/pool"
	"filbertmill.example/testbed/process"
)

const (
	// askEvery is the time between two requests for one service.
	askEvery = 20 * time.Millisecond
	// afterLoss is how long requests go on after a loss.
	afterLoss   = 8 * time.Second
	membersTime = 2 * time.Minute
)

// sample is one request of the load.
type sample struct {
	service int
	start   time.Time
	end     time.Time
	ok      bool
}

// load sends idempotent requests for each service through one entry node.
type load struct {
	mu      sync.Mutex
	samples []sample
	wg      sync.WaitGroup
	cancel  context.CancelFunc
}

// startLoad asks for all services in turn through the given nodes' entries.
func startLoad(ctx context.Context, entries []string) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel}
	client := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for s := range services {
		l.wg.Go(func() {
			ticker := time.NewTicker(askEvery)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				l.wg.Go(func() { l.ask(client, entries[i%len(entries)], s) })
			}
		})
	}
	return l
}

func (l *load) ask(client *http.Client, entry string, service int) {
	m := sample{service: service, start: time.Now()}
	resp, err := client.Get("http://" + entry + "/" + cluster.Service(service))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		m.ok = err == nil && resp.StatusCode == http.StatusOK
		resp.Body.Close()
	}
	m.end = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, m)
}

// stop ends the load and returns its samples by their start.
func (l *load) stop() []sample {
	l.cancel()
	l.wg.Wait()
	slices.SortFunc(l.samples, func(a, b sample) int { return a.start.Compare(b.start) })
	return l.samples
}

// loss is what requests saw of a loss.
type loss struct {
	requests, failed int
	// firstAnswer is the longest time, over the services, from the loss to the
	// first answer to a request that was sent after it.
	firstAnswer time.Duration
	// slowest is the longest time that an answered request took.
	slowest time.Duration
}

func judge(samples []sample, at time.Time, which func(service int) bool) loss {
	var out loss
	first := make(map[int]time.Duration)
	for _, m := range samples {
		if !which(m.service) {
			continue
		}
		out.requests++
		if !m.ok {
			out.failed++
			continue
		}
		out.slowest = max(out.slowest, m.end.Sub(m.start))
		if d := m.end.Sub(at); m.start.After(at) && (first[m.service] == 0 || d < first[m.service]) {
			first[m.service] = d
		}
	}
	for _, d := range first {
		out.firstAnswer = max(out.firstAnswer, d)
	}
	return out
}

func (l loss) String() string {
	return fmt.Sprintf("first answer after %v, slowest request %v, %d of %d idempotent requests failed",
		l.firstAnswer.Round(time.Millisecond), l.slowest.Round(time.Millisecond), l.failed, l.requests)
}

// measureLosses crashes and pauses homes, and then takes a whole zone away.
func measureLosses(ctx context.Context, f *cluster.Cluster, losses int) error {
	for i := range losses {
		for _, pause := range []bool{false, true} {
			if err := loseHome(ctx, f, i%services, pause); err != nil {
				return err
			}
		}
	}
	if err := loseZone(ctx, f, zones[0], true); err != nil {
		return err
	}
	return loseZone(ctx, f, zones[1], false)
}

func loseHome(ctx context.Context, f *cluster.Cluster, service int, pause bool) error {
	home, err := f.Home(ctx, cluster.Service(service))
	if err != nil {
		return err
	}
	l := startLoad(ctx, entriesWithout(f, func(name string) bool { return name == home }))
	time.Sleep(time.Second)
	at := time.Now()
	what := "crash"
	if pause {
		what = "pause"
		err = f.Nodes[home].Pause()
	} else {
		f.Kill(home)
	}
	if err != nil {
		return err
	}
	time.Sleep(afterLoss)
	samples := l.stop()
	if pause {
		err = f.Nodes[home].Resume()
	} else {
		err = f.RestartNode(ctx, f.Index(home))
	}
	if err != nil {
		return err
	}
	fmt.Printf("%s of a home: %v\n", what, judge(samples, at, func(s int) bool { return s == service }))
	return awaitAll(ctx, f)
}

// loseZone takes all nodes of a zone away at once. Stopped nodes answer nothing,
// as if the network were cut; killed ones refuse connections.
func loseZone(ctx context.Context, f *cluster.Cluster, zone string, pause bool) error {
	inZone := make(map[string]bool)
	for _, s := range f.Specs {
		inZone[s.Name] = s.AvailabilityZone == zone
	}
	l := startLoad(ctx, entriesWithout(f, func(name string) bool { return inZone[name] }))
	time.Sleep(time.Second)
	at := time.Now()
	what, lost := "killed", 0
	if pause {
		what = "stopped"
	}
	for _, name := range f.Names() {
		if !inZone[name] {
			continue
		}
		lost++
		if !pause {
			f.Kill(name)
		} else if err := f.Nodes[name].Pause(); err != nil {
			return err
		}
	}
	time.Sleep(afterLoss)
	below, err := belowFloor(ctx, f, func(name string) bool { return inZone[name] })
	samples := l.stop()
	if err != nil {
		return err
	}
	fmt.Printf("zone lost, %d nodes %s at once: %v; pools below their floor: %d\n",
		lost, what, judge(samples, at, func(int) bool { return true }), below)
	return resumeZone(ctx, f, inZone)
}

// resumeZone lets stopped nodes go on and waits until all agree.
func resumeZone(ctx context.Context, f *cluster.Cluster, inZone map[string]bool) error {
	for name, n := range f.Nodes {
		if !inZone[name] {
			continue
		}
		if err := n.Resume(); err != nil {
			return err
		}
	}
	return awaitAll(ctx, f)
}

// entriesWithout returns the caller addresses of the nodes that are not left out.
func entriesWithout(f *cluster.Cluster, leftOut func(name string) bool) []string {
	var out []string
	for _, s := range f.Specs {
		if _, runs := f.Nodes[s.Name]; runs && !leftOut(s.Name) {
			out = append(out, s.Callers)
		}
	}
	return out
}

// belowFloor counts the pools whose healthy slots are fewer than their floor.
func belowFloor(ctx context.Context, f *cluster.Cluster, leftOut func(name string) bool) (int, error) {
	below := 0
	for name, n := range f.Nodes {
		if leftOut(name) {
			continue
		}
		var list []pool.Snapshot
		if err := process.GetJSON(ctx, n.Spec.Admin, "/pools", &list); err != nil {
			return 0, err
		}
		for _, p := range list {
			if p.HealthySlots < p.FloorSlots {
				below++
			}
		}
	}
	return below, nil
}

func awaitAll(ctx context.Context, f *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, membersTime)
	defer cancel()
	return errors.Wrap(f.AwaitMembers(ctx, len(f.Nodes)), "after a loss")
}
