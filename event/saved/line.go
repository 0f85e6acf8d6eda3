// Package saved explains requests, targets and services from the log lines that
// nodes wrote, so that an explanation does not need the nodes to be reachable.
package saved

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"filbertmill.example/event"
)

// Line is one line that a node logged.
type Line struct {
	Time    time.Time `json:"@timestamp"`
	Level   string    `json:"@level"`
	Message string    `json:"@message"`
	Node    string    `json:"node"`
	Service string    `json:"service"`
	Target  string    `json:"target"`
	Request string    `json:"request"`
	// Home is the node that chose the target. Relay is a node whose replica of
	// the store's content was followed.
	Home  string `json:"home"`
	Relay string `json:"relay"`
	// Kind, Rule, From, To and Evidence are set in lines that record a decision.
	Kind     event.Kind     `json:"kind"`
	Rule     string         `json:"rule"`
	From     string         `json:"from"`
	To       string         `json:"to"`
	Evidence event.Evidence `json:"evidence"`
	// fields holds all keys and values of the line.
	fields map[string]any
}

// messageDecision is the message of lines that record a decision. Earlier
// releases logged the decision's kind as the message instead.
const messageDecision = "decision"

// Problem is a line that could not be read.
type Problem struct {
	File string
	Line int
	Err  error
}

func (p Problem) Error() string { return fmt.Sprintf("%s:%d: %v", p.File, p.Line, p.Err) }

// Read reads the lines of a file. Text that a log collector put before a line's
// opening brace is skipped. Lines that cannot be read are returned as problems;
// an error means that reading the file itself failed.
func Read(file string, r io.Reader) ([]Line, []Problem, error) {
	var lines []Line
	var problems []Problem
	in := bufio.NewReader(r)
	for number := 1; ; number++ {
		text, err := in.ReadBytes('\n')
		if err != nil && err != io.EOF {
			return lines, problems, fmt.Errorf("%s: %w", file, err)
		}
		if len(bytes.TrimSpace(text)) > 0 {
			l, parseErr := parse(text)
			if parseErr != nil {
				problems = append(problems, Problem{file, number, parseErr})
			} else {
				lines = append(lines, l)
			}
		}
		if err == io.EOF {
			return lines, problems, nil
		}
	}
}

func parse(text []byte) (Line, error) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, fmt.Errorf("no JSON object")
	}
	var l Line
	if err := json.Unmarshal(text[at:], &l); err != nil {
		return Line{}, err
	}
	if err := json.Unmarshal(text[at:], &l.fields); err != nil {
		return Line{}, err
	}
	if l.Time.IsZero() || l.Message == "" {
		return Line{}, fmt.Errorf("no @timestamp or no @message")
	}
	if l.Kind == "" && slices.Contains(event.Kinds(), event.Kind(l.Message)) {
		l.Kind = event.Kind(l.Message)
	}
	return l, nil
}

// targetID returns the target's name without the time of its start.
func (l Line) targetID() string { return targetID(l.Target) }

func targetID(target string) string {
	id, _, _ := strings.Cut(target, "#")
	return id
}

// Sentence renders the line for people.
func (l Line) Sentence() string {
	if l.Kind != "" && (l.Message == messageDecision || l.Message == string(l.Kind)) {
		return event.Event{
			Time: l.Time, Node: l.Node, Kind: l.Kind, Service: l.Service, Target: l.Target, Request: l.Request,
			Rule: l.Rule, From: l.From, To: l.To, Evidence: l.Evidence,
		}.Sentence()
	}
	return fmt.Sprintf("%s %s: %s%s.", event.FormatTime(l.Time), l.Node, l.Message, l.details())
}

// details lists the values that the line adds to its message. Empty values are
// left out, except that an empty home is listed as "none": the node chose the
// target by itself.
func (l Line) details() string {
	var names []string
	for name, value := range l.fields {
		if !strings.HasPrefix(name, "@") && name != "node" && (value != "" || name == "home") {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	parts := make([]string, len(names))
	for i, name := range names {
		value := l.fields[name]
		if value == "" {
			value = "none"
		}
		parts[i] = fmt.Sprintf("%s %v", name, value)
	}
	return " (" + strings.Join(parts, "; ") + ")"
}
