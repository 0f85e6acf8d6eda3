package page

import (
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/burn"
)

func TestWriteNeedsNoNetwork(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 30, 0, time.UTC)
	r := burn.NewRecorder(now.Add(-time.Hour))
	for _, cause := range []burn.Cause{burn.CauseGood, burn.CauseOverload} {
		r.Record(now.Add(-3*time.Minute), "larder", cause)
		r.Record(now, "larder", cause)
	}
	objectives := []burn.Objective{
		{Service: "larder", Share: 0.999, Window: 720 * time.Hour},
		{Service: "idle", Share: 0.999, Window: 720 * time.Hour},
	}
	report := burn.NewReport(now, objectives, burn.Merge([]burn.Snapshot{r.Snapshot(now, burn.Query{})}))
	report.Silent = []burn.SilentNode{{Node: "<b>oadby</b>", Error: "timeout"}}
	var out strings.Builder
	qt.Assert(t, Write(&out, report), qt.IsNil)
	text := out.String()
	qt.Assert(t, strings.Count(text, "<svg"), qt.Equals, 2, qt.Commentf("two plots for the service with requests"))
	qt.Assert(t, text, qt.Contains, "&lt;b&gt;oadby&lt;/b&gt;", qt.Commentf("text is escaped"))
	namespaces := regexp.MustCompile(`xmlns(:\w+)?="[^"]*"`)
	rest := namespaces.ReplaceAllString(text, "")
	remote := regexp.MustCompile(`(?i)https?:|<script|<link|@import|url\(|src=`)
	qt.Assert(t, remote.FindString(rest), qt.Equals, "", qt.Commentf("nothing is loaded"))
}
