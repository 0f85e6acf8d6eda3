package main

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"filbertmill.example/event"
)

// decision is an event as a node logged it.
type decision struct {
	Time    time.Time  `json:"@timestamp"`
	Kind    event.Kind `json:"@message"`
	Node    string     `json:"node"`
	Service string     `json:"service"`
	Target  string     `json:"target"`
	Rule    string     `json:"rule"`
	To      string     `json:"to"`
}

// decisions returns what all nodes logged of a kind, by time.
func (b *bench) decisions(kind event.Kind) []decision {
	var out []decision
	for _, p := range b.nodes {
		for line := range bytes.Lines(p.log()) {
			var d decision
			if json.Unmarshal(line, &d) == nil && d.Kind == kind {
				out = append(out, d)
			}
		}
	}
	slices.SortFunc(out, func(x, y decision) int { return x.Time.Compare(y.Time) })
	return out
}

// ejectedAt returns when a target was out of normal service: when its home had
// ejected it, or in the direct variant half of the nodes. The zero time means
// never.
func (b *bench) ejectedAt(target string, since time.Time) time.Time {
	need := 1
	if b.variant == variantDirect {
		need = (len(b.nodes) + 1) / 2
	}
	seen := make(map[string]bool)
	for _, d := range b.decisions(event.KindEjection) {
		if d.Target != target || d.Time.Before(since) {
			continue
		}
		seen[d.Node] = true
		if len(seen) == need {
			return d.Time
		}
	}
	return time.Time{}
}
