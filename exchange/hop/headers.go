// Package hop prepares messages for the next hop of a proxied request. It rejects
// framing that two parsers could interpret differently (request smuggling) and
// removes hop-by-hop headers.
package hop

import (
	"bytes"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cockroachdb/errors"
)

// connectionHeaders are the hop-by-hop headers, which apply to one connection only
// (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Upgrade", "Transfer-Encoding", "Trailer",
}

// The errors that CheckFraming returns.
var (
	errLengths = errors.New("the request states its length more than once or in conflicting ways")
	errHosts   = errors.New("the request has more than one Host header")
	errCoding  = errors.New("the request has a transfer coding other than chunked")
)

// CheckFraming returns an error for a request whose fields, end or host two parsers could
// determine differently.
func CheckFraming(h *protocol.RequestHeader) error {
	if err := CheckFields(h.RawHeaders()); err != nil {
		return err
	}
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

// OutboundRequest returns a request for the next hop that has the method, URI and
// end-to-end headers of the received request, and no body.
func OutboundRequest(h *protocol.RequestHeader) *protocol.Request {
	r := &protocol.Request{}
	h.CopyTo(&r.Header)
	r.Header.SetRequestURIBytes(h.RequestURI())
	for _, name := range connectionOptions(string(h.Peek("Connection"))) {
		r.Header.Del(name)
	}
	for _, name := range connectionHeaders {
		r.Header.Del(name)
	}
	r.Header.Del("Expect")
	r.Header.SetConnectionClose(false)
	return r
}

// DeletePrefix removes the headers whose names begin with the prefix.
func DeletePrefix(h *protocol.RequestHeader, prefix string) {
	var names []string
	h.VisitAll(func(key, _ []byte) {
		if strings.HasPrefix(string(key), prefix) {
			names = append(names, string(key))
		}
	})
	for _, name := range names {
		h.Del(name)
	}
}

// StripResponse removes the hop-by-hop headers of a response.
func StripResponse(h *protocol.ResponseHeader) {
	for _, name := range connectionOptions(string(h.Peek("Connection"))) {
		h.Del(name)
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	h.SetConnectionClose(false)
}

// connectionOptions returns the header names that the value of a Connection header
// lists.
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
