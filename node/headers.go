package node

import (
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/exchange"
	"filbertmill.example/exchange/hop"
	"filbertmill.example/outcome"
)

// Headers that callers may send or receive.
const (
	// headerTimeout is how long the caller still waits for the answer, in
	// milliseconds. In a request to a target it is the time left until the
	// deadline.
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
	// hopHome names the home in the answer of a node that is not the home any
	// more.
	hopHome = hopPrefix + "Home"
	// hopAbandonedClaim is the claim of the request's key that an earlier home
	// abandoned, as epoch and sequence number.
	hopAbandonedClaim = hopPrefix + "Gave-Up"
)

// newOutbound returns a request for the next hop with the caller's method,
// URI and end-to-end headers, and without a body.
func newOutbound(h *protocol.RequestHeader) *protocol.Request {
	r := hop.OutboundRequest(h)
	r.Header.Del(exchange.AttemptHeader)
	hop.DeletePrefix(&r.Header, hopPrefix)
	return r
}

// stripResponse removes the headers that must not be forwarded.
func stripResponse(h *protocol.ResponseHeader) {
	hop.StripResponse(h)
	for _, name := range []string{exchange.AttemptHeader, outcome.ReasonHeader, outcome.Header, hopHome, hopAbandonedClaim} {
		h.Del(name)
	}
}

// addVia appends this hop to the Via header.
func addVia(h *protocol.RequestHeader, node string) {
	via := "1.1 " + node
	if old := h.Get(headerVia); old != "" {
		via = old + ", " + via
	}
	h.Set(headerVia, via)
}

// addForwarded appends the address of the connection's remote end to the
// Forwarded header (RFC 7239).
func addForwarded(h *protocol.RequestHeader, ctx *app.RequestContext) {
	element := "for=" + forwardedNode(remoteHost(ctx))
	if old := h.Get(headerForwarded); old != "" {
		element = old + ", " + element
	}
	h.Set(headerForwarded, element)
}

// forwardedNode formats an IP address as a node identifier of RFC 7239.
func forwardedNode(host string) string {
	if strings.Contains(host, ":") {
		return `"[` + host + `]"`
	}
	if host == "" {
		return "unknown"
	}
	return host
}
