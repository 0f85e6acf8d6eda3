package harness

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

// LostAllowed is the number of requests that the rule LOST allows to be passed on from
// kept connections and to end without an answer.
const LostAllowed = 3

// Tally counts what became of requests.
type Tally struct {
	Record *Record
	// Runs holds what the servers ran.
	Runs Runs

	mu                 sync.Mutex
	lost               []string
	sent, served, odd  int
	twice, deniedToRun []string
}

// Count adds the result of a booking. It is lost if a server ran it, and its kept
// connection ended without an answer before its deadline.
func (t *Tally) Count(res Result) {
	runs := t.Runs.Of(res.ID)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch {
	case res.Status == 200:
		t.served++
	case res.Broken && res.OnKept && res.Sent && runs > 0:
		t.lost = append(t.lost, res.ID)
	case (res.Status == 429 || res.Status == 503) && runs > 0:
		t.deniedToRun = append(t.deniedToRun, res.ID)
	}
	if runs > 1 {
		t.twice = append(t.twice, res.ID)
	}
	if res.Wrong != "" {
		t.odd++
	}
}

// Add adds requests that were counted elsewhere.
func (t *Tally) Add(sent, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent += sent
	t.served += served
}

// ServedShare returns the share of the requests that were served.
func (t *Tally) ServedShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.served) / float64(max(t.sent, 1))
}

// Twice returns the bookings that ran more than once.
func (t *Tally) Twice() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.twice
}

// Report says what was counted, and returns the number of lost bookings.
func (t *Tally) Report() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Record.Say("%d bookings sent, %d served, %d answers wrong, %d run twice, %d refused and run", t.sent, t.served, t.odd, len(t.twice), len(t.deniedToRun))
	t.Record.Say("LOST: %d bookings that a sound server ran ended without an answer on kept connections; %d are allowed", len(t.lost), LostAllowed)
	for _, id := range t.lost {
		t.Record.Line("lost: %s", id)
	}
	return len(t.lost)
}

// Bookings is the steady traffic of one client that keeps its connection.
type Bookings struct {
	// Path is the path. Number, if set, is a format of what follows, with the number of
	// the booking.
	Path     string
	Number   string
	Interval time.Duration
	Deadline time.Duration
	Bytes    int
}

// Send sends bookings to a machine until the end, the first after an offset. While the
// machine is not ready, the balancer would send the client elsewhere.
func (b Bookings) Send(t *Tally, name string, m *Machine, offset time.Duration, end time.Time) {
	c := NewClient(t.Record, name, m.Front)
	defer c.Close()
	body := bytes.Repeat([]byte("b"), b.Bytes)
	time.Sleep(offset)
	for next := time.Now(); time.Now().Before(end); time.Sleep(time.Until(next)) {
		next = next.Add(b.Interval)
		if !m.IsReady() {
			continue
		}
		path := b.Path
		if b.Number != "" {
			path += fmt.Sprintf(b.Number, c.sent+1)
		}
		t.Count(c.Do("POST", path, body, b.Deadline, 0))
	}
}

// StartServers starts a number of servers of a service, spread over the zones.
func StartServers(p *Platform, t *Tally, service string, n, slots, queue int, work time.Duration, zones []string) ([]*Server, error) {
	var servers []*Server
	for i := range n {
		s, err := StartServer(p, t.Record, &t.Runs, service+"-"+string(rune('a'+i)), service, zones[i%len(zones)], slots, queue, work)
		if err != nil {
			return servers, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}
