package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/standin"
)

// Platform is the stand-in of the platform's store, and the operator that writes to it.
type Platform struct {
	Store   *platform.Client
	Address string
	// ConfigBytes is the size of the last configuration.
	ConfigBytes int

	standin *standin.Standin
	version int
}

// Route is one route of a configuration.
type Route struct {
	Name, Kind, Prefix, Service string
	SLO, Timeout                float64
	Priority, Attempts          int
}

// Host is the host of all routes.
const Host = "gate.example"

// MaxBodyBytes is the limit on the body of a request in the operator's example.
const MaxBodyBytes = 64 << 20

// StartPlatform starts an empty store.
func StartPlatform() (*Platform, error) {
	s, err := standin.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	client, err := platform.NewClientFromURL(s.URL())
	if err != nil {
		return nil, err
	}
	return &Platform{Store: client, Address: strings.TrimPrefix(s.URL(), "http://"), standin: s}, nil
}

// Close stops the store.
func (p *Platform) Close() error { return p.standin.Close() }

// Configure writes the next configuration.
func (p *Platform) Configure(ctx context.Context, connections int, routes ...Route) error {
	p.version++
	var policy, clusters []any
	listed := make(map[string]bool)
	for _, r := range routes {
		policy = append(policy, map[string]any{
			"name": r.Name, "kind": r.Kind, "slo-s": r.SLO, "priority": r.Priority, "match": map[string]any{"prefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout-s": r.Timeout, "attempts": r.Attempts},
		})
		if !listed[r.Service] {
			listed[r.Service] = true
			clusters = append(clusters, map[string]any{"name": r.Service, "health-path": "/health", "max-conns": connections, "protocol": "h1", "tls": false})
		}
	}
	text, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", p.version),
		"limits":    map[string]any{"max-header-bytes": 16384, "max-body-bytes": MaxBodyBytes, "header-timeout-s": 3, "idle-timeout-s": 15},
		"listeners": []any{map[string]any{"host": Host, "policy": policy}}, "clusters": clusters,
	})
	if err != nil {
		return err
	}
	p.ConfigBytes = len(text)
	_, err = p.Store.Txn(ctx, nil, []platform.Put{{Key: platform.ConfigurationKey, Value: text}})
	return err
}
