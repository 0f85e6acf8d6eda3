package integration

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"filbertmill.example/outcome"
	"filbertmill.example/testbed/answer"
)

// reply is what a caller received. If failure is set, no complete answer arrived.
type reply struct {
	status  int
	kind    outcome.Kind
	reason  string
	header  http.Header
	body    []byte
	failure error
}

// callerRequest is one request of a caller.
type callerRequest struct {
	method string
	url    string
	id     string
	body   string
	header map[string]string
	// timeout is how long the caller waits for the complete answer. The timeout of
	// callerClient always applies.
	timeout time.Duration
}

// callerClient sends each request on a connection of its own.
var callerClient = &http.Client{
	Timeout:   20 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// send sends the request and reads the complete answer.
func (s callerRequest) send() reply {
	ctx := context.Background()
	if s.timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, s.timeout)
		defer cancel()
		ctx = limited
	}
	req, err := http.NewRequestWithContext(ctx, s.method, s.url, strings.NewReader(s.body))
	if err != nil {
		return reply{failure: err}
	}
	req.Header.Set(answer.HeaderRequest, s.id)
	for name, value := range s.header {
		req.Header.Set(name, value)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return reply{failure: err}
	}
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode, kind: outcome.Kind(resp.Header.Get(outcome.Header)), header: resp.Header}
	r.body, r.failure = io.ReadAll(resp.Body)
	if _, details, ok := strings.Cut(resp.Header.Get("Proxy-Status"), `details="`); ok {
		r.reason = strings.TrimSuffix(details, `"`)
	}
	return r
}
