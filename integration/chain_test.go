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

// explain returns what `filbertmill explain` says of a request by the saved
// lines of all nodes.
func (f *gatewayFleet) explain(id string) string {
	files, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	qt.Assert(f.t, err, qt.IsNil)
	args := append([]string{"explain", "--request", id, "--log"}, files...)
	out, err := exec.Command(binary, args...).CombinedOutput()
	qt.Check(f.t, err, qt.IsNil, qt.Commentf("%s", out))
	return string(out)
}

// checkChain waits until the explanation of a request has a line for each
// pattern, in this order, and returns it.
func (f *gatewayFleet) checkChain(id string, patterns ...string) string {
	f.t.Helper()
	chain := regexp.MustCompile("(?s)" + strings.Join(patterns, ".*\n.*"))
	var text string
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		text = f.explain(id)
		if chain.MatchString(text) {
			return text
		}
	}
	f.t.Errorf("the chain of %s lacks a line: wanted %q in this order in\n%s", id, patterns, text)
	return text
}

// settledHome waits until all nodes use a relay in each availability zone, from
// when homes stay, and returns the home of bookings. A node that has just
// started chooses alone.
func (f *gatewayFleet) settledHome() string {
	settled := regexp.MustCompile(`"relays in use".*"relays":\["host-\d","host-\d"\]`)
	for _, n := range f.nodes {
		f.await("relays are in use", 5*time.Second, func() bool {
			text, err := os.ReadFile(n.Log)
			qt.Assert(f.t, err, qt.IsNil)
			lines := regexp.MustCompile(`.*"relays in use".*`).FindAllString(string(text), -1)
			return len(lines) > 0 && settled.MatchString(lines[len(lines)-1])
		})
	}
	qt.Assert(f.t, f.send(0, "POST", "book", "asked").StatusCode, qt.Equals, 200)
	return regexp.MustCompile(`home (host-\d)`).FindStringSubmatch(f.checkChain("asked", `answered \(.*home host-`))[1]
}

func (f *gatewayFleet) setService(service string, b backend.Behavior) {
	for _, t := range f.backends {
		if t.Service == service {
			t.Set(b)
		}
	}
}

// TestChainOfARefusalAtACrest sends far more work at once than the targets hold.
func TestChainOfARefusalAtACrest(t *testing.T) {
	f := startGatewayFleet(t, 3, 2)
	f.settledHome()
	f.setService("look", backend.Behavior{Work: 400 * time.Millisecond})
	f.load("slow", 40, 0, 1, 2) // the routes' usual latency is learned
	var wg sync.WaitGroup
	statuses := make([]int, 120)
	for i := range statuses {
		wg.Go(func() { statuses[i] = f.send(i%3, "GET", "look", fmt.Sprintf("crest-%d", i)).StatusCode })
	}
	wg.Wait()
	refused, atTheCrest := 0, 0
	for i, status := range statuses {
		if status != 503 {
			continue
		}
		refused++
		text := f.checkChain(fmt.Sprintf("crest-%d", i),
			`(for service look was refused before it ran, because|attempt ended \(.*verdict (refused|timeout|unreachable)|second attempt refused)`,
			`answered \(.*outcome not-run; .*status 503`)
		if regexp.MustCompile(`refused before it ran, .*\(rule (too_late|queue_full)\).*healthy slots`).MatchString(text) {
			atTheCrest++
		}
	}
	qt.Check(t, refused > 0, qt.IsTrue, qt.Commentf("%v", statuses))
	qt.Check(t, atTheCrest > 0, qt.IsTrue)
}

// TestChainOfABookingAfterItsHomeWasLost kills the home of the bookings while
// the targets reset what they are sent.
func TestChainOfABookingAfterItsHomeWasLost(t *testing.T) {
	f := startGatewayFleet(t, 4, 2)
	home := f.settledHome()
	entry := slices.IndexFunc(f.specs, func(g process.Gateway) bool { return g.Name != home })
	lost := slices.IndexFunc(f.specs, func(g process.Gateway) bool { return g.Name == home })
	f.setService("book", backend.Behavior{Work: 10 * time.Millisecond, LoseShare: 1})
	f.nodes[lost].Kill()
	qt.Assert(t, f.send(entry, "POST", "book", "booked").StatusCode, qt.Equals, 502)
	f.checkChain("booked",
		`(relay lost|home does not answer) \(.*`+home,
		`attempt ended \(.*request booked; service book; target i-book-\d; verdict reset`,
		`answered \(.*outcome unknown; .*request booked; .*status 502; target i-book-\d`)
}

// TestChainOfALookupOnGrayTargets has all targets of lookups answer with errors.
func TestChainOfALookupOnGrayTargets(t *testing.T) {
	f := startGatewayFleet(t, 3, 2)
	f.settledHome()
	f.setService("look", backend.Behavior{Work: 10 * time.Millisecond, ResetShare: 1})
	for i := range 4 {
		f.send(i%3, "GET", "look", fmt.Sprintf("before-%d", i))
	}
	status := f.send(0, "GET", "look", "gray").StatusCode
	qt.Assert(t, status >= 500, qt.IsTrue, qt.Commentf("status %d", status))
	f.checkChain("gray",
		`target i-look-\d#\w+ of service look changed its state \(from serving to suspected\).*rule belief.* ended .* ago: reset`,
		`attempt ended \(.*home (host-\d|none); .*request gray; service look; target i-look-\d; verdict reset`,
		`answered \(.*request gray; .*status 50`)
}
