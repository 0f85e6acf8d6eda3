package main

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"filbertmill.example/testbed/load"
)

// writeTally writes how many requests of each class ended in each way, and their
// latency. It helps to find the cause of a figure.
func writeTally(w io.Writer, samples []load.Sample) {
	groups := make(map[string][]load.Sample)
	for _, s := range samples {
		last := s.Last()
		key := fmt.Sprintf("%s %s %d %s %s", s.Class.Name, last.Result, last.Status, last.Outcome, proxyError(last.ProxyStatus))
		groups[key] = append(groups[key], s)
	}
	keys := make([]string, 0, len(groups))
	for k := range groups {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		g := groups[k]
		fmt.Fprintf(w, "  %6d  %-60s  p50 %.1f ms  p99 %.1f ms\n", len(g), k,
			milliseconds(load.Quantile(g, 50, latency)), milliseconds(load.Quantile(g, 99, latency)))
	}
}

// proxyError returns a Proxy-Status header without the node's name.
func proxyError(status string) string {
	_, params, _ := strings.Cut(status, ";")
	return strings.TrimSpace(params)
}
