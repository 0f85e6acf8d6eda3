package process

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const adminTimeout = 5 * time.Second

var adminClient = &http.Client{
	Timeout:   adminTimeout,
	Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute},
}

// GetJSON asks a node's admin listener.
func GetJSON(ctx context.Context, address, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := adminClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s%s: %s", address, path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
