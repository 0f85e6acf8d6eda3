package node

import (
	"bytes"
	"encoding/json"
	"expvar"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/static"
	"filbertmill.example/event"
)

func TestEmitLogsKeepsAndCounts(t *testing.T) {
	var out bytes.Buffer
	n := &Node{
		settings: &static.Settings{Name: "wigston-1"},
		log:      hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: &out, Level: hclog.Info}),
		stats:    newStats(),
		reports:  newReports(8, time.Now()),
	}
	n.Emit(event.Event{Kind: event.KindRefusal, Request: "r1"})
	n.Emit(event.Event{Kind: event.KindEjection, Service: "larder", Target: "l-1", Rule: "hanging", Evidence: event.Evidence{Samples: 3}})
	var line map[string]any
	qt.Assert(t, json.Unmarshal(out.Bytes(), &line), qt.IsNil, qt.Commentf("one line at the level info: %s", &out))
	delete(line, "@timestamp")
	qt.Assert(t, line, qt.DeepEquals, map[string]any{
		"@level": "info", "@message": "ejection", "service": "larder", "target": "l-1", "rule": "hanging",
		"evidence": map[string]any{"samples": 3.0},
	})
	qt.Assert(t, n.reports.ring.Find(event.Query{}).Events, qt.HasLen, 2)
	qt.Assert(t, n.stats.events.Get("ejection").String(), qt.Equals, "1")
}

// logsPage is the operators' page that lists the kinds of events with their log
// levels, and the metrics.
const logsPage = "../docs/operators/reading-logs-and-metrics.md"

func TestLogsPageAgreesWithTheCode(t *testing.T) {
	page, err := os.ReadFile(logsPage)
	qt.Assert(t, err, qt.IsNil)
	levels := map[event.Kind]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (info|debug) \\|").FindAllSubmatch(page, -1) {
		levels[event.Kind(row[1])] = string(row[2])
	}
	want := map[event.Kind]string{}
	for _, k := range event.Kinds() {
		want[k] = eventLevel(k).String()
	}
	qt.Assert(t, levels, qt.DeepEquals, want)
}

func TestMetricsPageAgreesWithTheCode(t *testing.T) {
	page, err := os.ReadFile(logsPage)
	qt.Assert(t, err, qt.IsNil)
	_, table, _ := strings.Cut(string(page), "| Name | Unit | Meaning |")
	table, _, _ = strings.Cut(table, "\n\n")
	listed := map[string]bool{"cmdline": true, "memstats": true}
	for _, row := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\|").FindAllStringSubmatch(table, -1) {
		listed[row[1]] = true
	}
	newStats().publish(func() any { return nil }, func() any { return nil })
	published := map[string]bool{}
	expvar.Do(func(v expvar.KeyValue) { published[v.Key] = true })
	qt.Assert(t, listed, qt.DeepEquals, published)
}
