package rig

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/memory"
	"filbertmill.example/testbed/standin"
)

// storeTimeout limits one write to the store.
const storeTimeout = 2 * time.Second

// Route is a rule of the configuration, as the platform's pages spell it.
type Route struct {
	Name, Host, Prefix, Service string
	// Safe is set if requests may be repeated.
	Safe     bool
	Timeout  float64
	SLO      float64
	Attempts int
}

// Limits are the limits of the configuration, as in the example on the pages.
var Limits = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 64 << 20, "header-timeout-s": 3, "idle-timeout-s": 15}

// Platform is the stand-in of the platform: its store, and the operator who writes to
// it.
type Platform struct {
	Address string

	standin *standin.Standin
	client  *platform.Client
}

// StartPlatform starts the repository's stand-in of the store.
func StartPlatform() (*Platform, error) {
	s, err := standin.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := strings.TrimPrefix(s.URL(), "http://")
	return &Platform{Address: address, standin: s, client: platform.NewClient(address, nil)}, nil
}

// Close stops the store.
func (p *Platform) Close() { _ = p.standin.Close() }

// Configure writes a version of the configuration. It returns once the store has
// acknowledged it.
func (p *Platform) Configure(version string, routes []Route, services []string) error {
	rules := make(map[string][]any)
	var hosts []string
	for _, r := range routes {
		kind := "unsafe"
		if r.Safe {
			kind = "safe"
		}
		if rules[r.Host] == nil {
			hosts = append(hosts, r.Host)
		}
		rules[r.Host] = append(rules[r.Host], map[string]any{
			"name": r.Name, "kind": kind, "slo-s": r.SLO, "priority": 1, "match": map[string]any{"prefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout-s": r.Timeout, "attempts": r.Attempts},
		})
	}
	var listeners, clusters []any
	for _, h := range hosts {
		listeners = append(listeners, map[string]any{"host": h, "policy": rules[h]})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health-path": "/health", "max-conns": 330, "protocol": "h1", "tls": false})
	}
	return p.put("op/config", map[string]any{"version": version, "limits": Limits, "listeners": listeners, "clusters": clusters})
}

// put writes one key as JSON.
func (p *Platform) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, err = p.client.Txn(ctx, nil, []platform.Put{{Key: key, Value: data}})
	return err
}

// LoseHistory has the operator make a change that no watch hears of, and then drops the
// history of changes: a watch from before it is answered with 410.
func (p *Platform) LoseHistory(change func() error) error {
	p.standin.Store.SetFaults(memory.Faults{DropWatchEvents: true})
	err := change()
	p.standin.Store.Compact()
	p.standin.Store.SetFaults(memory.Faults{})
	return err
}
