package main

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/pool"
)

// decision is a decision event as a node logged it.
type decision struct {
	Time    time.Time  `json:"@timestamp"`
	Kind    event.Kind `json:"@message"`
	Node    string     `json:"node"`
	Service string     `json:"service"`
	Target  string     `json:"target"`
	Rule    string     `json:"rule"`
	To      string     `json:"to"`
}

// decisions returns the events of some kinds that all nodes logged, by time.
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

// outOfServiceAt returns when the nodes had taken a target out of normal service:
// when its home suspected or ejected it, or in the direct variant half of the nodes.
// It returns the zero time if they did not.
func (b *bench) outOfServiceAt(name string, since time.Time) time.Time {
	need := 1
	if b.variant == variantDirect {
		need = (len(b.nodes) + 1) / 2
	}
	seen := make(map[string]bool)
	for _, d := range b.decisions(event.KindEjection, event.KindTargetState) {
		if d.Target != name || d.Time.Before(since) || !d.takesOutOfService() {
			continue
		}
		seen[d.Node] = true
		if len(seen) == need {
			return d.Time
		}
	}
	return time.Time{}
}

// takesOutOfService reports whether the decision took a target out of normal
// service.
func (d decision) takesOutOfService() bool {
	return d.Kind == event.KindEjection || d.To == string(pool.StateSuspected)
}

// countNotGray counts the decisions on targets that are not gray.
func (b *bench) countNotGray(list []decision, gray []grayCase) float64 {
	n := 0
	for _, d := range list {
		if !slices.ContainsFunc(gray, func(c grayCase) bool { return b.grayName(c) == d.Target }) {
			n++
		}
	}
	return float64(n)
}

// addFalseDecisions adds the numbers of ejections and suspicions of targets that are
// not gray.
func (b *bench) addFalseDecisions(r *report, gray []grayCase) {
	r.add(b.label, falseEjections, b.countNotGray(b.decisions(event.KindEjection), gray))
	suspicions := slices.DeleteFunc(b.decisions(event.KindTargetState), func(d decision) bool { return !d.takesOutOfService() })
	r.add(b.label, falseSuspicions, b.countNotGray(suspicions, gray))
}
