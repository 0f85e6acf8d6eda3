package integration

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestGatewaySurvivesAPanicOnTrailerHeader guards against a caller's Trailer header on
// which hertz panics, so that the process ends.
func TestGatewaySurvivesAPanicOnTrailerHeader(t *testing.T) {
	f := startGatewayFleet(t, 1, 2)
	nc, err := net.Dial("tcp", f.specs[0].Callers)
	qt.Assert(t, err, qt.IsNil)
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	_, err = io.WriteString(nc, "GET /look/x HTTP/1.1\r\nHost: g.example\r\nX-Request-Id: trailer\r\nTrailer: ,\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	answer, _ := io.ReadAll(io.LimitReader(nc, 12))
	qt.Check(t, string(answer), qt.Matches, "HTTP/1.1 [24]..")
	qt.Check(t, f.send(0, "GET", "look", "after").StatusCode, qt.Equals, 200)
}
