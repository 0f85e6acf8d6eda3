package saved

import (
	"cmp"
	"slices"
	"time"

	"filbertmill.example/event"
)

const (
	// maxTargetChangeAge is how long before a request's last line the latest
	// state change of one of its targets may lie and still be listed with the
	// request: the evidence behind an older one has decayed.
	maxTargetChangeAge = time.Minute
	// maxNodeEventAge is how long before a request's first line the lifecycle and
	// dependency events of its nodes may lie and still be listed with it.
	maxNodeEventAge = 10 * time.Second
)

// nodeMessages are the messages of lines on a node's lifecycle, its
// configuration and its dependencies: the store and the relays.
var nodeMessages = []string{
	"started", "stopping", "draining, since a listener ended", "ending the work that is left", "stopped", "settings file changed",
	"configuration in force", "configuration refused; the one in force stays",
	"relay lost", "relay answers", "relays in use", "looked for a relay", "the store does not answer", "store read", "store read for the first time", "store followed from the relays' revision", "log lines dropped",
}

// Query selects lines. An empty field selects all.
type Query struct {
	// Target is a target's name, with or without the time of its start.
	Target, Request, Service string
	// Since is how far to look back from the latest line; 0 sets no limit.
	Since time.Duration
}

// Select returns the lines that match, oldest first by the nodes' clocks. If the
// query names a request, Select adds the latest state changes of the request's
// targets and the lifecycle and dependency events of its nodes.
func Select(lines []Line, q Query) []Line {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node))
	})
	if q.Since > 0 && len(lines) > 0 {
		since := lines[len(lines)-1].Time.Add(-q.Since)
		lines = slices.DeleteFunc(lines, func(l Line) bool { return l.Time.Before(since) })
	}
	var selected []int
	for i, l := range lines {
		if q.matches(l) {
			selected = append(selected, i)
		}
	}
	if q.Request != "" && len(selected) > 0 {
		selected = append(selected, contextLines(lines, selected)...)
		slices.Sort(selected)
		selected = slices.Compact(selected)
	}
	result := make([]Line, len(selected))
	for i, index := range selected {
		result[i] = lines[index]
	}
	return result
}

func (q Query) matches(l Line) bool {
	switch {
	case q.Target != "" && q.Target != l.Target && q.Target != l.targetID():
		return false
	case q.Request != "" && q.Request != l.Request:
		return false
	case q.Service != "" && q.Service != l.Service:
		return false
	}
	return true
}

// contextLines returns the indexes of the lines that give the context of a
// request, whose own lines have the indexes own: the latest state change of each
// of its targets by each node, and the lifecycle and dependency events of its
// nodes.
func contextLines(lines []Line, own []int) []int {
	targets, nodes := make(map[string]bool), make(map[string]bool)
	for _, i := range own {
		l := lines[i]
		nodes[l.Node] = true
		if l.Home != "" {
			nodes[l.Home] = true
		}
		if l.Target != "" {
			targets[l.targetID()] = true
		}
	}
	first, last := lines[own[0]].Time, lines[own[len(own)-1]].Time
	targetChanges := make(map[string]int)
	var selected []int
	for i, l := range lines {
		switch {
		case l.Time.After(last):
			continue
		case l.Kind == event.KindTargetState || l.Kind == event.KindEjection || l.Kind == event.KindReturn:
			if targets[l.targetID()] && !l.Time.Before(last.Add(-maxTargetChangeAge)) {
				targetChanges[l.Node+" "+l.targetID()] = i
			}
		case !l.Time.Before(first.Add(-maxNodeEventAge)) && slices.Contains(nodeMessages, l.Message):
			if nodes[l.Node] || nodes[l.Relay] {
				selected = append(selected, i)
			}
		}
	}
	for _, i := range targetChanges {
		selected = append(selected, i)
	}
	return selected
}
