// Package standin serves the in-memory platform over HTTP, with paths to bring
// faults about. It is for tests and demonstrations only: it keeps nothing.
package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cockroachdb/errors"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/memory"
)

// Paths that only a stand-in has.
const (
	// PathFaults takes the store's faults as JSON (PUT).
	PathFaults = "/standin/faults"
	// PathHostFaults takes the host list's faults as JSON (PUT).
	PathHostFaults = "/standin/host-faults"
	// PathHosts takes the host list as JSON (PUT).
	PathHosts = "/standin/hosts"
	// PathCalls returns the calls counted as JSON (GET).
	PathCalls = "/standin/calls"
	// PathBackup keeps a copy of the store (POST).
	PathBackup = "/standin/backup"
	// PathRestore goes back to the copy kept last (POST).
	PathRestore = "/standin/restore"
	// PathLapse ends all leases (POST).
	PathLapse = "/standin/lapse-leases"
)

const shutdownTimeout = 100 * time.Millisecond

// Standin is a platform in memory behind HTTP.
type Standin struct {
	// Store and Hosts may be used directly by the process that runs the stand-in.
	Store *memory.Store
	Hosts *memory.HostList

	server  *server.Hertz
	address string
	done    chan error
	backup  memory.Copy
	close   sync.Once
}

// CallCounts are the calls to a stand-in so far.
type CallCounts struct {
	// Store and Hosts count the calls to the store and to the host list.
	Store memory.Calls `json:"store"`
	Hosts memory.Calls `json:"hosts"`
}

// Start serves a new stand-in on the address; port 0 takes any free one.
func Start(address string) (*Standin, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	s := &Standin{
		Store:   memory.NewStore(),
		Hosts:   memory.NewHostList(),
		address: l.Addr().String(),
		done:    make(chan error, 1),
	}
	s.server = server.New(
		server.WithListener(l),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(2*platform.MaxValueBytes),
		server.WithExitWaitTime(shutdownTimeout),
	)
	s.routes()
	go func() { s.done <- s.server.Run() }()
	return s, nil
}

// URL returns the base URL of the service.
func (s *Standin) URL() string { return "http://" + s.address }

// Wait returns when the service has ended.
func (s *Standin) Wait() error { return <-s.done }

// Close ends the service; waiting watches fail.
func (s *Standin) Close() error {
	var err error
	s.close.Do(func() {
		s.Store.SetFaults(memory.Faults{Unavailable: true})
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		err = s.server.Shutdown(ctx)
	})
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func (s *Standin) routes() {
	s.registerProtocol()
	s.server.PUT(PathFaults, func(_ context.Context, c *app.RequestContext) { setJSON(c, s.Store.SetFaults) })
	s.server.PUT(PathHostFaults, func(_ context.Context, c *app.RequestContext) { setJSON(c, s.Hosts.SetFaults) })
	s.server.PUT(PathHosts, func(_ context.Context, c *app.RequestContext) { setJSON(c, s.Hosts.SetHosts) })
	s.server.GET(PathCalls, func(_ context.Context, c *app.RequestContext) {
		c.JSON(http.StatusOK, CallCounts{Store: s.Store.Calls(), Hosts: s.Hosts.Calls()})
	})
	s.server.POST(PathBackup, func(context.Context, *app.RequestContext) { s.backup = s.Store.Copy() })
	s.server.POST(PathRestore, func(context.Context, *app.RequestContext) { s.Store.Restore(s.backup) })
	s.server.POST(PathLapse, func(context.Context, *app.RequestContext) { s.Store.ExpireLeases() })
}

// setJSON passes the request's JSON body to set.
func setJSON[T any](c *app.RequestContext, set func(T)) {
	var v T
	if err := c.BindJSON(&v); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	set(v)
}
