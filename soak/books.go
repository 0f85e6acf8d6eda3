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
	// bookTime is how long after the last answer the counts and lines of nodes may lag.
	bookTime = time.Second
	// metricsPath is where nodes serve their counters, beside readiness.
	metricsPath = "/debug/vars"
)

// The lines by which a node tells what it did not answer.
const (
	lineDecided    = "answered"
	lineUnwritten  = "answer not written"
	lineUnfinished = "request without an answer at the end of the process"
	lineStopped    = "stopped"
	lineDropped    = "log lines dropped"
)

// book is what one process counted of its callers' requests.
type book struct {
	read, answered, unanswered int
	// written holds the requests whose answer the process says it has written.
	written map[string]bool
	// unwritten is the number of requests that it says it has not answered.
	unwritten int
}

// tally is what callers saw of one process.
type tally struct {
	answered int
	// left are the requests of callers that left, cut those whose connection
	// the process ended; halves counts the former that were not sent whole, of
	// which a refusal may have been on its way.
	left   []string
	cut    []call
	halves int
}

// process names one life of a node.
type life struct {
	node   string
	number int
}

// checkBooks compares, for each process that ended in order or still runs, what
// it counted with what callers saw.
func (w *world) checkBooks(ctx context.Context, h *history) []breach {
	sleep(ctx, bookTime)
	seen := h.tallies()
	var broken []breach
	for _, n := range w.nodes {
		for number := 1; number <= n.place.Starts(); number++ {
			l := life{n.spec.Name, number}
			b, err := w.bookOf(ctx, n, number)
			switch {
			case err != nil:
				broken = append(broken, breach{promiseBooks, fmt.Sprintf("%s, life %d: %v", l.node, l.number, err), ""})
			case b != nil:
				broken = append(broken, b.compare(l, seen[l])...)
			}
		}
	}
	return broken
}

// tallies sums up what callers saw by process.
func (h *history) tallies() map[life]tally {
	all := make(map[life]tally)
	for _, c := range h.calls {
		l := life{c.node, c.life}
		t := all[l]
		switch {
		case c.status != 0:
			t.answered++
		case c.left:
			t.left = append(t.left, c.id)
			if c.whole.IsZero() {
				t.halves++
			}
		default:
			t.cut = append(t.cut, c)
		}
		all[l] = t
	}
	return all
}

// compare reports where a process's counts and what callers saw do not add up.
func (b *book) compare(l life, t tally) []breach {
	var broken []breach
	wrong := func(promise, request, format string, args ...any) {
		text := fmt.Sprintf("%s, life %d: ", l.node, l.number) + fmt.Sprintf(format, args...)
		broken = append(broken, breach{promise, text, request})
	}
	if b.read != b.answered+b.unwritten+b.unanswered {
		wrong(promiseSum, "", "%d requests read, but %d answered, %d not written and %d unanswered", b.read, b.answered, b.unwritten, b.unanswered)
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
			wrong(c.lost(), c.id, "the answer to %s was written, but its caller got none", c.id)
		}
	}
	if b.answered < answered || b.answered > answered+t.halves {
		wrong(promiseBooks, "", "%d requests answered, %d seen by callers", b.answered, answered)
	}
	return broken
}

// logLine is what is read of a node's line.
type logLine struct {
	Message string `json:"@message"`
	Request string `json:"request"`
	// Read, Answered and Unanswered are the sums at the end of a process.
	Read       int `json:"read"`
	Answered   int `json:"answered"`
	Unanswered int `json:"unanswered"`
}

// bookOf returns what a process counted; nil if it was killed or did not keep
// all its lines.
func (w *world) bookOf(ctx context.Context, n *node, number int) (*book, error) {
	lines, err := w.linesOf(n, number)
	if err != nil {
		return nil, err
	}
	b := &book{written: make(map[string]bool)}
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
		return nil, errors.Newf("%d unanswered, but %d lines on them", b.unanswered, unfinished)
	case stopped:
		return b, nil
	case number < n.place.Starts():
		return nil, nil
	}
	return b, b.readCounters(ctx, n)
}

// readCounters takes the counts of a running process.
func (b *book) readCounters(ctx context.Context, n *node) error {
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

// linesOf returns the lines that a process logged. Others, as of a crash, are
// passed over.
func (w *world) linesOf(n *node, number int) ([]logLine, error) {
	w.mu.Lock()
	begins := n.logs
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

// logSize returns the size of a log file, 0 if there is none yet.
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
