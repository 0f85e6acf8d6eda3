package node

import (
	"cmp"
	"context"
	"maps"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange/account"
	"filbertmill.example/exchange/guard"
)

const (
	// runtimeShare is the fraction of the process's memory that the Go runtime may use.
	// Near it, the garbage collector runs more often.
	runtimeShare = 0.75
	// callerDescriptorShare is the share of the process's file descriptors that the
	// connections of callers may take. The rest is for those to targets and other nodes.
	callerDescriptorShare = 0.7
)

// defaultMemoryMB is the memory of a process whose settings state none, in MB.
const defaultMemoryMB = 1024

// RuntimeMemory returns the memory that the Go runtime should use, in bytes.
func RuntimeMemory(memoryMB int) int64 { return int64(runtimeShare * float64(memoryMB) * (1 << 20)) }

// callerLimits limits what the connections of callers hold together: memory, and
// descriptors.
type callerLimits struct {
	room    *account.Room
	account *account.Account
	// maxConns limits the number of open connections.
	maxConns int

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	// displaced counts the connections that were closed for want of room.
	displaced int64
}

// newCallerLimits returns the limits of a process that may use the given memory and number
// of descriptors. Without a number, or beyond it, the limit of the operating system holds.
func newCallerLimits(memoryMB, descriptors int) (*callerLimits, error) {
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		return nil, errors.Wrap(err, "limit of file descriptors")
	}
	available := int(min(system.Cur, 1<<30))
	descriptors = min(cmp.Or(descriptors, available), available)
	l := &callerLimits{conns: make(map[*callerConn]struct{}), maxConns: int(callerDescriptorShare * float64(descriptors))}
	l.room, l.account = account.NewRoom(RuntimeMemory(cmp.Or(memoryMB, defaultMemoryMB)))
	l.room.Watch()
	return l, nil
}

// listener returns a listener whose connections are within the limits.
func (l *callerLimits) listener(of net.Listener) net.Listener {
	return limitedListener{guard.RetryingListener{Listener: of}, l}
}

type limitedListener struct {
	net.Listener
	limits *callerLimits
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limits.admit(nc); c != nil {
			return c, nil
		}
		_ = nc.Close()
	}
}

// admit returns the connection within the limits, or nil if there is no room for it.
func (l *callerLimits) admit(nc net.Conn) *callerConn {
	c := newCallerConn(nc, l)
	l.mu.Lock()
	defer l.mu.Unlock()
	spare := c.memory.TryGrow(account.Connections, callerConnBytes)
	if (!spare || len(l.conns) >= l.maxConns) && !l.displace() {
		c.memory.Close()
		l.displaced++
		return nil
	}
	if !spare {
		c.memory.Add(account.Connections, callerConnBytes)
	}
	l.conns[c] = struct{}{}
	return c
}

// displace closes the connections that have been idle for the longest time. It reports
// whether there were any. It must be called with mu held.
func (l *callerLimits) displace() bool {
	idle := guard.LongestIdle(maps.Keys(l.conns), (*callerConn).idle)
	for _, c := range idle {
		l.displaced++
		delete(l.conns, c)
		_ = c.Conn.Close()
	}
	return len(idle) > 0
}

// remove records that a connection is closed.
func (l *callerLimits) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// CallerUsage is what the connections of callers hold.
type CallerUsage struct {
	account.RoomUsage
	// Connections counts the open connections, and Displaced those that were closed for
	// want of room.
	Connections int   `json:"connections"`
	Displaced   int64 `json:"displaced"`
}

func (l *callerLimits) usage() CallerUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return CallerUsage{l.room.Usage(), len(l.conns), l.displaced}
}

type callerConnKey struct{}

// withCallerConn returns a context that passes a connection to the handlers.
func withCallerConn(c net.Conn) context.Context {
	return context.WithValue(context.Background(), callerConnKey{}, c)
}

// callerConnOf returns the connection of a context, or nil if it is not limited.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}
