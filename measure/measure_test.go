package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/pool"
	"filbertmill.example/testbed/load"
	"filbertmill.example/testbed/target"
)

func TestBounds(t *testing.T) {
	tests := []struct {
		desc  string
		bound *bound
		value float64
		want  bool
	}{
		{"no bound", nil, 1e9, true},
		{"at most, on the limit", atMost(2), 2, true},
		{"at most, above", atMost(2), 2.01, false},
		{"at least, on the limit", atLeast(0.95), 0.95, true},
		{"at least, below", atLeast(0.95), 0.94, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			qt.Assert(t, tt.bound.keeps(tt.value), qt.Equals, tt.want)
		})
	}
}

func snapshot(states ...pool.State) pool.Snapshot {
	s := pool.Snapshot{FloorSlots: 0} // what the node says of its floor does not count
	for _, state := range states {
		s.Targets = append(s.Targets, pool.TargetStatus{State: string(state), Slots: 2})
	}
	return s
}

func TestBelowFloor(t *testing.T) {
	const serving, ejected = pool.StateServing, pool.StateEjected
	tests := []struct {
		desc     string
		snapshot pool.Snapshot
		want     bool
	}{
		{"all serve", snapshot(serving, serving, serving, serving), false},
		{"on the floor", snapshot(ejected, ejected, serving, serving), false},
		{"below the floor", snapshot(ejected, ejected, ejected, serving), true},
		{"on trial is not in service", snapshot(ejected, pool.StateProbation, ejected, serving), true},
		{"cold from the start", snapshot(pool.StateCold, pool.StateCold, pool.StateCold), false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			qt.Assert(t, belowFloor(tt.snapshot), qt.Equals, tt.want)
		})
	}
}

func TestToldNotRun(t *testing.T) {
	s := load.Sample{Attempts: []load.Attempt{{Outcome: "unknown"}, {Outcome: "not-run"}}}
	tests := []struct {
		desc string
		runs []target.Run
		want bool
	}{
		{"never run", nil, false},
		{"the unknown attempt ran", []target.Run{{Attempt: 1}}, false},
		{"the attempt said not to have run ran", []target.Run{{Attempt: 2}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			qt.Assert(t, toldNotRun(s, tt.runs), qt.Equals, tt.want)
		})
	}
}

func TestGoodput(t *testing.T) {
	svc := service{targets: 1, slots: 2}
	sample := func(at, latency time.Duration, result load.Result) load.Sample {
		return load.Sample{
			Arrival:  load.Arrival{At: at, Work: time.Second},
			Latency:  latency,
			Attempts: []load.Attempt{{Result: result}},
		}
	}
	samples := []load.Sample{
		sample(0, time.Second, load.ResultComplete),
		sample(0, 2*time.Second, load.ResultTimeout),
		sample(time.Second, 5*time.Second, load.ResultComplete), // ends after the window
	}
	qt.Assert(t, goodput(svc, samples, 0, 2*time.Second), qt.Equals, 0.25)
}

func TestWorkStops(t *testing.T) {
	since := time.Unix(100, 0)
	var runs []target.Run
	add := func(name string, every, until time.Duration) {
		for at := time.Duration(0); at < until; at += every {
			runs = append(runs, target.Run{Target: name, Start: since.Add(at)})
		}
	}
	add("healthy", 10*time.Millisecond, 5*time.Second)
	add("out", 10*time.Millisecond, 2*time.Second)
	add("slow", 50*time.Millisecond, 5*time.Second)
	tests := []struct {
		target string
		want   time.Duration
	}{
		{"out", 1900 * time.Millisecond}, // the last 10 runs are a tenth of a second's
		{"slow", 5 * time.Second},        // slow and still in service
	}
	for _, tt := range tests {
		t.Run(tt.target, func(t *testing.T) {
			got := workStops(runs, tt.target, []string{"healthy"}, since, 5*time.Second)
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

func TestAnswerTimeOfARefusalIsThePatience(t *testing.T) {
	s := load.Sample{
		Arrival:  load.Arrival{Class: load.Class{Timeout: time.Second}},
		Latency:  time.Millisecond,
		Attempts: []load.Attempt{{Result: load.ResultStatus}},
	}
	qt.Assert(t, answerTime(s), qt.Equals, time.Second)
	s.Attempts[0].Result = load.ResultComplete
	qt.Assert(t, answerTime(s), qt.Equals, time.Millisecond)
}

func TestTable(t *testing.T) {
	var lines, table bytes.Buffer
	r := &report{out: &lines}
	for _, variant := range []string{variantDirect, variantHome} {
		r.add(label{scenario: "s", variant: variant}, detection, 2.5)
	}
	writeTable(&table, r.figures)
	qt.Assert(t, strings.Count(lines.String(), "\n"), qt.Equals, 2)
	qt.Assert(t, lines.String(), qt.Contains, `"measure":"detection_s","value":2.5,"unit":"s","bound":2,"ok":false`)
	qt.Assert(t, table.String(), qt.Matches, `(?s)scenario.*detection_s +s +2.5 +2.5 +2 +RED\n`)
	qt.Assert(t, r.red(variantHome), qt.HasLen, 1)
}
