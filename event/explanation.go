package event

import (
	"fmt"
	"io"
)

// Explanation holds the events that the nodes of a fleet recorded and that a
// query selects.
type Explanation struct {
	// Events are the decisions, oldest first by the nodes' clocks.
	Events []Event `json:"events"`
	// Nodes are the nodes that answered.
	Nodes []string `json:"nodes"`
	// Silent are the nodes that were asked and did not answer.
	Silent []SilentNode `json:"silent"`
	// Overwritten is the number of events that the answering nodes no longer
	// hold; any of them might have matched the query.
	Overwritten uint64 `json:"overwritten"`
}

// SilentNode is a node that did not answer.
type SilentNode struct {
	Node  string `json:"node"`
	Error string `json:"error"`
}

// NewExplanation merges the results of the nodes and keeps the latest events up
// to the limit; 0 sets no limit.
func NewExplanation(results []QueryResult, silent []SilentNode, limit int) Explanation {
	x := Explanation{Events: Merge(results, limit), Nodes: []string{}, Silent: silent}
	if x.Events == nil {
		x.Events = []Event{}
	}
	if x.Silent == nil {
		x.Silent = []SilentNode{}
	}
	for _, r := range results {
		x.Nodes = append(x.Nodes, r.Node)
		x.Overwritten += r.Overwritten
	}
	return x
}

// WriteText writes a sentence for each event, then the number of overwritten
// events and the nodes that did not answer.
func (x Explanation) WriteText(out io.Writer) {
	for _, e := range x.Events {
		fmt.Fprintln(out, e.Sentence())
	}
	if len(x.Events) == 0 {
		fmt.Fprintf(out, "No decision matches on the %d nodes that answered.\n", len(x.Nodes))
	}
	if x.Overwritten > 0 {
		fmt.Fprintf(out, "Older decisions are gone: %d were overwritten by newer ones.\n", x.Overwritten)
	}
	for _, s := range x.Silent {
		fmt.Fprintf(out, "No answer from node %s: %s\n", s.Node, s.Error)
	}
}
