package integration

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
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/gateway/replica"
	"filbertmill.example/outcome"
	"filbertmill.example/platform"
	"filbertmill.example/testbed/backend"
	"filbertmill.example/testbed/endless"
	"filbertmill.example/testbed/process"
	"filbertmill.example/testbed/target"
)

const (
	// endlessMemoryMB is the memory of the smallest hosts.
	endlessMemoryMB = 184
	// endlessHealthy is the number of healthy targets of each service.
	endlessHealthy = 6
)

// endlessFleet starts one node with three services. look and book get healthy targets
// and, by addEndless, others whose answers do not end; calm has healthy ones only.
func endlessFleet(t *testing.T) *gatewayFleet {
	f := startGatewayFleetWith(t, 1, endlessHealthy, func(g *process.Gateway) { g.MemoryMB = endlessMemoryMB })
	for i := range endlessHealthy {
		f.addBackend(fmt.Sprintf("i-calm-%d", i), "calm", gatewayZones[i%2])
	}
	f.configure(1500*time.Millisecond, safeRoute("calm"))
	f.await("the calm service answers", 5*time.Second, func() bool { return f.send(0, "GET", "calm", "warm3").StatusCode == 200 })
	return f
}

// safeRoute returns the route of the service of the same name.
func safeRoute(name string) string {
	return fmt.Sprintf(`{"name":%q,"kind":"safe","slo-s":0.6,"priority":1,"match":{"prefix":"/%s/"},
		"action":{"service":%q,"timeout-s":1.5,"attempts":3}}`, name, name, name)
}

// addEndless adds, for each kind, a target of look and one of book whose answers do
// not end. With a trickle other than 0 they send a few bytes at this interval.
func (f *gatewayFleet) addEndless(trickle time.Duration, kinds ...endless.Kind) {
	for i, kind := range kinds {
		for _, service := range []string{"look", "book"} {
			f.addBackend(fmt.Sprintf("i-%s-endless-%d-%s", service, i, kind), service, gatewayZones[i%2])
			f.backends[len(f.backends)-1].Set(backend.Behavior{
				Work: 10 * time.Millisecond, EndlessShare: 1, Endless: kind, Trickle: trickle,
			})
		}
	}
	time.Sleep(time.Second) // the node receives the new target list
}

// endlessLoad sends rounds of requests to all services and checks that each ends by
// its deadline, with a complete answer or with an error that is true: a request
// refused with 429 or 503 must not have run. It returns the number of answers by
// service and status.
func (f *gatewayFleet) endlessLoad(name string, rounds int) map[string]int {
	var mu sync.Mutex
	statuses, byID, late := make(map[string]int), make(map[string]int), make(map[string]callTimes)
	var wg sync.WaitGroup
	for i := range rounds {
		for _, service := range []string{"look", "book", "calm"} {
			wg.Go(func() {
				method := "GET"
				if service == "book" {
					method = "POST"
				}
				id := fmt.Sprintf("%s-%s-%d", name, service, i)
				start := time.Now()
				status := f.send(0, method, service, id).StatusCode
				took := time.Since(start)
				mu.Lock()
				defer mu.Unlock()
				if took >= 1750*time.Millisecond {
					late[id] = callTimes{start, start.Add(took)}
				}
				statuses[fmt.Sprintf("%s %d", service, status)]++
				byID[id] = status
			})
		}
		time.Sleep(8 * time.Millisecond)
	}
	wg.Wait()
	for id, call := range late {
		f.t.Errorf("%s: %d after %s%s; the node logged %s", id, byID[id], call.read.Sub(call.sent), call.parts(f.answeredLine(id)), f.answeredLine(id))
	}
	ran := make(map[string]bool)
	for _, r := range f.ledger.Runs() {
		ran[r.Request] = true
	}
	for id, status := range byID {
		switch status {
		case 200, 502, 504:
		case 429, 503:
			qt.Check(f.t, ran[id], qt.IsFalse, qt.Commentf("%s ran and was answered as not run", id))
		default:
			qt.Check(f.t, status, qt.Equals, 200, qt.Commentf("%s", id))
		}
	}
	qt.Check(f.t, statuses["calm 200"], qt.Equals, rounds)
	f.checkOnce()
	return statuses
}

// callTimes is when a caller began to send a request, and when it had read the answer.
type callTimes struct{ sent, read time.Time }

// parts tells from the node's line how the time of a call was spent: until the node had
// read the request, in the node, and until the caller had read the answer.
func (c callTimes) parts(line string) string {
	var answered struct {
		At      time.Time `json:"@timestamp"`
		Elapsed float64   `json:"elapsed_ms"`
	}
	if json.Unmarshal([]byte(line), &answered) != nil {
		return ""
	}
	inNode := time.Duration(answered.Elapsed * float64(time.Millisecond))
	received := answered.At.Add(-inNode)
	return fmt.Sprintf(" (%s until it was received, %s in the node, %s until the answer was read)",
		received.Sub(c.sent).Round(time.Millisecond), inNode, c.read.Sub(answered.At).Round(time.Millisecond))
}

// answeredLine returns the line that the node logged of its answer to a request. Its
// elapsed_ms tells whether the node or the way to the caller took the time.
func (f *gatewayFleet) answeredLine(id string) string {
	text, err := os.ReadFile(f.nodes[0].Log)
	qt.Assert(f.t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, `"@message":"answered"`) && strings.Contains(line, `"request":"`+id+`"`) {
			return strings.TrimSpace(line)
		}
	}
	return "no answer"
}

// linesOf returns all lines that the node logged of a request.
func (f *gatewayFleet) linesOf(id string) string {
	text, err := os.ReadFile(f.nodes[0].Log)
	qt.Assert(f.t, err, qt.IsNil)
	var lines strings.Builder
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, `"request":"`+id+`"`) {
			lines.WriteString(line)
		}
	}
	return lines.String()
}

// checkEndless checks the resident memory, that answer memory is released, and that
// connections with endless answers were closed in time.
func (f *gatewayFleet) checkEndless() {
	t := f.t
	peak := residentPeak(qt.New(t), f.nodes[0]) >> 20
	qt.Check(t, peak < endlessMemoryMB, qt.IsTrue, qt.Commentf("%d MB at most, %d allowed", peak, endlessMemoryMB))
	for _, c := range f.ledger.EndlessAnswers() {
		qt.Check(t, c.At.Sub(c.Start) < 1700*time.Millisecond, qt.IsTrue,
			qt.Commentf("%s of %s closed after %s, %d bytes", c.Kind, c.Target, c.At.Sub(c.Start), c.Sent))
	}
	var vars struct {
		Memory struct{ Limit, Used, Peak, Ended int64 } `json:"answer_memory"`
		Broken map[string]int                           `json:"answers_broken"`
	}
	f.await("all answer memory is released", time.Second, func() bool {
		resp, err := http.Get("http://" + f.specs[0].Ready + "/debug/vars")
		qt.Assert(t, err, qt.IsNil)
		defer resp.Body.Close()
		qt.Assert(t, json.NewDecoder(resp.Body).Decode(&vars), qt.IsNil)
		return vars.Memory.Used == 0
	})
	qt.Check(t, vars.Memory.Peak <= vars.Memory.Limit, qt.IsTrue, qt.Commentf("%+v", vars.Memory))
	t.Logf("resident at most %d MB, answers %+v, broken %v, %d closed", peak, vars.Memory, vars.Broken, len(f.ledger.EndlessAnswers()))
}

// endlessLines reads the node's log. It returns the breaches of the protocol that
// lines on attempts report, by target, and the targets whose change of state is
// reported.
func (f *gatewayFleet) endlessLines() (breaches map[string]string, changed map[string]bool) {
	file, err := os.Open(f.nodes[0].Log)
	qt.Assert(f.t, err, qt.IsNil)
	defer file.Close()
	breaches, changed = make(map[string]string), make(map[string]bool)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var line struct {
			Message string `json:"@message"`
			Target  string `json:"target"`
			Breach  string `json:"breach"`
			Kind    string `json:"kind"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		id, _, _ := strings.Cut(line.Target, "@")
		switch {
		case line.Message == "attempt ended" && line.Breach != "":
			breaches[id] = line.Breach
		case line.Message == "decision" && line.Kind == "target_state":
			changed[id] = true
		}
	}
	return breaches, changed
}

// TestGatewayOutlivesEndlessAnswers guards against a target whose endless answer ends
// the process, for example for lack of memory. All kinds of endless answers arrive
// concurrently.
func TestGatewayOutlivesEndlessAnswers(t *testing.T) {
	f := endlessFleet(t)
	f.addEndless(0, endless.Kinds...)
	t.Logf("%v", f.endlessLoad("ways", 300))
	f.checkEndless()
	breaches, changed := f.endlessLines()
	t.Logf("breaches %v, changed state %v", breaches, changed)
	qt.Check(t, len(breaches) >= len(endless.Kinds)/2, qt.IsTrue, qt.Commentf("%v", breaches))
	qt.Check(t, len(changed) >= len(endless.Kinds)/2, qt.IsTrue, qt.Commentf("%v", changed))
}

// TestGatewayOutlivesEndlessBodies guards against dozens of concurrent endless bodies
// that together exhaust memory, though each is below the limit of its route.
func TestGatewayOutlivesEndlessBodies(t *testing.T) {
	f := endlessFleet(t)
	f.addEndless(0, endless.Chunks, endless.Unframed, endless.Chunks, endless.Unframed, endless.Chunks, endless.Unframed,
		endless.Chunks, endless.Unframed, endless.Chunks, endless.Unframed, endless.Chunks, endless.Unframed)
	t.Logf("%v", f.endlessLoad("bodies", 300))
	f.checkEndless()
}

// TestGatewayOutlivesEndlessPeers guards against a process that runs out of memory because
// the addresses of nodes that are gone belong to programs that send bytes without end: it
// connects to many of them at once to find a relay.
func TestGatewayOutlivesEndlessPeers(t *testing.T) {
	const gone = 130 // the nodes of a large fleet
	f := endlessFleet(t)
	for i := range gone {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = l.Close() })
		go answerEndlessly(l, endless.Kinds[i%len(endless.Kinds)])
		n := replica.Node{
			Name: fmt.Sprintf("gone-%d", i), AvailabilityZone: gatewayZones[i%2], ControlAddress: l.Addr().String(), CPUShare: 0.8,
		}
		_, err = f.store.Txn(t.Context(), nil, []platform.Put{{Key: n.Key(), Value: n.Encode()}})
		qt.Assert(t, err, qt.IsNil)
	}
	t.Logf("%v", f.endlessLoad("peers", 300))
	f.checkEndless()
}

// answerEndlessly answers each connection with bytes of a kind that do not end.
func answerEndlessly(l net.Listener, kind endless.Kind) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				_, _ = endless.Write(nc, kind, "", "body", 0)
			}
		}()
	}
}

// TestGatewayOutlivesEndlessServices guards against limits that hold for each service and
// add up to more than the memory of a small host.
func TestGatewayOutlivesEndlessServices(t *testing.T) {
	const services = 12
	f := endlessFleet(t)
	routes := []string{safeRoute("calm")}
	for i := range services {
		name := fmt.Sprintf("s%d", i)
		routes = append(routes, safeRoute(name))
		f.services = append(f.services, name)
		for k := range 3 {
			f.addBackend(fmt.Sprintf("i-%s-%d", name, k), name, gatewayZones[k%2])
			f.backends[len(f.backends)-1].Set(backend.Behavior{
				Work: 10 * time.Millisecond, EndlessShare: 1, Endless: endless.Kinds[(3*i+k)%len(endless.Kinds)],
			})
		}
	}
	f.configure(1500*time.Millisecond, routes...)
	time.Sleep(time.Second) // the node receives the targets and the routes
	var wg sync.WaitGroup
	for i := range 50 * services {
		wg.Go(func() {
			route := fmt.Sprintf("s%d", i%services)
			resp := f.send(0, "GET", route, fmt.Sprintf("%s-%d", route, i))
			qt.Check(t, resp.StatusCode == 502 || resp.StatusCode == 503 || resp.StatusCode == 504 || resp.StatusCode == 200, qt.IsTrue,
				qt.Commentf("%s: %d", route, resp.StatusCode))
		})
		time.Sleep(4 * time.Millisecond)
	}
	t.Logf("%v", f.endlessLoad("beside", 100))
	wg.Wait()
	f.checkEndless()
}

// TestGatewayEndsTrickles guards against endless answers that arrive a few bytes at a
// time and keep a request in flight beyond its deadline.
func TestGatewayEndsTrickles(t *testing.T) {
	f := endlessFleet(t)
	f.addEndless(5*time.Millisecond, endless.Kinds...)
	t.Logf("%v", f.endlessLoad("trickle", 300))
	f.checkEndless()
}

// TestGatewayPassesLargeAnswers guards against limits that cut off large answers of
// healthy targets, and against answer memory that is not released.
func TestGatewayPassesLargeAnswers(t *testing.T) {
	f := startGatewayFleetWith(t, 1, endlessHealthy, func(g *process.Gateway) { g.MemoryMB = endlessMemoryMB })
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			id := fmt.Sprintf("large-%d", i)
			body := bytes.Repeat([]byte{byte(i)}, 1_000_000)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, "POST", "http://"+f.specs[0].Callers+"/look/x", bytes.NewReader(body))
			qt.Assert(t, err, qt.IsNil)
			r.Host = "g.example"
			r.Header.Set(platform.HeaderRequestID, id)
			start := time.Now()
			resp, err := http.DefaultClient.Do(r)
			if !qt.Check(t, err, qt.IsNil) {
				return
			}
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			qt.Check(t, err, qt.IsNil)
			if resp.StatusCode != 200 {
				t.Errorf("%s: status %d after %s; the node logged %s", id, resp.StatusCode, time.Since(start), f.linesOf(id))
			}
			qt.Check(t, bytes.Equal(got, backend.Answer(id, body)), qt.IsTrue, qt.Commentf("%d bytes", len(got)))
		})
	}
	wg.Wait()
	f.checkEndless()
}

// TestServeEndsEndlessAnswers guards against endless answers on the nodes that the
// command serve runs, and on the hop between two of them: no such answer may look
// complete, outlast its deadline, or take memory without limit.
func TestServeEndsEndlessAnswers(t *testing.T) {
	c := qt.New(t)
	targets, ini := startTargets(c, "statusdesk", target.Config{Slots: 8})
	f := startFleet(c, 2, pathConfig+"max_response_bytes = 4000000\ntimeout = 2s\n\n"+ini)
	ran := 0
	for _, kind := range endless.Kinds {
		if kind == endless.Overlong {
			continue // its answer is complete by its stated length
		}
		targets[0].Set(target.Behavior{EndlessShare: 1, Endless: kind})
		for i := range f.nodes {
			id := fmt.Sprintf("endless-%s-%d", kind, i)
			start := time.Now()
			r := callerRequest{method: "POST", url: f.url(i, "/status/van"), id: id, timeout: 5 * time.Second}.send()
			took := time.Since(start)
			c.Check(took < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%s took %s", id, took))
			runs := len(targets[0].Ledger().Runs(id))
			ran += runs
			// While a large body is forwarded, its caller only sees that it is cut; any
			// other failure is reported by its outcome.
			reported := r.failure != nil || r.kind == outcome.Unknown || r.kind == outcome.NotRun && runs == 0
			c.Check(reported, qt.IsTrue, qt.Commentf("%s: %d runs, status %d, %q, %d bytes", id, runs, r.status, r.kind, len(r.body)))
		}
	}
	c.Check(ran > len(endless.Kinds), qt.IsTrue, qt.Commentf("%d requests ran", ran))
	for i := range f.nodes {
		peak := residentPeak(c, f.nodes[i])
		c.Check(peak < memoryLimit, qt.IsTrue, qt.Commentf("peak of %s: %d bytes", f.nodes[i].Spec.Name, peak))
	}
	for end := time.Now().Add(3 * time.Second); targets[0].InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(targets[0].InFlight(), qt.Equals, 0)
}
