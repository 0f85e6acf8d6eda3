package target

import (
	"net"
	"sync"
	"time"
)

// slowListener adds connectTime to the setup of each new connection.
type slowListener struct {
	net.Listener
	connectTime time.Duration
}

// Accept returns the next connection.
func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: c, connectTime: l.connectTime}, nil
}

// slowConn waits for connectTime before its first read.
type slowConn struct {
	net.Conn
	connectTime time.Duration
	once        sync.Once
}

// Read reads from the connection.
func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.connectTime) })
	return c.Conn.Read(p)
}
