package integration

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/exchange"
	"filbertmill.example/outcome"
)

// TestHeaders guards against headers of one connection (hop-by-hop) or of the fleet
// itself that are forwarded, in requests or answers, and against missing headers
// about the request's path. Home and entry node must behave alike.
func TestHeaders(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 2, startHandler(c, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "X-Answer-Secret")
		w.Header().Set("X-Answer-Secret", "1")
		w.Header().Set(outcome.Header, "not-run")
		w.Header().Set(outcome.ReasonHeader, "no_route")
		w.Header().Add("Set-Cookie", "a=1")
		w.Header().Add("Set-Cookie", "b=2")
		_ = json.NewEncoder(w).Encode(r.Header)
	}))
	for i, node := range f.nodes {
		req, err := http.NewRequest("GET", f.url(i, "/status/x?q=%2F"), nil)
		c.Assert(err, qt.IsNil)
		for name, value := range map[string]string{
			"Connection": "X-Secret", "X-Secret": "1", "Te": "trailers", "Proxy-Authorization": "Basic x",
			"Filbertmill-Hop-Route": "elsewhere", "Filbertmill-Hop-Signature": "00",
			exchange.AttemptHeader: "mine", "X-Kept": "yes", "Via": "1.0 before",
			"Filbertmill-Timeout-Ms": "60000",
		} {
			req.Header.Set(name, value)
		}
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		var got http.Header
		c.Assert(json.NewDecoder(resp.Body).Decode(&got), qt.IsNil)
		resp.Body.Close()

		for _, name := range []string{"X-Secret", "Te", "Proxy-Authorization", "Filbertmill-Hop-Route", "Filbertmill-Hop-Signature"} {
			c.Check(got.Get(name), qt.Equals, "", qt.Commentf("%s", name))
		}
		c.Check(got.Get("X-Kept"), qt.Equals, "yes")
		c.Check(got.Get("Via"), qt.Equals, "1.0 before, 1.1 "+node.Spec.Name)
		c.Check(got.Get("Forwarded"), qt.Equals, "for=127.0.0.1")
		c.Check(got.Get(exchange.AttemptHeader), qt.Not(qt.Equals), "mine")
		c.Check(got.Get("X-Request-Id"), qt.Equals, resp.Header.Get("X-Request-Id"))
		c.Check(len(got.Get("Filbertmill-Timeout-Ms")) < len("60000"), qt.IsTrue, qt.Commentf("the route allows 10 s"))

		c.Check(resp.Header.Get("X-Answer-Secret"), qt.Equals, "")
		c.Check(resp.Header.Get(outcome.Header), qt.Equals, string(outcome.Run))
		c.Check(resp.Header.Get(outcome.ReasonHeader), qt.Equals, "")
		c.Check(resp.Header.Values("Set-Cookie"), qt.DeepEquals, []string{"a=1", "b=2"})
	}
}

// TestHead guards against an answer to HEAD that loses its Content-Length, and against
// a node that waits for the body.
func TestHead(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 2, startHandler(c, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1234")
	}))
	for i := range f.nodes {
		for range 2 {
			resp, err := http.Head(f.url(i, "/status/x"))
			c.Assert(err, qt.IsNil)
			resp.Body.Close()
			c.Check(resp.StatusCode, qt.Equals, 200)
			c.Check(resp.ContentLength, qt.Equals, int64(1234))
		}
	}
}

// TestUnsignedPeerRequestIsRefused guards against an unauthenticated peer that reaches
// the peer listener and has requests forwarded to targets.
func TestUnsignedPeerRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 1, startHandler(c, func(http.ResponseWriter, *http.Request) {
		t.Error("the target was reached")
	}))
	for _, signature := range []string{"", "00"} {
		req, err := http.NewRequest("GET", "http://"+f.nodes[0].Spec.Peers+"/status/x", nil)
		c.Assert(err, qt.IsNil)
		req.Header.Set("Filbertmill-Hop-Route", "status")
		req.Header.Set("Filbertmill-Hop-Time-Left-Ms", "1000")
		if signature != "" {
			req.Header.Set("Filbertmill-Hop-Signature", signature)
		}
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
		c.Check(resp.StatusCode, qt.Equals, 403)
	}
}
