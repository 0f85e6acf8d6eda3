package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/testbed/backend"
	"filbertmill.example/testbed/process"
)

// explain returns what `filbertmill explain` prints for a request from the saved log
// lines of all nodes.
func (f *gatewayFleet) explain(id string) string {
	files, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	qt.Assert(f.t, err, qt.IsNil)
	args := append([]string{"explain", "--request", id, "--log"}, files...)
	out, err := exec.Command(binary, args...).CombinedOutput()
	qt.Check(f.t, err, qt.IsNil, qt.Commentf("%s", out))
	return string(out)
}

// checkExplanation waits until the explanation of a request has a line that matches
// each pattern, in this order, and returns the explanation.
func (f *gatewayFleet) checkExplanation(id string, patterns ...string) string {
	f.t.Helper()
	lines := regexp.MustCompile("(?s)" + strings.Join(patterns, ".*\n.*"))
	var text string
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		text = f.explain(id)
		if lines.MatchString(text) {
			return text
		}
	}
	f.t.Errorf("the explanation of %s lacks a line: wanted %q in this order in\n%s", id, patterns, text)
	return text
}

// awaitStableHome waits until all nodes use a relay in each availability zone and
// returns the home of bookings, which no longer changes then. Before that, a node
// that has just started chooses homes without the others.
func (f *gatewayFleet) awaitStableHome() string {
	complete := regexp.MustCompile(`"relays in use".*"relays":\["host-\d","host-\d"\]`)
	for _, n := range f.nodes {
		f.await("relays are in use", 5*time.Second, func() bool {
			text, err := os.ReadFile(n.Log)
			qt.Assert(f.t, err, qt.IsNil)
			lines := regexp.MustCompile(`.*"relays in use".*`).FindAllString(string(text), -1)
			return len(lines) > 0 && complete.MatchString(lines[len(lines)-1])
		})
	}
	qt.Assert(f.t, f.send(0, "POST", "book", "asked").StatusCode, qt.Equals, 200)
	return regexp.MustCompile(`home (host-\d)`).FindStringSubmatch(f.checkExplanation("asked", `answered \(.*home host-`))[1]
}

// setService sets the behavior of all targets of a service.
func (f *gatewayFleet) setService(service string, b backend.Behavior) {
	for _, t := range f.backends {
		if t.Service == service {
			t.Set(b)
		}
	}
}

// TestExplainRefusalUnderOverload guards against refusals that cannot be explained
// from the logs. 120 concurrent requests arrive, far more than the targets have slots
// for; each refusal must have its reason in the explanation, and at least one must
// name a rule of the queue.
func TestExplainRefusalUnderOverload(t *testing.T) {
	f := startGatewayFleet(t, 3, 2)
	f.awaitStableHome()
	f.setService("look", backend.Behavior{Work: 400 * time.Millisecond})
	f.load("slow", 40, 0, 1, 2) // the nodes learn the routes' usual latency
	var wg sync.WaitGroup
	statuses := make([]int, 120)
	for i := range statuses {
		wg.Go(func() { statuses[i] = f.send(i%3, "GET", "look", fmt.Sprintf("crest-%d", i)).StatusCode })
	}
	wg.Wait()
	refused, byQueue := 0, 0
	for i, status := range statuses {
		if status != 503 {
			continue
		}
		refused++
		text := f.checkExplanation(fmt.Sprintf("crest-%d", i),
			`(for service look was refused before it ran, because|attempt ended \(.*verdict (refused|timeout|unreachable)|second attempt refused)`,
			`answered \(.*outcome not-run; .*status 503`)
		if regexp.MustCompile(`refused before it ran, .*\(rule (too_late|queue_full)\).*healthy slots`).MatchString(text) {
			byQueue++
		}
	}
	qt.Check(t, refused > 0, qt.IsTrue, qt.Commentf("%v", statuses))
	qt.Check(t, byQueue > 0, qt.IsTrue)
}

// TestExplainBookingAfterHomeLoss guards against a booking of unknown outcome that
// cannot be explained from the logs. The home of bookings is killed, and the targets
// reset the connection of each request.
func TestExplainBookingAfterHomeLoss(t *testing.T) {
	f := startGatewayFleet(t, 4, 2)
	home := f.awaitStableHome()
	entry := slices.IndexFunc(f.specs, func(g process.Gateway) bool { return g.Name != home })
	lost := slices.IndexFunc(f.specs, func(g process.Gateway) bool { return g.Name == home })
	f.setService("book", backend.Behavior{Work: 10 * time.Millisecond, LoseShare: 1})
	f.nodes[lost].Kill()
	qt.Assert(t, f.send(entry, "POST", "book", "booked").StatusCode, qt.Equals, 502)
	f.checkExplanation("booked",
		`(relay lost|home does not answer) \(.*`+home,
		`attempt ended \(.*request booked; service book; target i-book-\d; verdict reset`,
		`answered \(.*outcome unknown; .*request booked; .*status 502; target i-book-\d`)
}

// TestExplainLookupOnFailingTargets guards against a failed lookup whose explanation
// lacks the state of its target or the attempts. All targets of lookups reset the
// connection of each request.
func TestExplainLookupOnFailingTargets(t *testing.T) {
	f := startGatewayFleet(t, 3, 2)
	f.awaitStableHome()
	f.setService("look", backend.Behavior{Work: 10 * time.Millisecond, ResetShare: 1})
	for i := range 4 {
		f.send(i%3, "GET", "look", fmt.Sprintf("before-%d", i))
	}
	status := f.send(0, "GET", "look", "gray").StatusCode
	qt.Assert(t, status >= 500, qt.IsTrue, qt.Commentf("status %d", status))
	f.checkExplanation("gray",
		`target i-look-\d#\w+ of service look changed its state \(from serving to suspected\).*rule belief.* ended .* ago: reset`,
		`attempt ended \(.*home (host-\d|none); .*request gray; service look; target i-look-\d; verdict reset`,
		`answered \(.*request gray; .*status 50`)
}
