package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/testbed/process"
)

const (
	// countsLag is how long after the last answer the counters and log lines of
	// nodes may be incomplete.
	countsLag = time.Second
	// metricsPath is the path of the counters on the readiness listener of a node.
	metricsPath = "/debug/vars"
)

// Messages of the log lines by which a node reports what it answered and what not.
const (
	lineDecided    = "answered"
	lineUnwritten  = "answer not written"
	lineUnfinished = "request without an answer at the end of the process"
	lineStopped    = "stopped"
	lineDropped    = "log lines dropped"
)

// processCounts is what one process counted of its callers' requests.
type processCounts struct {
	read, answered, unanswered int
	// written holds the ids of the requests whose answer the process logged as
	// written.
	written map[string]bool
	// unwritten is the number of requests whose answer it logged as not written.
	unwritten int
}

// callerCounts is what callers observed of one process.
type callerCounts struct {
	answered int
	// left holds the ids of requests whose callers closed the connection, and cut
	// the requests whose connection the process ended. partlySent is the number of
	// the former that were not fully sent: a refusal of them may have been on its
	// way.
	left       []string
	cut        []call
	partlySent int
}

// nodeProcess identifies a process of a node by its number, counted from 1.
type nodeProcess struct {
	node   string
	number int
}

// checkCounts compares what each process counted with what callers observed. It
// covers processes that shut down in order and those that still run.
func (w *world) checkCounts(ctx context.Context, h *history) []breach {
	sleep(ctx, countsLag)
	seen := h.callerCountsByProcess()
	var broken []breach
	for _, n := range w.nodes {
		for number := 1; number <= n.processes.Starts(); number++ {
			l := nodeProcess{n.spec.Name, number}
			b, err := w.countsOf(ctx, n, number)
			switch {
			case err != nil:
				broken = append(broken, breach{promiseCounts, fmt.Sprintf("%s, life %d: %v", l.node, l.number, err), ""})
			case b != nil:
				broken = append(broken, b.compare(l, seen[l])...)
			}
		}
	}
	return broken
}

// callerCountsByProcess sums up what callers observed, by process.
func (h *history) callerCountsByProcess() map[nodeProcess]callerCounts {
	all := make(map[nodeProcess]callerCounts)
	for _, c := range h.calls {
		l := nodeProcess{c.node, c.life}
		t := all[l]
		switch {
		case c.status != 0:
			t.answered++
		case c.left:
			t.left = append(t.left, c.id)
			if c.fullySent.IsZero() {
				t.partlySent++
			}
		default:
			t.cut = append(t.cut, c)
		}
		all[l] = t
	}
	return all
}

// compare reports where a process's counts and what callers observed do not add up.
func (b *processCounts) compare(l nodeProcess, t callerCounts) []breach {
	var broken []breach
	mismatch := func(promise, request, format string, args ...any) {
		text := fmt.Sprintf("%s, life %d: ", l.node, l.number) + fmt.Sprintf(format, args...)
		broken = append(broken, breach{promise, text, request})
	}
	if b.read != b.answered+b.unwritten+b.unanswered {
		mismatch(promiseSum, "", "%d requests read, but %d answered, %d not written and %d unanswered", b.read, b.answered, b.unwritten, b.unanswered)
	}
	answered := t.answered
	for _, id := range t.left {
		if b.written[id] {
			answered++
		}
	}
	for _, c := range t.cut {
		if b.written[c.id] {
			answered++
			mismatch(c.lostPromise(), c.id, "the answer to %s was written, but its caller got none", c.id)
		}
	}
	if b.answered < answered || b.answered > answered+t.partlySent {
		mismatch(promiseCounts, "", "%d requests answered, but %d answers received by callers", b.answered, answered)
	}
	return broken
}

// logLine holds the fields that are read of a node's log line.
type logLine struct {
	Message string `json:"@message"`
	Request string `json:"request"`
	// Read, Answered and Unanswered are the totals of a process, logged when it
	// stops.
	Read       int `json:"read"`
	Answered   int `json:"answered"`
	Unanswered int `json:"unanswered"`
}

// countsOf returns what a process counted. It returns nil if the process was killed
// or dropped log lines.
func (w *world) countsOf(ctx context.Context, n *node, number int) (*processCounts, error) {
	lines, err := w.linesOf(n, number)
	if err != nil {
		return nil, err
	}
	b := &processCounts{written: make(map[string]bool)}
	stopped, unfinished := false, 0
	for _, l := range lines {
		switch l.Message {
		case lineDecided:
			b.written[l.Request] = true
		case lineDropped:
			return nil, nil
		case lineStopped:
			stopped = true
			b.read, b.answered, b.unanswered = l.Read, l.Answered, l.Unanswered
		}
	}
	for _, l := range lines {
		switch l.Message {
		case lineUnwritten:
			b.unwritten++
			delete(b.written, l.Request)
		case lineUnfinished:
			unfinished++
			delete(b.written, l.Request)
		}
	}
	switch {
	case stopped && unfinished != b.unanswered:
		return nil, errors.Newf("%d unanswered requests, but %d log lines about them", b.unanswered, unfinished)
	case stopped:
		return b, nil
	case number < n.processes.Starts():
		return nil, nil
	}
	return b, b.readCounters(ctx, n)
}

// readCounters reads the counters of a running process.
func (b *processCounts) readCounters(ctx context.Context, n *node) error {
	var counters struct {
		Deliveries map[string]int `json:"deliveries"`
	}
	if err := process.GetJSON(ctx, n.spec.Ready, metricsPath, &counters); err != nil {
		return err
	}
	b.answered = counters.Deliveries["answered"]
	for _, count := range counters.Deliveries {
		b.read += count
	}
	return nil
}

// linesOf returns the log lines of a process. Lines that are not JSON, such as those
// of a crash, are skipped.
func (w *world) linesOf(n *node, number int) ([]logLine, error) {
	w.mu.Lock()
	begins := n.logOffsets
	w.mu.Unlock()
	text, err := os.ReadFile(filepath.Join(w.dir, n.spec.Name+".log"))
	if err != nil {
		return nil, err
	}
	end := int64(len(text))
	if number < len(begins) {
		end = begins[number]
	}
	var lines []logLine
	for one := range bytes.Lines(text[begins[number-1]:end]) {
		var l logLine
		if json.Unmarshal(one, &l) == nil {
			lines = append(lines, l)
		}
	}
	return lines, nil
}

// logSize returns the size of a log file, 0 if it does not exist yet.
func logSize(file string) (int64, error) {
	info, err := os.Stat(file)
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
