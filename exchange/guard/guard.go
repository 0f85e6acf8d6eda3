// Package guard keeps a listener and its process alive: it accepts again after a shortage
// of descriptors, chooses which connections give way to new ones, and recovers from a panic
// while a connection is served, for example of the HTTP codec on a malformed request.
// Without that, the panic would end the process and with it all other connections.
package guard

import (
	"context"
	"runtime/debug"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cockroachdb/errors"
)

// Transport returns a constructor for hertz's standard transport that closes a
// connection on a panic and calls onPanic with the panic's value and stack.
func Transport(onPanic func(value any, stack []byte)) func(*config.Options) network.Transporter {
	return func(o *config.Options) network.Transporter {
		return transport{standard.NewTransporter(o), onPanic}
	}
}

// transport wraps hertz's standard transport.
type transport struct {
	network.Transporter
	onPanic func(value any, stack []byte)
}

// ListenAndServe implements network.Transporter. Hertz closes the connection
// while the panic unwinds.
func (t transport) ListenAndServe(onData network.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, conn any) (err error) {
		defer func() {
			if v := recover(); v != nil {
				t.onPanic(v, debug.Stack())
				err = errors.Newf("panic: %v", v)
			}
		}()
		return onData(ctx, conn)
	})
}
