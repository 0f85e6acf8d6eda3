package target

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertmill.example/testbed/answer"
)

// serve handles one request.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	b := t.Behavior()
	if b.Swallow {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	t.announce(w.Header())
	switch r.URL.Path {
	case HealthPath:
		t.serveHealth(w)
	case LoadPath:
		t.serveLoad(w)
	default:
		t.serveWork(w, r, b)
	}
}

// serveWork runs one request in a slot.
func (t *Target) serveWork(w http.ResponseWriter, r *http.Request, b Behavior) {
	digest, err := digestOf(r.Body)
	if err != nil {
		return // the caller left while it sent the body
	}
	if !t.acquire(r.Context()) {
		w.Header().Set(answer.HeaderShed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()

	run := t.begin(r)
	if poison := r.Header.Get(answer.HeaderPoison); poison != "" {
		if poison == answer.PoisonInAnswer {
			size, _ := strconv.Atoi(r.Header.Get(answer.HeaderBytes))
			replyInPart(w, answer.Make(run.Request, digest, size))
		}
		t.Crash()
		return
	}
	fails := t.draw(b.FailShare)
	if t.draw(b.HangShare) {
		<-r.Context().Done()
		return
	}
	if !(fails && b.FailFast) && !wait(r.Context(), t.workTime(r, b)) {
		return // cancelled
	}
	t.ledger.done(run)
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	size, _ := strconv.Atoi(r.Header.Get(answer.HeaderBytes))
	t.reply(w, b, answer.Make(run.Request, digest, size), run.Request)
}

// acquire takes a slot. It returns false if the request is shed or its caller has left.
func (t *Target) acquire(ctx context.Context) bool {
	if t.cfg.Overflow == OverflowShed {
		select {
		case t.slots <- struct{}{}:
			return true
		default:
			return false
		}
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// begin records the start of a run.
func (t *Target) begin(r *http.Request) *Run {
	attempt, _ := strconv.Atoi(r.Header.Get(answer.HeaderAttempt))
	run := Run{
		Request: r.Header.Get(answer.HeaderRequest),
		Attempt: attempt,
		Target:  t.cfg.Name,
		Start:   time.Now(),
	}
	if since, leaving := t.leavingSince(); leaving {
		run.SinceLeaving = run.Start.Sub(since)
	}
	return t.ledger.started(run)
}

// workTime returns the service time of the request in the current state of the target.
func (t *Target) workTime(r *http.Request, b Behavior) time.Duration {
	d, err := time.ParseDuration(r.Header.Get(answer.HeaderWork))
	if err != nil {
		d = t.cfg.Work
	}
	factor := 1.0
	if b.SlowFactor > 0 {
		factor = b.SlowFactor
	}
	t.mu.Lock()
	cold := time.Now().Before(t.warm)
	t.mu.Unlock()
	if cold && t.cfg.ColdFactor > 0 {
		factor *= t.cfg.ColdFactor
	}
	return time.Duration(float64(d) * factor)
}

// wait waits for d. It returns false if the context ends first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// digestOf reads a body to its end and returns its digest.
func digestOf(body io.Reader) (answer.Digest, error) {
	h := xxhash.New()
	n, err := io.Copy(h, body)
	return answer.Digest{Bytes: n, Sum: h.Sum64()}, err
}
