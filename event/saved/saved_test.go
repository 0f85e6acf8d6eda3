package saved

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// savedLog holds the lines of two nodes, out of order, one with a prefix of a
// log collector.
const savedLog = `{"@level":"info","@message":"relay lost","@timestamp":"2026-12-04T03:00:00.9Z","error":"reset","node":"host-2","relay":"host-1"}
{"@level":"info","@message":"decision","@timestamp":"2026-12-04T03:00:00.5Z","evidence":{"score":0.9,"threshold":0.5},"from":"serving","kind":"target_state","node":"host-3","request":"","rule":"belief","service":"look","target":"i-7#1700","to":"suspected"}
prefix of a collector {"@level":"info","@message":"attempt ended","@timestamp":"2026-12-04T03:00:01.1Z","home":"host-3","latency_ms":12,"node":"host-2","request":"r1","target":"i-7","verdict":"reset"}
{"@level":"warn","@message":"answered","@timestamp":"2026-12-04T03:00:01.2Z","node":"host-2","outcome":"unknown","request":"r1","status":502,"target":"i-7"}
{"@level":"info","@message":"answered","@timestamp":"2026-12-04T03:00:01.3Z","node":"host-2","request":"r2","status":200,"target":"i-8"}
{"@level":"info","@message":"decision","@timestamp":"2026-12-04T03:00:02Z","kind":"target_state","node":"host-3","service":"look","target":"i-7#1700","from":"suspected","to":"serving"}
`

func mustRead(t *testing.T, text string) []Line {
	t.Helper()
	lines, problems, err := Read("a.log", strings.NewReader(text))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, problems, qt.HasLen, 0)
	return lines
}

func messages(lines []Line) []string {
	var list []string
	for _, l := range lines {
		list = append(list, l.Message+" "+l.To)
	}
	return list
}

func TestRequestIncludesTargetChangesAndNodeEvents(t *testing.T) {
	found := Select(mustRead(t, savedLog), Query{Request: "r1"})
	qt.Check(t, messages(found), qt.DeepEquals, []string{"decision suspected", "relay lost ", "attempt ended ", "answered "})
	qt.Check(t, found[0].Sentence(), qt.Equals, "2026-12-04T03:00:00.500Z host-3: target i-7#1700 of service look changed its state "+
		"(from serving to suspected), because what it answered, and the time since, changed how likely it is to be faulty (rule belief). "+
		"Evidence: score 0.9 at a threshold of 0.5.")
	qt.Check(t, found[2].Sentence(), qt.Equals, "2026-12-04T03:00:01.100Z host-2: attempt ended "+
		"(home host-3; latency_ms 12; request r1; target i-7; verdict reset).")
}

// A target's name with its start time selects only the lines that name that
// start; the name alone selects the lines of all starts.
func TestTargetMatchesWithoutStartTime(t *testing.T) {
	qt.Check(t, Select(mustRead(t, savedLog), Query{Target: "i-7"}), qt.HasLen, 4)
	qt.Check(t, Select(mustRead(t, savedLog), Query{Target: "i-7#1700"}), qt.HasLen, 2)
	qt.Check(t, Select(mustRead(t, savedLog), Query{Target: "i-7", Since: time.Second}), qt.HasLen, 3)
}

func TestReadReportsUnreadableLines(t *testing.T) {
	_, problems, err := Read("a.log", strings.NewReader("{\"@message\":\"x\"}\n\nplain\n{\"@timestamp\":\"2026"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, problems, qt.HasLen, 3)
	qt.Check(t, problems[0], qt.ErrorMatches, "a.log:1: no @timestamp or no @message")
	qt.Check(t, problems[1], qt.ErrorMatches, "a.log:3: no JSON object")
	qt.Check(t, problems[2], qt.ErrorMatches, "a.log:4: unexpected end of JSON input")
}
