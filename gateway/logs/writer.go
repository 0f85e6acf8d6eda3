// Package logs writes log lines without ever holding up those who log.
//
// Lines wait in bounded queues, one for ordinary lines and one for warnings and
// errors, which are written first. A line that finds its queue full or its rate
// exceeded is dropped and counted, and the counts are logged.
package logs

import (
	"bytes"
	"encoding/json"
	"io"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait in each queue.
	queueLines = 1024
	// linesPerSecond and burstLines bound the lines of each class: at most a few
	// hundred kilobytes a second.
	linesPerSecond = 300
	burstLines     = 600
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
)

// Writer is the output of a logger.
type Writer struct {
	out       io.Writer
	classes   [2]class
	done      chan struct{}
	stopped   chan struct{}
	closeOnce sync.Once
}

// class is one class of lines.
type class struct {
	name    string
	queue   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	total   atomic.Int64
}

// The classes of lines.
const (
	ordinary = iota
	urgent
)

// NewWriter returns a Writer to out; Close ends it. From then on the process
// outlives a reader of its standard output or error that goes away.
func NewWriter(out io.Writer) *Writer {
	signal.Ignore(syscall.SIGPIPE)
	w := &Writer{out: out, done: make(chan struct{}), stopped: make(chan struct{})}
	for i, name := range []string{"ordinary", "urgent"} {
		w.classes[i].name = name
		w.classes[i].queue = make(chan []byte, queueLines)
		w.classes[i].limit = rate.NewLimiter(linesPerSecond, burstLines)
	}
	go w.run()
	return w
}

// Output returns what a logger writes to.
func (w *Writer) Output() io.Writer {
	return hclog.NewLeveledWriter(queueWriter{&w.classes[ordinary]}, map[hclog.Level]io.Writer{
		hclog.Warn: queueWriter{&w.classes[urgent]}, hclog.Error: queueWriter{&w.classes[urgent]},
	})
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 {
	return w.classes[ordinary].total.Load() + w.classes[urgent].total.Load()
}

// Close writes what waits and ends the Writer. It waits no longer than for one
// line that nobody reads.
func (w *Writer) Close(limit time.Duration) {
	w.closeOnce.Do(func() { close(w.done) })
	select {
	case <-w.stopped:
	case <-time.After(limit):
	}
}

// lineWriter puts lines into a class's queue.
type queueWriter struct{ *class }

// Write takes one line. It never fails and never waits.
func (l queueWriter) Write(line []byte) (int, error) {
	if l.limit.Allow() {
		select {
		case l.queue <- bytes.Clone(line):
			return len(line), nil
		default:
		}
	}
	l.dropped.Add(1)
	l.total.Add(1)
	return len(line), nil
}

// run writes lines, urgent ones first.
func (w *Writer) run() {
	defer close(w.stopped)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.classes[urgent].queue:
			w.write(line)
			continue
		default:
		}
		select {
		case line := <-w.classes[urgent].queue:
			w.write(line)
		case line := <-w.classes[ordinary].queue:
			w.write(line)
		case <-ticker.C:
			w.report()
		case <-w.done:
			w.flush()
			return
		}
	}
}

// flush writes the lines that still wait.
func (w *Writer) flush() {
	for i := range w.classes {
		for range len(w.classes[i].queue) {
			w.write(<-w.classes[i].queue)
		}
	}
	w.report()
}

// report writes how many lines were dropped since the last report.
func (w *Writer) report() {
	for i := range w.classes {
		c := &w.classes[i]
		n := c.dropped.Swap(0)
		if n == 0 {
			continue
		}
		line, err := json.Marshal(map[string]any{
			"@level": "warn", "@message": "log lines dropped", "@timestamp": time.Now().Format(time.RFC3339Nano),
			"class": c.name, "lines": n,
		})
		if err == nil {
			w.write(append(line, '\n'))
		}
	}
}

// write writes one line. A failed write has nowhere to be reported.
func (w *Writer) write(line []byte) { _, _ = w.out.Write(line) }
