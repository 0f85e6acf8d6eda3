package load

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/testbed/answer"
	"filbertmill.example/testbed/pause"
)

const (
	// outcomeHeader is the header that carries a request's outcome.
	outcomeHeader = "Filbertmill-Outcome"
	// outcomeUnknown is its value when a target may have run the request.
	outcomeUnknown = "unknown"
	// callerHeader is the header by which the balancer names the caller.
	callerHeader = "Filbertmill-Caller"
	// defaultPatience is how long a caller waits unless its class says otherwise.
	defaultPatience = 10 * time.Second
	// exactWait is the last part of a wait, during which a context is not heard.
	exactWait = 5 * time.Millisecond
	// resendPause separates the attempts of one request.
	resendPause = 100 * time.Millisecond
)

// Entries gives the address of an entry to send to.
type Entries interface {
	// Pick returns an address other than those in tried, or "" if none is ready.
	Pick(tried []string) string
}

// Run sends the arrivals when they are due and returns a sample for each. When
// the context ends, arrivals not yet due are left out.
func Run(ctx context.Context, entries Entries, arrivals []Arrival) []Sample {
	r := &runner{entries: entries, conns: newConns(), start: time.Now()}
	defer r.conns.close()
	samples := make([]Sample, len(arrivals))
	var all sync.WaitGroup
	sent := 0
	for i, a := range arrivals {
		if !sleepUntil(ctx, r.start.Add(a.At)) {
			break
		}
		sent++
		all.Go(func() { samples[i] = r.request(a) })
	}
	all.Wait()
	return samples[:sent]
}

// sleepUntil waits until t; false means that the context ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	if early := time.Until(t) - exactWait; early > 0 {
		select {
		case <-time.After(early):
		case <-ctx.Done():
			return false
		}
	}
	pause.Until(t)
	return ctx.Err() == nil
}

type runner struct {
	entries Entries
	conns   *conns
	start   time.Time
}

// request sends one request, again if its class asks for it.
func (r *runner) request(a Arrival) Sample {
	s := Sample{Arrival: a, Due: r.start.Add(a.At)}
	patience := a.Class.Timeout
	if patience == 0 {
		patience = defaultPatience
	}
	body := bytes.Repeat([]byte{'b'}, a.Class.BodyBytes)
	var tried []string
	for n := 1; ; n++ {
		at, entry := r.attempt(a, body, n, tried, s.Due.Add(time.Duration(n)*patience))
		s.Attempts = append(s.Attempts, at)
		tried = append(tried, entry)
		if n > a.Class.Resends || !at.unknown() {
			break
		}
		time.Sleep(resendPause)
	}
	s.Latency = time.Since(s.Due)
	return s
}

// unknown says that the caller cannot know whether its request was run.
func (a Attempt) unknown() bool {
	switch a.Result {
	case ResultBroken, ResultLost, ResultTimeout, ResultNoEntry:
		return true
	}
	return a.Outcome == outcomeUnknown
}

// attempt sends a request once. An entry that refuses the connection is passed
// over, as a balancer does: nothing was sent to it.
func (r *runner) attempt(a Arrival, body []byte, n int, tried []string, deadline time.Time) (Attempt, string) {
	for {
		entry := r.entries.Pick(tried)
		if entry == "" {
			return Attempt{Result: ResultNoEntry}, ""
		}
		c, err := r.conns.get(entry)
		if err == nil {
			at := r.exchange(c, entry, a, body, n, deadline)
			return at, entry
		}
		tried = append(tried, entry)
		if time.Now().After(deadline) {
			return Attempt{Result: ResultTimeout, Err: err}, entry
		}
	}
}

func (r *runner) exchange(c *conn, entry string, a Arrival, body []byte, n int, deadline time.Time) Attempt {
	at := Attempt{Entry: entry}
	c.SetDeadline(deadline)
	req := newRequest(entry, a, body, n)
	// A write error alone decides nothing: an early answer may be there to read.
	writeErr := req.Write(c)
	resp, err := http.ReadResponse(c.in, req)
	if err != nil {
		c.Close()
		at.Result = ended(err, ResultLost)
		at.Err = errors.CombineErrors(err, writeErr)
		return at
	}
	at.Status = resp.StatusCode
	at.Outcome = resp.Header.Get(outcomeHeader)
	at.ProxyStatus = resp.Header.Get("Proxy-Status")
	at.RetryAfter = resp.Header.Get("Retry-After") != ""
	at.Target = resp.Header.Get(answer.HeaderTarget)
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		c.Close()
		at.Result = ended(err, ResultBroken)
		at.Err = err
		return at
	}
	if resp.Close || writeErr != nil || c.in.Buffered() > 0 {
		c.Close()
	} else {
		r.conns.put(entry, c)
	}
	at.Result, at.Err = verify(resp, got, a, body)
	return at
}

// verify checks that a complete answer is the one to this request.
func verify(resp *http.Response, got []byte, a Arrival, body []byte) (Result, error) {
	if id := resp.Header.Get(answer.HeaderRequest); id != "" && id != a.ID {
		return ResultMismatch, errors.Newf("request %s got the answer to %s", a.ID, id)
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return ResultStatus, nil
	}
	err := answer.Check(got, a.ID, answer.DigestOf(body), a.Class.AnswerBytes)
	switch {
	case err == nil:
		return ResultComplete, nil
	case errors.Is(err, answer.ErrCut):
		return ResultTruncated, err
	default:
		return ResultMismatch, err
	}
}

// ended tells a timeout from another end.
func ended(err error, other Result) Result {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return ResultTimeout
	}
	return other
}

func newRequest(entry string, a Arrival, body []byte, n int) *http.Request {
	method := a.Class.Method
	if method == "" {
		method = http.MethodGet
	}
	req := &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: entry, Path: a.Class.Path},
		Host:   a.Class.Host,
		Header: make(http.Header),
	}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	req.Header.Set(answer.HeaderRequest, a.ID)
	req.Header.Set(answer.HeaderAttempt, strconv.Itoa(n))
	req.Header.Set(answer.HeaderWork, a.Work.String())
	req.Header.Set(answer.HeaderBytes, strconv.Itoa(a.Class.AnswerBytes))
	req.Header.Set("X-Request-Id", a.ID)
	req.Header.Set(callerHeader, a.Caller)
	if a.Poison {
		req.Header.Set(answer.HeaderPoison, "1")
	}
	if a.Class.Keyed {
		req.Header.Set("Idempotency-Key", a.ID)
	}
	return req
}
