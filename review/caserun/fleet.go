package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/process"
	"filbertmill.example/testbed/standin"
)

// program is the program of the deploy file, which runs in the root of the repository.
const program = "target/filbertmill"

var zones = []string{"kandy", "nuwara"}

// contact is the bound contact-s of the nodes' settings.
const contact = 3 * time.Second

// fleet is a small deployment: the platform's store, backends and nodes.
type fleet struct {
	record
	trouble bool
	// answerBegins is set if backends crash only once an answer has begun.
	answerBegins bool
	// link, if not nil, changes the settings of each node.
	link     func(*process.Gateway)
	dir      string
	platform *standin.Standin
	store    *platform.Client
	specs    []process.Gateway

	mu       sync.Mutex
	nodes    []*process.Node
	backends []*server
	version  int
	// touched is, by node, since when its process has run undisturbed.
	touched []time.Time
	runs    []run
}

// run is a request that a backend began to work on.
type run struct {
	id, path, service, backend, key, tenant string
	at                                      time.Time
}

// newFleet starts the platform's store. dir receives the record.
func newFleet(dir string, trouble bool) (*fleet, error) {
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	f := &fleet{record: record{out: out, start: time.Now()}, trouble: trouble}
	if f.dir, err = os.MkdirTemp("", "caserun"); err != nil {
		return nil, err
	}
	if f.platform, err = standin.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	f.store, err = platform.NewClientFromURL(f.platform.URL())
	f.note("trouble %t", trouble)
	return f, err
}

// close ends all processes of the fleet.
func (f *fleet) close() {
	f.mu.Lock()
	nodes, backends := f.nodes, f.backends
	f.mu.Unlock()
	for _, n := range nodes {
		n.Kill()
	}
	for _, b := range backends {
		b.end()
	}
	_ = f.platform.Close()
	_ = os.RemoveAll(f.dir)
	_ = f.out.Close()
}

// startNodes starts n nodes at the same time and waits until they are ready.
func (f *fleet) startNodes(n int) {
	var err error
	f.specs, err = process.NewGateways(n, zones, strings.TrimPrefix(f.platform.URL(), "http://"))
	must(err, "find free addresses")
	f.nodes, f.touched = make([]*process.Node, n), make([]time.Time, n)
	for i := range f.specs {
		if f.link != nil {
			f.link(&f.specs[i])
		}
		f.startNode(i)
	}
	for i := range f.specs {
		must(f.node(i).Ready(context.Background()), "start "+f.specs[i].Name)
	}
}

func (f *fleet) startNode(i int) {
	n, err := process.StartGateway(program, f.dir, f.specs[i])
	must(err, "start "+f.specs[i].Name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i], f.touched[i] = n, time.Now()
}

func (f *fleet) node(i int) *process.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i]
}

// restart stops a node with SIGTERM and starts it again once it has ended.
func (f *fleet) restart(i int) {
	f.note("SIGTERM to %s", f.specs[i].Name)
	f.mu.Lock()
	f.touched[i] = time.Now().Add(time.Hour)
	f.mu.Unlock()
	must(f.node(i).Terminate(), "stop "+f.specs[i].Name)
	_ = f.node(i).Wait()
	f.specs[i].FirstStart = false
	f.startNode(i)
	must(f.node(i).Ready(context.Background()), "restart "+f.specs[i].Name)
	f.note("%s is ready again", f.specs[i].Name)
}

// inTouch returns the first node, from i on, that has run undisturbed for contact-s.
func (f *fleet) inTouch(i int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range f.nodes {
		if n := (i + k) % len(f.nodes); time.Since(f.touched[n]) > contact {
			return n
		}
	}
	return -1
}

// route is a route of the configuration.
type route struct {
	name, kind, service string
	public              bool
}

// configure writes the next configuration. Each route has the prefix of its name.
func (f *fleet) configure(tenants string, routes ...route) {
	f.version += 3
	var rules, clusters []string
	seen := make(map[string]bool)
	for _, r := range routes {
		rules = append(rules, fmt.Sprintf(`{"name":%q,"kind":%q,"slo-s":1,"priority":1,"public":%t,"match":{"prefix":%q},
			"action":{"service":%q,"timeout-s":2,"attempts":2}}`, "r-"+strings.Trim(r.name, "/"), r.kind, r.public, r.name, r.service))
		if !seen[r.service] {
			clusters = append(clusters, fmt.Sprintf(`{"name":%q,"health-path":"/health","max-conns":50}`, r.service))
			seen[r.service] = true
		}
	}
	if tenants != "" {
		tenants = `"tenants":[` + tenants + `],`
	}
	text := fmt.Sprintf(`{"version":"%08x","limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":3,
		"idle-timeout-s":15},%s"listeners":[{"host":"g.example","policy":[%s]}],"clusters":[%s]}`,
		f.version, tenants, strings.Join(rules, ","), strings.Join(clusters, ","))
	text = strings.Join(strings.Fields(text), "") // names and prefixes hold no blanks
	_, err := f.store.Txn(context.Background(), nil, []platform.Put{{Key: platform.ConfigurationKey, Value: []byte(text)}})
	must(err, "write the configuration")
	f.note("configuration %08x of %d bytes is acknowledged: %s", f.version, len(text), text[:min(len(text), 700)])
}

// call is what a client sends, byte by byte as stated.
type call struct {
	node               int
	method, target, id string
	body, key          string
	deadline           time.Duration
	quiet              bool
}

// reply is what a client got; status 0 if there was no answer.
type reply struct {
	status     int
	stamp, err string
	body       []byte
}

// send sends a request on a connection of its own and reads the answer.
func (f *fleet) send(c call) reply {
	if c.deadline == 0 {
		c.deadline = 1500 * time.Millisecond
	}
	conn, err := net.DialTimeout("tcp", f.specs[c.node].Callers, time.Second)
	if err != nil {
		return reply{err: err.Error()}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: g.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.target, c.id, c.deadline.Milliseconds())
	if c.key != "" {
		head += "X-Api-Key: " + c.key + "\r\n"
	}
	if c.method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n"
	}
	var r reply
	if _, err = io.WriteString(conn, head+"\r\n"+c.body); err == nil {
		r = readReply(bufio.NewReader(conn), c.method)
	} else {
		r.err = err.Error()
	}
	if !c.quiet {
		f.note("%s %s (id %s, key %q) to %s: status %d %s%s", c.method, c.target, c.id, c.key, f.specs[c.node].Name, r.status, r.stamp, r.err)
	}
	return r
}

func readReply(from *bufio.Reader, method string) reply {
	resp, err := http.ReadResponse(from, &http.Request{Method: method})
	if err != nil {
		return reply{err: err.Error()}
	}
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode, stamp: resp.Header.Get("X-Backend-Stamp")}
	if r.body, err = io.ReadAll(resp.Body); err != nil {
		r.err = err.Error()
	}
	return r
}

// mostServed is the share of ordinary requests that have to be served for a case to say
// anything.
const mostServed = 0.8

// requireShare ends the case as one that could not run if a share is below mostServed.
func requireShare(what string, part, all int) {
	if float64(part) < mostServed*float64(all) {
		panic(notRun(fmt.Sprintf("only %d of %d %s", part, all, what)))
	}
}

// addRun records a run.
func (f *fleet) addRun(r run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
}

// runsOf returns the runs of a request.
func (f *fleet) runsOf(id string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []run
	for _, r := range f.runs {
		if r.id == id {
			list = append(list, r)
		}
	}
	return list
}

// server is a stand-in backend. It registers itself under a lease, which it renews at each
// heartbeat, and ends without a word if it runs a request to poisonPath.
type server struct {
	f                 *fleet
	id, service, zone string
	work              time.Duration
	listener          net.Listener
	http              *http.Server
	stop              context.CancelFunc
	mu                sync.Mutex
	conns             map[net.Conn]bool
	ended             bool
	slots             chan struct{}
}

const (
	// slots is the number of requests that a backend runs concurrently, and queueTime how
	// long a further request waits for one of them before it is rejected.
	slots     = 4
	queueTime = 100 * time.Millisecond
	// answerTime is the time from the first bytes of an answer to the crash.
	answerTime = 20 * time.Millisecond
)

// heartbeat is the interval at which a backend reports; its entry lasts three of them.
const heartbeat = 500 * time.Millisecond

// startServer starts a backend that takes the given time for a request.
func (f *fleet) startServer(id, service, zone string, work time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "start a backend")
	ctx, stop := context.WithCancel(context.Background())
	s := &server{f: f, id: id, service: service, zone: zone, work: work, listener: l, stop: stop, conns: make(map[net.Conn]bool), slots: make(chan struct{}, slots)}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, ConnState: s.track}
	go func() { _ = s.http.Serve(l) }()
	f.mu.Lock()
	f.backends = append(f.backends, s)
	f.mu.Unlock()
	go s.report(ctx)
	return s
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
	} else {
		s.conns[c] = true
	}
}

// report keeps the entry of the backend in the store.
func (s *server) report(ctx context.Context) {
	value, err := json.Marshal(map[string]any{
		"address": s.listener.Addr().String(), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": slots},
		"status": map[string]any{"state": "ready", "seq": 1, "cold-left-s": 0},
	})
	must(err, "encode an entry")
	var lease platform.LeaseID
	for ctx.Err() == nil {
		if lease == "" || s.f.store.KeepAlive(ctx, lease) != nil {
			if lease, err = s.f.store.Grant(ctx, 3*heartbeat); err == nil {
				_, err = s.f.store.Txn(ctx, nil, []platform.Put{{Key: platform.TargetPrefix + s.id, Value: value, Lease: lease}})
			}
			if err != nil {
				lease = ""
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// timeLeft returns for how long a backend may work on a request.
func timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(platform.HeaderTimeLeft))
	if err != nil {
		return time.Hour
	}
	return time.Duration(ms) * time.Millisecond
}

// beginAnswer sends the head and the first bytes of an answer.
func (s *server) beginAnswer(w http.ResponseWriter, id string) {
	const begun = "the first bytes"
	w.Header().Set("X-Backend-Stamp", s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(10*len(begun)))
	_, _ = io.WriteString(w, begun)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(answerTime)
}

// end ends the backend as a crash does: it accepts no connections and resets the open ones.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	s.stop()
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set(platform.HeaderTargetID, s.id)
		return
	}
	if expected := r.Header.Get(platform.HeaderExpectTarget); expected != "" && expected != s.id {
		w.Header().Set(platform.HeaderTargetID, s.id)
		w.WriteHeader(platform.StatusMisdirected)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-time.After(queueTime):
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.f.addRun(run{
		id: id, path: r.RequestURI, service: s.service, backend: s.id, at: time.Now(),
		key: r.Header.Get(platform.HeaderKey), tenant: r.Header.Get(platform.HeaderWorkspace),
	})
	if bytes.Equal(body, []byte(poisonBody)) {
		if s.f.answerBegins {
			s.beginAnswer(w, id)
		}
		s.f.crash(s, id)
		return
	}
	select {
	case <-time.After(s.work):
	case <-time.After(timeLeft(r)):
		w.Header().Set("X-Backend-Stamp", s.id+"."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	text := fmt.Appendf(nil, "%s ran %s %s", s.service, r.Method, r.RequestURI)
	w.Header().Set("X-Backend-Stamp", s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text)
}
