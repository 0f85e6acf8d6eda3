package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// queueLength is the number of requests that a server queues beside its slots.
const queueLength = 8

// Run is one request that a server began to work on.
type Run struct {
	Request, Service, Server, Method, Target string
	Start                                    time.Time
	// Answered is set if the answer was handed to the connection.
	Answered bool
}

// Ledger holds the runs of all servers. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs []*Run
}

// Runs returns the runs so far.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Run, len(l.runs))
	for i, r := range l.runs {
		list[i] = *r
	}
	return list
}

func (l *Ledger) begin(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *Ledger) answered(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Answered = true
}

// ServerSpec describes a server.
type ServerSpec struct {
	ID, Service string
	Slots       int
	// Work is the service time of a request.
	Work time.Duration
	// Hang is the number of requests, from the first one on, whose answers take until
	// their callers leave.
	Hang int
}

// Server is a sound backend by the platform's pages.
type Server struct {
	ServerSpec
	record *Record
	ledger *Ledger
	http   *http.Server
	slots  chan struct{}
	queue  chan struct{}

	mu   sync.Mutex
	seen int
}

// StartServer starts a server and registers it in the store.
func StartServer(spec ServerSpec, p *Platform, l *Ledger, r *Record) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ServerSpec: spec, record: r, ledger: l, slots: make(chan struct{}, spec.Slots), queue: make(chan struct{}, spec.Slots+queueLength)}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	return s, p.put("servers/"+spec.ID, map[string]any{
		"address": listener.Addr().String(), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": spec.Service, "version": "v1", "zone": Zones[0], "slots": spec.Slots},
		"status": map[string]any{"state": "ready", "seq": 1, "cold-left-s": 0},
	})
}

// Close stops the server.
func (s *Server) Close() { _ = s.http.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	switch expected := r.Header.Get("X-Expect-Backend"); {
	case r.URL.Path == "/health":
		w.Header().Set("X-Backend-Id", s.ID)
		return
	case expected != "" && expected != s.ID:
		w.Header().Set("X-Backend-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.queue <- struct{}{}:
		defer func() { <-s.queue }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	run := &Run{Request: id, Service: s.Service, Server: s.ID, Method: r.Method, Target: r.RequestURI, Start: time.Now()}
	s.ledger.begin(run)
	s.record.Notef("run       %s %s %s on %s of %s", id, r.Method, r.RequestURI, s.ID, s.Service)
	select {
	case <-time.After(s.workTime()):
	case <-r.Context().Done():
		s.record.Notef("dropped   %s on %s: its connection has closed", id, s.ID)
		return
	}
	text := fmt.Sprintf("answer of %s of %s to %s\n", s.ID, s.Service, id)
	w.Header().Set("X-Backend-Stamp", s.ID+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if _, err := io.WriteString(w, text); err == nil && http.NewResponseController(w).Flush() == nil {
		s.ledger.answered(run)
	}
}

// workTime returns the service time of the next request.
func (s *Server) workTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen++
	if s.seen <= s.Hang {
		return time.Hour
	}
	return s.Work
}
