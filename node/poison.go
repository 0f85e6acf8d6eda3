package node

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"filbertmill.example/config/routing"
	"filbertmill.example/event"
	"filbertmill.example/outcome"
	"filbertmill.example/poison"
	"filbertmill.example/pool"
)

const (
	// crashDialTimeout limits the dial that checks whether a target still
	// listens after it broke a connection off.
	crashDialTimeout = 250 * time.Millisecond
	// crashReadTimeout is how long a new connection must stay open to count as
	// one to a running target: a proxy in front of a target that is down may
	// accept connections and close them.
	crashReadTimeout = 50 * time.Millisecond
)

// fingerprint returns the same value for requests that are equal to a target. It
// leaves out the port in the Host header, which depends on the listener of the
// node that received the request.
func (r *request) fingerprint() poison.Fingerprint {
	h := &r.outbound.Header
	return poison.NewFingerprint(string(h.Method()), routing.HostName(string(h.Host())), string(h.RequestURI()), r.body.digest())
}

// digest returns the xxhash of the body. For a large body it covers only the
// start and the length.
func (b *requestBody) digest() uint64 {
	if b.stream == nil {
		return xxhash.Sum64(b.small)
	}
	d := xxhash.New()
	_, _ = d.Write(b.head) // never fails, as documented
	_, _ = d.WriteString(strconv.Itoa(b.length))
	return d.Sum64()
}

// isDown reports whether a target does not keep a new connection open. It
// distinguishes a crashed target from a lost connection.
func isDown(address string) bool {
	c, err := net.DialTimeout("tcp", address, crashDialTimeout)
	if err != nil {
		return true
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(crashReadTimeout))
	_, err = c.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// refuseIfPoison refuses an attempt whose fingerprint is in quarantine. It
// reports whether it did.
func (p *servicePool) refuseIfPoison(now time.Time, m submitCommand) bool {
	entry, refuse := p.control.poison.Check(now, m.fingerprint)
	if refuse {
		m.reply <- grant{refusal: &pool.Refusal{Reason: outcome.ReasonPoison, RetryAfter: entry.Until.Sub(now)}}
	}
	return refuse
}

// trackCrash reports the outcome of an attempt to the poison tracker. If this
// puts the fingerprint in quarantine, the request caused the crashes, and the
// Scheduler no longer counts them against the targets. trackCrash calls notified
// when the successors have received the quarantine, and immediately if there is
// none.
func (p *servicePool) trackCrash(now time.Time, m finishCommand, notified func()) {
	switch {
	case m.result.Verdict == pool.VerdictAnswered || m.result.Verdict == pool.VerdictServerError:
		p.control.poison.RecordSuccess(now, m.attempt.fingerprint)
		notified()
		return
	case !m.attempt.crashed:
		notified()
		return
	}
	entry, quarantined := p.control.poison.RecordCrash(poison.Report{
		Fingerprint: m.attempt.fingerprint,
		Service:     p.service.Name,
		Route:       m.attempt.route,
		Request:     m.attempt.request,
		Crash:       poison.Crash{Target: m.attempt.target, Started: m.attempt.start, Ended: now},
	})
	if !quarantined {
		notified()
		return
	}
	for _, crash := range entry.Crashes {
		p.sched.Absolve(now, crash.Target, crash.Started)
	}
	p.Event(quarantineEvent(now, entry))
	p.control.env.spreadQuarantine(entry, notified)
}

// quarantineEvent returns the event that explains a quarantine.
func quarantineEvent(now time.Time, e poison.Entry) event.Event {
	targets := make([]string, len(e.Crashes))
	for i, crash := range e.Crashes {
		targets[i] = crash.Target
	}
	return event.Event{
		Time: now, Kind: event.KindPoison, Service: e.Service, Request: e.Request,
		Rule: "crashed_targets", To: "quarantined",
		Evidence: event.Evidence{
			Failures:  len(targets),
			Threshold: float64(poison.DefaultConfig().Targets),
			Wait:      e.Until.Sub(now),
			Detail:    "fingerprint " + e.Fingerprint.String() + " crashed " + strings.Join(targets, ", "),
		},
	}
}
