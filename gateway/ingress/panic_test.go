package ingress

import (
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPanicOfTheCodecEndsItsConnectionAlone guards against a caller's header that
// ends the process: hertz panics on a list of trailers that lacks a name.
func TestPanicOfTheCodecEndsItsConnectionAlone(t *testing.T) {
	e := &echo{panics: make(chan Panic, 1)}
	_, addr := start(t, e)
	c, r := dial(t, addr)
	fmt.Fprintf(c, "GET /1?ms=50 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nTrailer: ,\r\n\r\n")
	resp, _ := readAnswer(t, r)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	resp, _ = readAnswer(t, r)
	qt.Check(t, resp.StatusCode, qt.Equals, 400)
	qt.Check(t, resp.Close, qt.IsTrue)
	_, err := r.ReadByte()
	qt.Check(t, err, qt.Equals, io.EOF)
	<-e.panics
}

// TestPanicEndsItsRequestAlone guards against a panic in one request that ends the
// process and with it the requests of all callers.
func TestPanicEndsItsRequestAlone(t *testing.T) {
	e := &echo{panics: make(chan Panic, 2)}
	_, addr := start(t, e)
	c, r := dial(t, addr)
	for _, path := range []string{"/1?ms=50", "/panic", "/panic-early", "/2"} {
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	}
	for _, want := range []int{200, 500, 200, 200} {
		resp, _ := readAnswer(t, r)
		qt.Check(t, resp.StatusCode, qt.Equals, want)
		qt.Check(t, resp.Close, qt.IsFalse)
	}
	values := map[any]bool{}
	for range 2 {
		p := <-e.panics
		values[p.Value] = true
		qt.Check(t, string(p.Stack), qt.Contains, "(*echo)")
	}
	qt.Check(t, values, qt.DeepEquals, map[any]bool{"in Serve": true, "in MayPipeline": true})
}
