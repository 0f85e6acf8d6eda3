package node

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange/guard"
)

const (
	// idleConnectionTimeout is how long a connection without a request is kept
	// open.
	idleConnectionTimeout = 90 * time.Second
	// progressTimeout limits each single read or write on a connection.
	progressTimeout = 60 * time.Second
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// maxAdminBodyBytes limits the size of the bodies of operators' requests.
	maxAdminBodyBytes = 2 << 20
	// closeTimeout limits the time to close a listener.
	closeTimeout = time.Second
)

// silenceHertz turns off hertz's own log lines, since the node's log is JSON.
var silenceHertz = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// bodyMode selects how a listener reads request bodies.
type bodyMode bool

// The ways to read request bodies.
const (
	streaming bodyMode = true
	buffered  bodyMode = false
)

// listener is an HTTP server with the address it is bound to.
type listener struct {
	engine *server.Hertz
	addr   net.Addr
}

// listen binds an address and returns a server for it that is not yet running. Its
// connections are within the limits, if there are any. onPanic is called with each panic
// that ended a connection.
func listen(name, address string, mode bodyMode, limits *callerLimits, onPanic func(value any, stack []byte)) (*listener, error) {
	bound, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	var ln net.Listener = guard.RetryingListener{Listener: bound}
	if limits != nil {
		ln = limits.listener(bound)
	}
	silenceHertz()
	opts := []config.Option{
		server.WithListener(ln),
		server.WithOnAccept(withCallerConn),
		server.WithTransport(guard.Transport(onPanic)),
		server.WithStreamBody(bool(mode)),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultDate(false),
		server.WithIdleTimeout(idleConnectionTimeout),
		server.WithReadTimeout(progressTimeout),
		server.WithWriteTimeout(progressTimeout),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithDisablePrintRoute(true),
		server.WithRedirectTrailingSlash(false),
		server.WithUnescapePathValues(false),
		server.WithDisableDefaultContentType(true),
		server.WithExitWaitTime(closeTimeout),
		{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	}
	if mode == buffered {
		opts = append(opts, server.WithMaxRequestBodySize(maxAdminBodyBytes))
	}
	return &listener{engine: server.New(opts...), addr: ln.Addr()}, nil
}

// close stops the server and breaks off the requests in flight.
func (l *listener) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = l.engine.Shutdown(ctx)
}
