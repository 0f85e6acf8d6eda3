package main

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/pool"
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

// decisions returns what all nodes logged of some kinds, by time.
func (b *bench) decisions(kinds ...event.Kind) []decision {
	var out []decision
	for _, p := range b.nodes {
		for line := range bytes.Lines(p.log()) {
			var d decision
			if json.Unmarshal(line, &d) == nil && slices.Contains(kinds, d.Kind) {
				out = append(out, d)
			}
		}
	}
	slices.SortFunc(out, func(x, y decision) int { return x.Time.Compare(y.Time) })
	return out
}

// outAt returns when the nodes had taken a target out of normal service: when
// its home suspected or ejected it, or in the direct variant half of the nodes.
// The zero time means never.
func (b *bench) outAt(name string, since time.Time) time.Time {
	need := 1
	if b.variant == variantDirect {
		need = (len(b.nodes) + 1) / 2
	}
	seen := make(map[string]bool)
	for _, d := range b.decisions(event.KindEjection, event.KindTargetState) {
		if d.Target != name || d.Time.Before(since) || !d.out() {
			continue
		}
		seen[d.Node] = true
		if len(seen) == need {
			return d.Time
		}
	}
	return time.Time{}
}

// out says that the decision took a target out of normal service.
func (d decision) out() bool {
	return d.Kind == event.KindEjection || d.To == string(pool.StateSuspected)
}

// count returns how many of the decisions concern a target that is not gray.
func (b *bench) count(list []decision, gray []grayCase) float64 {
	n := 0
	for _, d := range list {
		if !slices.ContainsFunc(gray, func(c grayCase) bool { return b.grayName(c) == d.Target }) {
			n++
		}
	}
	return float64(n)
}

// addFalse reports decisions against targets that are not gray.
func (b *bench) addFalse(r *report, gray []grayCase) {
	r.add(b.label, falseEjections, b.count(b.decisions(event.KindEjection), gray))
	suspicions := slices.DeleteFunc(b.decisions(event.KindTargetState), func(d decision) bool { return !d.out() })
	r.add(b.label, falseSuspicions, b.count(suspicions, gray))
}
