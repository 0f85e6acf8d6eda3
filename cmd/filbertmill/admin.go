package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet"
)

const (
	adminTimeout = 15 * time.Second
	// maxAdminAnswer limits the size of a node's answer, in bytes.
	maxAdminAnswer = 64 << 20
)

// adminGet sends a GET request to a node's admin listener and decodes the JSON
// answer.
func adminGet(ctx context.Context, node, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	if !strings.Contains(node, "://") {
		node = "http://" + node
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(node, "/")+path, nil)
	if err != nil {
		return errors.Wrap(err, "admin address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "query the node")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminAnswer))
	if err != nil {
		return errors.Wrap(err, "read the node's answer")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("the node returned %s: %s", resp.Status, body)
	}
	return errors.Wrap(json.Unmarshal(body, into), "decode the node's answer")
}

// fleetStatus returns the state of the fleet as one node reports it.
func fleetStatus(ctx context.Context, node string) (fleet.Status, error) {
	var s fleet.Status
	err := adminGet(ctx, node, "/status", &s)
	return s, err
}
