package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// queueLength is the number of requests that a server queues beside its slots.
const queueLength = 8

// ServerSpec describes a server.
type ServerSpec struct {
	ID, Service string
	Slots       int
	// Work is the service time of a request.
	Work time.Duration
}

// Server is a sound backend by the platform's pages.
type Server struct {
	ServerSpec
	record *Record
	http   *http.Server
	slots  chan struct{}
	queue  chan struct{}
}

// StartServer starts a server and registers it in the store.
func StartServer(spec ServerSpec, p *Platform, r *Record) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ServerSpec: spec, record: r, slots: make(chan struct{}, spec.Slots), queue: make(chan struct{}, spec.Slots+queueLength)}
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
	s.record.Notef("run       %s %s %s on %s of %s", id, r.Method, r.RequestURI, s.ID, s.Service)
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		s.record.Notef("dropped   %s on %s: its connection has closed", id, s.ID)
		return
	}
	text := fmt.Sprintf("answer of %s of %s to %s\n", s.ID, s.Service, id)
	w.Header().Set("X-Backend-Stamp", s.ID+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}
