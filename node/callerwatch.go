package node

import (
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cockroachdb/errors"
)

// pastDeadline interrupts a blocked read when it is set as the read deadline.
var pastDeadline = time.Unix(1, 0)

// watchCaller calls left when the caller closes its connection. The request must
// have been read to its end. The caller of watchCaller must call stop before it
// writes the answer.
//
// hertz itself offers this only for servers without streamed bodies, or with
// netpoll, which reads ahead of the handler without a limit.
func watchCaller(conn network.Conn, left func()) (stop func()) {
	_ = conn.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := conn.Peek(1)
		if err != nil && !isTimeout(err) {
			left()
		}
	}()
	return func() {
		_ = conn.SetReadDeadline(pastDeadline)
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// isTimeout reports whether err means that a deadline passed.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
