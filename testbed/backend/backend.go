// Package backend is a stand-in target that speaks the platform's published
// protocol: it registers itself in the store, repeats the id of the request that it
// answers, and records the requests that it ran in a ledger.
package backend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/endless"
)

const (
	// HeaderStamp carries the id of the backend and of the request in an answer.
	HeaderStamp = "X-Backend-Stamp"
	// HeaderWork sets the service time of a request, for example 1.5s, in place of
	// the one of Behavior.
	HeaderWork = "X-Test-Work"
	// HeaderNode names the node to which the caller sent the request.
	HeaderNode = "X-Test-Node"
	// HeaderAnswerBytes sets the least number of bytes in the body of the answer.
	HeaderAnswerBytes = "X-Test-Answer-Bytes"
)

// Behavior configures how a backend handles requests. Shares are from 0 to 1 and
// are drawn for each request.
type Behavior struct {
	// Work is the service time of a request. Works overrides it for single paths.
	Work  time.Duration
	Works map[string]time.Duration
	// ResetShare is the share of requests whose connection is reset before they
	// run, LoseShare of those that run and whose connection is then reset,
	// ErrorShare of those that run and are answered 500, and HangShare of those
	// that run and are never answered.
	ResetShare, LoseShare, ErrorShare, HangShare float64
	// RefuseAll refuses every request as not run.
	RefuseAll bool
	// DuplicateShare is the share of requests whose answer is sent a second time after
	// the first.
	DuplicateShare float64
	// EndlessShare is the share of requests that run and get an answer without end,
	// of the kind Endless.
	EndlessShare float64
	Endless      endless.Kind
	// RateLimit, Leaving and Pause are the values of the headers by which the backend
	// states in all answers how many requests it accepts, that it leaves, and, in
	// refusals, for how long it wants none. Empty values are not sent.
	RateLimit, Leaving, Pause string
	// Trickle is the time between two writes of such an answer; 0 sends as fast as
	// the caller reads.
	Trickle time.Duration
}

// Spec describes a backend.
type Spec struct {
	// ID, Service and AvailabilityZone are written to the store.
	ID               string
	Service          string
	AvailabilityZone string
	// Slots is the number of requests run concurrently.
	Slots int
	// Advertise maps the address that the backend listens on to the one written to
	// the store, for example that of a fault proxy. If nil, the address listened
	// on is written.
	Advertise func(address string) (string, error)
}

// Backend is a running stand-in.
type Backend struct {
	Spec
	ledger   *Ledger
	store    *platform.Client
	address  string
	born     int64
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	behavior atomic.Pointer[Behavior]
	leaving  atomic.Bool
	closed   atomic.Bool
	// writing is held while the entry is written, so that an older state never
	// overwrites a newer one.
	writing sync.Mutex
	lease   atomic.Value // platform.LeaseID
	stop    context.CancelFunc
}

// reportInterval is the interval at which a backend renews the lease of its entry.
// leaseTTL is the time for which the entry remains after the last renewal.
const (
	reportInterval = 300 * time.Millisecond
	leaseTTL       = time.Second
)

// Start starts a backend that registers itself in the store and records requests in
// the ledger.
func Start(spec Spec, store *platform.Client, ledger *Ledger) (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "backend")
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &Backend{
		Spec: spec, ledger: ledger, store: store, born: time.Now().UnixMilli(),
		listener: l, slots: make(chan struct{}, spec.Slots), stop: stop,
	}
	b.address = l.Addr().String()
	if spec.Advertise != nil {
		if b.address, err = spec.Advertise(b.address); err != nil {
			stop()
			return nil, errors.Wrap(err, "backend")
		}
	}
	b.behavior.Store(&Behavior{})
	b.lease.Store(platform.LeaseID(""))
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	go b.report(ctx)
	return b, nil
}

// Address returns the address that the backend writes to the store.
func (b *Backend) Address() string { return b.address }

// Set changes the behavior.
func (b *Backend) Set(behavior Behavior) { b.behavior.Store(&behavior) }

// Leave writes to the store that the backend accepts no new requests.
func (b *Backend) Leave(ctx context.Context) error {
	b.leaving.Store(true)
	return b.write(ctx)
}

// Close stops the backend without notice. Its entry stays until the lease expires.
func (b *Backend) Close() {
	b.closed.Store(true)
	b.stop()
	_ = b.server.Close()
}

// report keeps the entry in the store alive until the context ends.
func (b *Backend) report(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, leaseTTL)
		b.renew(callCtx)
		cancel()
		select {
		case <-time.After(reportInterval):
		case <-ctx.Done():
		}
	}
}

// renew renews the lease of the entry, or writes the entry under a new lease.
func (b *Backend) renew(ctx context.Context) {
	lease := b.lease.Load().(platform.LeaseID)
	if lease != "" && b.store.KeepAlive(ctx, lease) == nil {
		return
	}
	b.lease.Store(platform.LeaseID(""))
	id, err := b.store.Grant(ctx, leaseTTL)
	if err != nil {
		return
	}
	b.lease.Store(id)
	if b.write(ctx) != nil {
		b.lease.Store(platform.LeaseID(""))
	}
}

// write writes the entry to the store.
func (b *Backend) write(ctx context.Context) error {
	b.writing.Lock()
	defer b.writing.Unlock()
	state := "ready"
	if b.leaving.Load() {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"address": b.Address(), "born": b.born,
		"info":   map[string]any{"service": b.Service, "version": "v1", "zone": b.AvailabilityZone, "slots": b.Slots},
		"status": map[string]any{"state": state, "seq": 1, "cold-left-s": 0},
	})
	if err != nil {
		return err
	}
	_, err = b.store.Txn(ctx, nil, []platform.Put{{Key: platform.TargetPrefix + b.ID, Value: value, Lease: b.lease.Load().(platform.LeaseID)}})
	return err
}

// setAdvice sets the headers that all answers have.
func (b *Behavior) setAdvice(h http.Header) {
	if b.RateLimit != "" {
		h.Set(platform.HeaderRateLimit, b.RateLimit)
	}
	if b.Leaving != "" {
		h.Set(platform.HeaderLeaving, b.Leaving)
	}
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	behavior := *b.behavior.Load()
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	behavior.setAdvice(w.Header())
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		return
	case r.URL.Path == "/health":
		w.Header().Set(platform.HeaderTargetID, b.ID)
		return
	case r.Header.Get(platform.HeaderExpectTarget) != "" && r.Header.Get(platform.HeaderExpectTarget) != b.ID:
		w.Header().Set(platform.HeaderTargetID, b.ID)
		w.WriteHeader(platform.StatusMisdirected)
		return
	}
	arrival := Arrival{Request: id, Service: b.Service, Target: b.ID, At: time.Now(), Node: r.Header.Get(HeaderNode)}
	if behavior.RefuseAll {
		arrival.Pause = seconds(behavior.Pause)
	}
	index := b.ledger.addArrival(arrival)
	end := b.run(w, r, behavior, id, body)
	if end == CallerLeft && b.closed.Load() {
		end = TargetClosed
	}
	b.ledger.endArrival(index, end, time.Now())
}

// run handles a request that has arrived, and returns how its handling ended.
func (b *Backend) run(w http.ResponseWriter, r *http.Request, behavior Behavior, id string, body []byte) End {
	if drawn(behavior.ResetShare) {
		reset(w)
		return TargetClosed
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		behavior.RefuseAll = true
	}
	if behavior.RefuseAll {
		if behavior.Pause != "" {
			w.Header().Set(platform.HeaderRetryAfter, behavior.Pause)
		}
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return Answered
	}
	b.ledger.addRun(Run{
		Request: id, Path: r.URL.Path, Target: b.ID, Start: time.Now(),
		Workspace: r.Header.Get(platform.HeaderWorkspace), KeySeen: r.Header.Get(platform.HeaderKey) != "",
	})
	if !b.work(r, behavior) {
		return CallerLeft
	}
	return b.answer(w, r, behavior, id, body)
}

// work waits for the service time of a request. It returns false if the caller
// leaves in the meantime.
func (b *Backend) work(r *http.Request, behavior Behavior) bool {
	d, found := behavior.Works[r.URL.Path]
	if !found {
		d = behavior.Work
	}
	if requested, err := time.ParseDuration(r.Header.Get(HeaderWork)); err == nil {
		d = requested
	}
	if drawn(behavior.HangShare) {
		d = time.Hour
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, behavior Behavior, id string, body []byte) End {
	switch {
	case drawn(behavior.LoseShare):
		reset(w)
		return TargetClosed
	case drawn(behavior.ErrorShare):
		w.Header().Set(HeaderStamp, b.stamp(id))
		w.WriteHeader(http.StatusInternalServerError)
		return Answered
	}
	size, _ := strconv.Atoi(r.Header.Get(HeaderAnswerBytes)) // 0 without the header
	text := LongAnswer(id, body, size)
	if behavior.Endless != "" && drawn(behavior.EndlessShare) {
		b.sendEndless(w, behavior, id, text)
		return CallerLeft
	}
	if drawn(behavior.DuplicateShare) {
		b.sendTwice(w, id, text)
		return Answered
	}
	w.Header().Set(HeaderStamp, b.stamp(id))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, err := w.Write(text)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if err != nil {
		return CallerLeft
	}
	return Answered
}

// digestedBody is the size of a body from which on an answer has its hash instead.
const digestedBody = 1<<20 + 1

// Answer is the body of the answer to the request with the given id and body. It has the
// body, or the hash of a large one.
func Answer(id string, body []byte) []byte {
	if len(body) >= digestedBody {
		return fmt.Appendf(nil, "answer to %s with %d bytes and the hash %x", id, len(body), sha256.Sum256(body))
	}
	return fmt.Appendf(nil, "answer to %s with %d bytes: %x", id, len(body), body)
}

// LongAnswer is the body of an answer of at least size bytes: Answer, repeated.
func LongAnswer(id string, body []byte, size int) []byte {
	text := Answer(id, body)
	return bytes.Repeat(text, max(1, (size+len(text)-1)/len(text)))
}

func (b *Backend) stamp(id string) string { return b.ID + "." + id }

// sendTwice writes the same answer twice on the connection.
func (b *Backend) sendTwice(w http.ResponseWriter, id string, text []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderRequestID, id, HeaderStamp, b.stamp(id), len(text), text)
	_, _ = c.Write([]byte(response))
	time.Sleep(20 * time.Millisecond)
	_, _ = c.Write([]byte(response))
	time.Sleep(time.Second)
	_ = c.Close()
}

// sendEndless writes an answer without end until the caller closes the connection.
func (b *Backend) sendEndless(w http.ResponseWriter, behavior Behavior, id string, text []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	headers := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", platform.HeaderRequestID, id, HeaderStamp, b.stamp(id))
	start := time.Now()
	// Write returns only when the caller has closed the connection.
	sent, _ := endless.Write(c, behavior.Endless, headers, string(text), behavior.Trickle)
	b.ledger.addEndlessAnswer(EndlessAnswer{Request: id, Target: b.ID, Kind: behavior.Endless, Sent: sent, Start: start, At: time.Now()})
}

// reset closes the connection with a TCP reset.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// seconds returns a time that is stated in seconds, or 0.
func seconds(text string) time.Duration {
	s, _ := strconv.ParseFloat(text, 64) // 0 without a value
	return time.Duration(s * float64(time.Second))
}

// drawn reports whether an event of the given share happens this time.
func drawn(share float64) bool { return share > 0 && rand.Float64() < share }
