package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	qt "github.com/frankban/quicktest"
)

// A panic in a handler or in the HTTP codec must close only its own connection, and
// not end the process.
func TestPanicClosesOnlyItsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	caught := make(chan any, 2)
	h := server.New(server.WithListener(l), server.WithTransport(Transport(func(v any, _ []byte) { caught <- v })))
	h.GET("/panic", func(context.Context, *app.RequestContext) { panic("in the handler") })
	h.GET("/", func(_ context.Context, c *app.RequestContext) { c.Status(http.StatusOK) })
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	for _, request := range []string{
		"GET /panic HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nTrailer: ,\r\n\r\n",
	} {
		c, err := net.Dial("tcp", l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Write([]byte(request))
		qt.Assert(t, err, qt.IsNil)
		answer, _ := io.ReadAll(c)
		qt.Check(t, answer, qt.HasLen, 0)
		qt.Check(t, c.Close(), qt.IsNil)
		<-caught
	}
	resp, err := http.Get("http://" + l.Addr().String() + "/")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.Body.Close(), qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
}
