// Package logs writes log lines without ever blocking the goroutines that log.
//
// Lines wait in queues that are bounded in lines and in bytes: one for ordinary lines
// and one for warnings and errors, which are written first. A line is dropped if its
// queue is full or its rate limit is exceeded. Dropped lines are counted, and the counts are logged.
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
	// queueLines and queueBytes are the capacity of each queue, in lines and in bytes. The
	// lines that a node writes by itself reach the first before the second.
	queueLines = 1024
	queueBytes = 1 << 20
	// linesPerSecond and burstLines limit the rate of each class of lines, to at most a
	// few hundred kilobytes per second.
	linesPerSecond = 300
	burstLines     = 600
	// reportInterval is how often the number of dropped lines is logged.
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

// class is a class of lines with its own queue and rate limit.
type class struct {
	name  string
	queue chan []byte
	limit *rate.Limiter
	// queued is the size of the lines in the queue, in bytes.
	queued atomic.Int64
	// dropped counts the lines dropped since the last report, and total all dropped
	// lines.
	dropped atomic.Int64
	total   atomic.Int64
}

// The classes of lines.
const (
	ordinary = iota
	urgent
)

// NewWriter returns a Writer to out, which Close stops. NewWriter also makes the
// process ignore SIGPIPE, so that it survives the exit of a reader of its standard
// output or standard error.
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

// Output returns the io.Writer for a logger.
func (w *Writer) Output() io.Writer {
	return hclog.NewLeveledWriter(queueWriter{&w.classes[ordinary]}, map[hclog.Level]io.Writer{
		hclog.Warn: queueWriter{&w.classes[urgent]}, hclog.Error: queueWriter{&w.classes[urgent]},
	})
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 {
	return w.classes[ordinary].total.Load() + w.classes[urgent].total.Load()
}

// Close writes the queued lines and stops the Writer. It returns after the limit at
// the latest, even if nobody reads the lines.
func (w *Writer) Close(limit time.Duration) {
	w.closeOnce.Do(func() { close(w.done) })
	select {
	case <-w.stopped:
	case <-time.After(limit):
	}
}

// queueWriter adds lines to the queue of a class.
type queueWriter struct{ *class }

// Write queues or drops one line. It never fails and never blocks.
func (w queueWriter) Write(line []byte) (int, error) {
	if w.limit.Allow() {
		if w.queued.Add(int64(len(line))) <= queueBytes {
			select {
			case w.queue <- bytes.Clone(line):
				return len(line), nil
			default:
			}
		}
		w.queued.Add(-int64(len(line)))
	}
	w.dropped.Add(1)
	w.total.Add(1)
	return len(line), nil
}

// run writes the queued lines, urgent ones first.
func (w *Writer) run() {
	defer close(w.stopped)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.classes[urgent].queue:
			w.classes[urgent].write(w.out, line)
			continue
		default:
		}
		select {
		case line := <-w.classes[urgent].queue:
			w.classes[urgent].write(w.out, line)
		case line := <-w.classes[ordinary].queue:
			w.classes[ordinary].write(w.out, line)
		case <-ticker.C:
			w.report()
		case <-w.done:
			w.flush()
			return
		}
	}
}

// flush writes the lines that are still queued.
func (w *Writer) flush() {
	for i := range w.classes {
		c := &w.classes[i]
		for range len(c.queue) {
			c.write(w.out, <-c.queue)
		}
	}
	w.report()
}

// report logs how many lines were dropped since the last report.
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
			_, _ = w.out.Write(append(line, '\n'))
		}
	}
}

// write writes a line from the queue. It ignores errors, because there is nowhere to
// report them.
func (c *class) write(out io.Writer, line []byte) {
	_, _ = out.Write(line)
	c.queued.Add(-int64(len(line)))
}
