package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/client/retry"
	"github.com/cockroachdb/errors"
)

const (
	// answerTimeout limits the wait for the answer of a node, which itself queries the
	// other nodes first.
	answerTimeout = 30 * time.Second
	// connectTimeout limits the time to connect to a node.
	connectTimeout = 3 * time.Second
)

// exitPartial is the exit code of a report that is incomplete: nodes did not
// answer, or lines of saved logs could not be read.
const exitPartial = 3

// queryNode sends a GET request to a node's admin address and decodes the JSON
// answer.
func queryNode(admin, path string, query url.Values, into any) error {
	c, err := client.NewClient(
		client.WithDialTimeout(connectTimeout),
		client.WithRetryConfig(retry.WithMaxAttemptTimes(1)),
	)
	if err != nil {
		return errors.Wrap(err, "create the HTTP client")
	}
	address := url.URL{Scheme: "http", Host: admin, Path: path, RawQuery: query.Encode()}
	status, body, err := c.GetTimeout(context.Background(), nil, address.String(), answerTimeout)
	if err != nil {
		return errors.Wrapf(err, "query the node at %s", admin)
	}
	if status != http.StatusOK {
		return errors.Newf("the node at %s returned status %d: %s", admin, status, body)
	}
	return errors.Wrapf(json.Unmarshal(body, into), "read the answer of the node at %s", admin)
}

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// reportExitCode returns the exit code after a report was printed that lacks the
// given number of answers or lines.
func reportExitCode(missing int) int {
	if missing > 0 {
		return exitPartial
	}
	return exitOK
}
