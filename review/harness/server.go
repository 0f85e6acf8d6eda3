package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"filbertmill.example/platform"
)

// Heartbeat is the interval at which a server reports itself. Its entry ends after
// three of them without a report.
const Heartbeat = 1500 * time.Millisecond

// HeaderStamp marks the answers of servers.
const HeaderStamp = "X-Backend-Stamp"

// Server is a sound target by the platform's protocol: it runs a number of requests
// at once, queues a few more, and turns away the rest as not run.
type Server struct {
	ID, Service, Zone string

	// Runs counts the runs of all requests.
	Runs *Runs
	// AnswerBytes is the least size of the body of an answer.
	AnswerBytes int

	record  *Record
	store   *platform.Client
	address string
	born    int64
	server  *http.Server
	slots   chan struct{}
	queue   chan struct{}
	work    atomic.Int64
	// loseShare is the share of requests, in percent, that run and whose answer is lost.
	loseShare atomic.Int64
	stop      context.CancelFunc
}

// StartServer starts a server that registers itself in the store.
func StartServer(p *Platform, r *Record, runs *Runs, id, service, zone string, slots, queue int, work time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		ID: id, Service: service, Zone: zone, Runs: runs, record: r, store: p.Store, address: l.Addr().String(), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queue), stop: stop,
	}
	s.SetWork(work)
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	go s.report(ctx)
	return s, nil
}

// SetWork sets how long a request takes.
func (s *Server) SetWork(d time.Duration) { s.work.Store(int64(d)) }

// LoseAnswers makes the server run a share of its requests, in percent, and reset their
// connections in place of an answer.
func (s *Server) LoseAnswers(percent int) { s.loseShare.Store(int64(percent)) }

// Close stops the server.
func (s *Server) Close() {
	s.stop()
	_ = s.server.Close()
}

// report keeps the server's entry in the store.
func (s *Server) report(ctx context.Context) {
	var lease platform.LeaseID
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, Heartbeat)
		if lease == "" || s.store.KeepAlive(callCtx, lease) != nil {
			lease = s.register(callCtx)
		}
		cancel()
		select {
		case <-time.After(Heartbeat):
		case <-ctx.Done():
		}
	}
}

// register writes the server's entry under a new lease, and returns the lease, or none
// if that failed.
func (s *Server) register(ctx context.Context) platform.LeaseID {
	lease, err := s.store.Grant(ctx, 3*Heartbeat)
	if err != nil {
		return ""
	}
	value, err := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.Service, "version": "v1", "zone": s.Zone, "slots": cap(s.slots)},
		"status": map[string]any{"state": "ready", "seq": 1, "cold-left-s": 0},
	})
	if err != nil {
		return ""
	}
	if _, err := s.store.Txn(ctx, nil, []platform.Put{{Key: platform.TargetPrefix + s.ID, Value: value, Lease: lease}}); err != nil {
		return ""
	}
	return lease
}

// Sum identifies a body of a request or an answer.
func Sum(sum uint32, n int64) string { return fmt.Sprintf("%d bytes, crc %08x", n, sum) }

// Answer is the body of the answer to a request with a body of n bytes. It has at least
// size bytes.
func Answer(id string, sum uint32, n int64, size int) string {
	text := fmt.Sprintf("answer to %s, %s\n", id, Sum(sum, n))
	return strings.Repeat(text, max(1, (size+len(text)-1)/len(text)))
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	if expected := r.Header.Get(platform.HeaderExpectTarget); expected != "" && expected != s.ID {
		w.Header().Set(platform.HeaderTargetID, s.ID)
		w.WriteHeader(platform.StatusMisdirected)
		return
	}
	sum := crc32.NewIEEE()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		s.record.Line("%s: %s broke off after %d bytes: %v", s.ID, id, n, err)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set(platform.HeaderTargetID, s.ID)
		return
	}
	if !s.enter(r) {
		s.record.Line("%s: %s turned away, not run", s.ID, id)
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots; <-s.queue }()
	s.Runs.Begin(id, s.Service)
	s.record.Line("%s: %s runs: %s %s, %s", s.ID, id, r.Method, r.URL.RequestURI(), Sum(sum.Sum32(), n))
	select {
	case <-time.After(time.Duration(s.work.Load())):
	case <-r.Context().Done():
		s.record.Line("%s: %s ends: its connection was closed", s.ID, id)
		return
	}
	s.Runs.End(id)
	if rand.Int64N(100) < s.loseShare.Load() {
		s.record.Line("%s: %s ran, and its answer is lost", s.ID, id)
		reset(w)
		return
	}
	text := Answer(id, sum.Sum32(), n, s.AnswerBytes)
	w.Header().Set(HeaderStamp, s.ID+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, err = io.WriteString(w, text)
	s.record.Line("%s: %s answered, error %v", s.ID, id, err)
}

// reset closes the connection of a request with a TCP reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// enter waits for a slot. It returns false if the request is turned away: the queue is
// full, or its connection closes.
func (s *Server) enter(r *http.Request) bool {
	select {
	case s.queue <- struct{}{}:
	default:
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		<-s.queue
		return false
	}
}
