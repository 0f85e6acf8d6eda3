package logs

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

func logger(w *Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Output: w.Output(), JSONFormat: true})
}

// TestStalledReaderDoesNotBlockLogging checks that logging continues while nobody
// reads the lines.
func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
	r, out := io.Pipe()
	defer r.Close()
	w := NewWriter(out)
	log := logger(w)
	start := time.Now()
	for i := range 5000 {
		log.Info("ordinary", "i", i)
		log.Warn("urgent", "i", i)
	}
	qt.Check(t, time.Since(start) < 3*time.Second, qt.IsTrue)
	qt.Check(t, w.Dropped() > 0, qt.IsTrue)
	w.Close(10 * time.Millisecond)
}

// TestUnreadLinesAreBoundedInBytes guards against memory that grows with the length of the
// lines while nobody reads them.
func TestUnreadLinesAreBoundedInBytes(t *testing.T) {
	r, out := io.Pipe()
	defer r.Close()
	w := NewWriter(out)
	log := logger(w)
	text := strings.Repeat("x", 100<<10)
	for range burstLines {
		log.Info(text)
		log.Warn(text)
	}
	for i := range w.classes {
		c := &w.classes[i]
		qt.Check(t, len(c.queue)*len(text) <= queueBytes, qt.IsTrue, qt.Commentf("%d lines of the class %s", len(c.queue), c.name))
		qt.Check(t, c.total.Load() > 0, qt.IsTrue)
	}
	w.Close(10 * time.Millisecond)
}

func TestDroppedLinesAreReportedByClass(t *testing.T) {
	var mu sync.Mutex
	var out bytes.Buffer
	w := NewWriter(writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return out.Write(p)
	}))
	log := logger(w)
	for range 3 * burstLines {
		log.Info("ordinary")
	}
	log.Error("urgent")
	w.Close(time.Second)
	mu.Lock()
	defer mu.Unlock()
	text := out.String()
	qt.Check(t, strings.Contains(text, `"urgent"`), qt.IsTrue)
	qt.Check(t, strings.Contains(text, `"class":"ordinary"`), qt.IsTrue)
	qt.Check(t, strings.Count(text, `"@message":"ordinary"`) <= burstLines+linesPerSecond, qt.IsTrue)
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
