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
	// crashDialTimeout bounds the look at whether a target that broke a
	// connection off still listens.
	crashDialTimeout = 250 * time.Millisecond
	// crashReadTimeout is how long a new connection must stay open to count as
	// one to a running target: something in front of a target that is down may
	// accept connections and close them.
	crashReadTimeout = 50 * time.Millisecond
)

// fingerprint identifies requests that are the same to a target, whichever
// port of whichever node they came to.
func (r *request) fingerprint() poison.Fingerprint {
	h := &r.onward.Header
	return poison.NewFingerprint(string(h.Method()), routing.HostName(string(h.Host())), string(h.RequestURI()), r.body.digest())
}

// digest returns xxhash of the body; of a large one, of its start and length.
func (b *requestBody) digest() uint64 {
	if b.stream == nil {
		return xxhash.Sum64(b.small)
	}
	d := xxhash.New()
	_, _ = d.Write(b.head) // never fails, as documented
	_, _ = d.WriteString(strconv.Itoa(b.length))
	return d.Sum64()
}

// isDown reports whether a target takes no connection. It tells a target that
// crashed from a connection that was lost.
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

// refuseIfPoison answers an attempt whose fingerprint is in quarantine.
func (p *servicePool) refuseIfPoison(now time.Time, m submitCommand) bool {
	entry, refuse := p.control.poison.Check(now, m.fingerprint)
	if refuse {
		m.reply <- grant{refusal: &pool.Refusal{Reason: outcome.ReasonPoison, RetryAfter: entry.Until.Sub(now)}}
	}
	return refuse
}

// judge tells the tracker how an attempt ended. The targets that a fingerprint
// crashed are absolved once it is known to be the cause. It calls told once the
// successors know of a quarantine, and at once if there is none.
func (p *servicePool) judge(now time.Time, m finishCommand, told func()) {
	switch {
	case m.result.Verdict == pool.VerdictAnswered || m.result.Verdict == pool.VerdictServerError:
		p.control.poison.RecordSuccess(m.attempt.fingerprint)
		told()
		return
	case !m.attempt.crashed:
		told()
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
		told()
		return
	}
	for _, crash := range entry.Crashes {
		p.sched.Absolve(now, crash.Target, crash.Started)
	}
	p.Event(quarantineEvent(now, entry))
	p.control.env.spreadQuarantine(entry, told)
}

// quarantineEvent explains a quarantine.
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
