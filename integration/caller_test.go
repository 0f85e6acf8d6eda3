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

// reply is what a caller got.
type reply struct {
	status  int
	kind    outcome.Kind
	reason  string
	header  http.Header
	body    []byte
	failure error
}

// sending is one request of a caller.
type sending struct {
	method string
	url    string
	id     string
	body   string
	header map[string]string
	// patience is how long the caller waits; 0 means the longest.
	patience time.Duration
}

// caller sends each request on a connection of its own.
var caller = &http.Client{
	Timeout:   20 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// send sends a request and reads the whole answer.
func (s sending) send() reply {
	ctx := context.Background()
	if s.patience > 0 {
		limited, cancel := context.WithTimeout(ctx, s.patience)
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
	resp, err := caller.Do(req)
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
