package node

import (
	"bytes"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange"
	"filbertmill.example/outcome"
)

// Headers that callers may send or receive.
const (
	// headerTimeout is the time, in milliseconds, that the caller still
	// waits; towards targets, the time that is left.
	headerTimeout = "Filbertmill-Timeout-Ms"
	// headerCaller names the caller, as set by the platform's balancer.
	headerCaller = "Filbertmill-Caller"
	// headerRequestID identifies the request in answers, logs and explanations.
	headerRequestID     = "X-Request-Id"
	headerForwardedFor  = "X-Forwarded-For"
	headerProxyStatus   = "Proxy-Status"
	headerRetryAfter    = "Retry-After"
	headerVia           = "Via"
	headerForwarded     = "Forwarded"
	headerTargetLeaving = "Target-Leaving"
)

// Headers on the hop between two nodes; callers cannot set them.
const (
	hopPrefix    = "Filbertmill-Hop-"
	hopRoute     = hopPrefix + "Route"
	hopCaller    = hopPrefix + "Caller"
	hopTimeLeft  = hopPrefix + "Time-Left-Ms"
	hopNode      = hopPrefix + "Node"
	hopSignature = hopPrefix + "Signature"
	// hopHome is in the answer of a node that is not the home any more.
	hopHome = hopPrefix + "Home"
	// hopGaveUp is the claim of the request that an earlier home gave up, as
	// epoch and sequence.
	hopGaveUp = hopPrefix + "Gave-Up"
)

// hopByHop lists the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Upgrade", "Transfer-Encoding", "Trailer",
}

var (
	errLengths = errors.New("the request states its length more than once or in conflicting ways")
	errHosts   = errors.New("the request has more than one Host header")
	errCoding  = errors.New("the request has a transfer coding other than chunked")
)

// checkFraming refuses requests whose end two readers could see differently.
func checkFraming(h *protocol.RequestHeader) error {
	var lengths, codings, hosts int
	s := ext.HeaderScanner{B: h.RawHeaders()}
	for s.Next() {
		switch strings.ToLower(string(s.Key)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
			if !bytes.EqualFold(s.Value, []byte("chunked")) {
				return errCoding
			}
		case "host":
			hosts++
		}
	}
	switch {
	case lengths > 1 || codings > 1 || lengths+codings > 1:
		return errLengths
	case hosts > 1:
		return errHosts
	}
	return nil
}

// onwardRequest returns a request for the next hop with the caller's method,
// URI and end-to-end headers, and without a body.
func onwardRequest(h *protocol.RequestHeader) *protocol.Request {
	r := &protocol.Request{}
	h.CopyTo(&r.Header)
	r.Header.SetRequestURIBytes(h.RequestURI())
	stripRequest(&r.Header)
	return r
}

// stripRequest removes the headers that must not be passed on.
func stripRequest(h *protocol.RequestHeader) {
	for _, name := range connectionOptions(string(h.Peek("Connection"))) {
		h.Del(name)
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	var internal []string
	h.VisitAll(func(key, _ []byte) {
		if strings.HasPrefix(string(key), hopPrefix) {
			internal = append(internal, string(key))
		}
	})
	for _, name := range internal {
		h.Del(name)
	}
	h.Del(exchange.AttemptHeader)
	h.Del("Expect")
	h.SetConnectionClose(false)
}

// stripResponse removes the headers that must not be passed on.
func stripResponse(h *protocol.ResponseHeader) {
	for _, name := range connectionOptions(string(h.Peek("Connection"))) {
		h.Del(name)
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	h.Del(exchange.AttemptHeader)
	h.Del(outcome.ReasonHeader)
	h.Del(outcome.Header)
	h.Del(hopHome)
	h.Del(hopGaveUp)
	h.SetConnectionClose(false)
}

// connectionOptions returns the header names that a Connection header lists.
func connectionOptions(value string) []string {
	var names []string
	for _, name := range strings.Split(value, ",") {
		name = strings.TrimSpace(name)
		if name != "" && !strings.EqualFold(name, "close") && !strings.EqualFold(name, "keep-alive") {
			names = append(names, name)
		}
	}
	return names
}

// addVia appends this hop to the Via header.
func addVia(h *protocol.RequestHeader, node string) {
	via := "1.1 " + node
	if old := h.Get(headerVia); old != "" {
		via = old + ", " + via
	}
	h.Set(headerVia, via)
}

// addForwarded appends the connection's other end to the Forwarded header (RFC 7239).
func addForwarded(h *protocol.RequestHeader, ctx *app.RequestContext) {
	element := "for=" + forwardedNode(remoteHost(ctx))
	if old := h.Get(headerForwarded); old != "" {
		element = old + ", " + element
	}
	h.Set(headerForwarded, element)
}

// forwardedNode writes an IP address as RFC 7239 wants it.
func forwardedNode(host string) string {
	if strings.Contains(host, ":") {
		return `"[` + host + `]"`
	}
	if host == "" {
		return "unknown"
	}
	return host
}
