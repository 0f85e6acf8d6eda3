// Package standin serves the in-memory platform over HTTP, with additional paths that
// inject faults. It is for tests and demonstrations only: nothing is persisted.
package standin

import (
	"context"
	"net"
	"net/http"
	"strconv"
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
	// PathFaults sets the faults of the store, as JSON (PUT).
	PathFaults = "/standin/faults"
	// PathHostFaults sets the faults of the host list, as JSON (PUT).
	PathHostFaults = "/standin/host-faults"
	// PathHosts replaces the host list, as JSON (PUT).
	PathHosts = "/standin/hosts"
	// PathCalls returns the numbers of calls, a CallCounts as JSON (GET).
	PathCalls = "/standin/calls"
	// PathBackup makes a backup of the store (POST).
	PathBackup = "/standin/backup"
	// PathRestore restores the latest backup (POST).
	PathRestore = "/standin/restore"
	// PathExpireLeases expires all leases (POST).
	PathExpireLeases = "/standin/lapse-leases"
)

// shutdownTimeout is how long Close waits for calls in progress.
const shutdownTimeout = 100 * time.Millisecond

// Standin is an in-memory platform served over HTTP.
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

// CallCounts holds the numbers of calls to a stand-in so far.
type CallCounts struct {
	// Store and Hosts count the calls to the store and to the host list.
	Store memory.Calls `json:"store"`
	Hosts memory.Calls `json:"hosts"`
}

// Start starts a stand-in on the address; port 0 takes a free port.
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

// URL returns the base URL of the stand-in.
func (s *Standin) URL() string { return "http://" + s.address }

// Wait waits for the server to end and returns its error.
func (s *Standin) Wait() error { return <-s.done }

// Close stops the server. Waiting watches fail.
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
	s.server.Use(func(ctx context.Context, c *app.RequestContext) {
		c.Next(ctx)
		c.Header("Store-Era", strconv.Itoa(s.Store.Era()))
	})
	s.registerProtocol()
	s.server.PUT(PathFaults, func(_ context.Context, c *app.RequestContext) { setJSON(c, s.Store.SetFaults) })
	s.server.PUT(PathHostFaults, func(_ context.Context, c *app.RequestContext) { setJSON(c, s.Hosts.SetFaults) })
	s.server.PUT(PathHosts, func(_ context.Context, c *app.RequestContext) { setJSON(c, s.Hosts.SetHosts) })
	s.server.GET(PathCalls, func(_ context.Context, c *app.RequestContext) {
		c.JSON(http.StatusOK, CallCounts{Store: s.Store.Calls(), Hosts: s.Hosts.Calls()})
	})
	s.server.POST(PathBackup, func(context.Context, *app.RequestContext) { s.backup = s.Store.Copy() })
	s.server.POST(PathRestore, func(context.Context, *app.RequestContext) { s.Store.Restore(s.backup) })
	s.server.POST(PathExpireLeases, func(context.Context, *app.RequestContext) { s.Store.ExpireLeases() })
}

// setJSON decodes the JSON body of the request and passes the value to set.
func setJSON[T any](c *app.RequestContext, set func(T)) {
	var v T
	if err := c.BindJSON(&v); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	set(v)
}
