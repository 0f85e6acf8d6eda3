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
	// answerTimeout bounds the wait for a node, which asks the others meanwhile.
	answerTimeout = 30 * time.Second
	// connectTimeout bounds the opening of the connection to a node.
	connectTimeout = 3 * time.Second
)

// exitPartial is the exit code of a report in which nodes are missing.
const exitPartial = 3

// askNode asks a node's admin address and decodes the JSON answer.
func askNode(admin, path string, query url.Values, into any) error {
	c, err := client.NewClient(
		client.WithDialTimeout(connectTimeout),
		client.WithRetryConfig(retry.WithMaxAttemptTimes(1)),
	)
	if err != nil {
		return errors.Wrap(err, "make the client")
	}
	address := url.URL{Scheme: "http", Host: admin, Path: path, RawQuery: query.Encode()}
	status, body, err := c.GetTimeout(context.Background(), nil, address.String(), answerTimeout)
	if err != nil {
		return errors.Wrapf(err, "ask the node at %s", admin)
	}
	if status != http.StatusOK {
		return errors.Newf("the node at %s answers with status %d: %s", admin, status, body)
	}
	return errors.Wrapf(json.Unmarshal(body, into), "read the answer of the node at %s", admin)
}

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// exitFor returns the exit code of a report that was printed.
func exitFor(silent int) int {
	if silent > 0 {
		return exitPartial
	}
	return exitOK
}
