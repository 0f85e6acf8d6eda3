// Package backend is a stand-in target that speaks the platform's published
// protocol: it reports itself to the store, names the request that it answers,
// and keeps a ledger of what it ran.
package backend

import (
	"bytes"
	"context"
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
	// HeaderStamp is the mark of a backend in its answers.
	HeaderStamp = "X-Backend-Stamp"
	// HeaderWork asks for work of that length, as in 1.5s, instead of the usual one.
	HeaderWork = "X-Test-Work"
	// HeaderAnswerBytes asks for an answer of that many bytes at least.
	HeaderAnswerBytes = "X-Test-Answer-Bytes"
)

// Behavior says how a backend treats requests. Shares are from 0 to 1.
type Behavior struct {
	// Work is the time that a request takes, and Works that of those to single
	// paths.
	Work  time.Duration
	Works map[string]time.Duration
	// ResetShare are reset before they run, LoseShare run and reset, ErrorShare
	// run and answered with 500, HangShare never answered.
	ResetShare, LoseShare, ErrorShare, HangShare float64
	// RefuseAll has every request refused as not run.
	RefuseAll bool
	// DuplicateShare get a second answer behind the first.
	DuplicateShare float64
	// EndlessShare run and get an answer of the kind Endless, which has no end.
	EndlessShare float64
	Endless      endless.Kind
	// Trickle is the time between two pieces of such an answer; 0 sends as much
	// as the caller takes.
	Trickle time.Duration
}

// Spec describes a backend.
type Spec struct {
	// ID, Service and AvailabilityZone are reported to the store.
	ID               string
	Service          string
	AvailabilityZone string
	// Slots is the number of requests run at once.
	Slots int
	// Advertise returns the address that is reported for the one listened on, as
	// that of a fault proxy; nil reports the latter.
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
	// writing is held while the entry is written, so that the latest state stays.
	writing sync.Mutex
	lease   atomic.Value // platform.LeaseID
	stop    context.CancelFunc
}

// reportInterval is how often a backend keeps its entry alive, and leaseTTL how
// long the entry outlives it.
const (
	reportInterval = 300 * time.Millisecond
	leaseTTL       = time.Second
)

// Start runs a backend that reports to the store and records to the ledger.
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

// Address returns the address that the backend reports.
func (b *Backend) Address() string { return b.address }

// Set changes the behavior.
func (b *Backend) Set(behavior Behavior) { b.behavior.Store(&behavior) }

// Leave reports to the store that the backend takes no new work.
func (b *Backend) Leave(ctx context.Context) error {
	b.leaving.Store(true)
	return b.write(ctx)
}

// Close ends the backend without a word; its entry runs out.
func (b *Backend) Close() {
	b.closed.Store(true)
	b.stop()
	_ = b.server.Close()
}

// report keeps the entry in the store alive.
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

// renew keeps the lease of the entry, or writes the entry under a new one.
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

// write writes the entry.
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

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	behavior := *b.behavior.Load()
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
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
	number := b.ledger.arrive(Arrival{Request: id, Service: b.Service, Target: b.ID, At: time.Now()})
	end := b.run(w, r, behavior, id, body)
	if end == CallerLeft && b.closed.Load() {
		end = TargetClosed
	}
	b.ledger.finish(number, end, time.Now())
}

// run takes a request that has arrived, and returns how its handling ended.
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
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return Answered
	}
	b.ledger.add(Run{Request: id, Path: r.URL.Path, Target: b.ID, Start: time.Now()})
	if !b.work(r, behavior) {
		return CallerLeft
	}
	return b.answer(w, r, behavior, id, body)
}

// work takes the time of a run; it reports false if the caller leaves meanwhile.
func (b *Backend) work(r *http.Request, behavior Behavior) bool {
	d, found := behavior.Works[r.URL.Path]
	if !found {
		d = behavior.Work
	}
	if asked, err := time.ParseDuration(r.Header.Get(HeaderWork)); err == nil {
		d = asked
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
	size, _ := strconv.Atoi(r.Header.Get(HeaderAnswerBytes)) // 0 where nothing is asked for
	text := LongAnswer(id, body, size)
	if behavior.Endless != "" && drawn(behavior.EndlessShare) {
		b.endless(w, behavior, id, text)
		return CallerLeft
	}
	if drawn(behavior.DuplicateShare) {
		b.twice(w, id, text)
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

// Answer is the body of the answer to a request.
func Answer(id string, body []byte) []byte {
	return fmt.Appendf(nil, "answer to %s with %d bytes: %x", id, len(body), body)
}

// LongAnswer is the body of an answer of at least a size.
func LongAnswer(id string, body []byte, size int) []byte {
	text := Answer(id, body)
	return bytes.Repeat(text, max(1, (size+len(text)-1)/len(text)))
}

func (b *Backend) stamp(id string) string { return b.ID + "." + id }

// twice writes the same answer two times.
func (b *Backend) twice(w http.ResponseWriter, id string, text []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderRequestID, id, HeaderStamp, b.stamp(id), len(text), text)
	_, _ = c.Write([]byte(one))
	time.Sleep(20 * time.Millisecond)
	_, _ = c.Write([]byte(one))
	time.Sleep(time.Second)
	_ = c.Close()
}

// endless writes an answer without end until the caller closes.
func (b *Backend) endless(w http.ResponseWriter, behavior Behavior, id string, text []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	headers := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", platform.HeaderRequestID, id, HeaderStamp, b.stamp(id))
	start := time.Now()
	// The write fails once the caller has closed; that is its only end.
	sent, _ := endless.Write(c, behavior.Endless, headers, string(text), behavior.Trickle)
	b.ledger.closed(EndlessAnswer{Request: id, Target: b.ID, Kind: behavior.Endless, Sent: sent, Start: start, At: time.Now()})
}

// reset breaks the connection off.
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

func drawn(share float64) bool { return share > 0 && rand.Float64() < share }
