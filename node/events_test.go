package node

import (
	"bytes"
	"encoding/json"
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
