package main

import (
	"time"

	"filbertmill.example/pool"
	"filbertmill.example/pool/internal/drive"
)

const (
	seed = 7
	// faultAt is when the conditions begin; span is the length of a trace.
	faultAt = 10 * time.Second
	span    = 24 * time.Second
	timeout = 2 * time.Second
)

// base returns a trace of a service with 8 targets of 2 slots each and about a
// quarter of its capacity in use.
func base(name, note string, conditions ...drive.Condition) drive.Trace {
	return drive.Trace{
		Name: name, Note: note, Targets: 8, Slots: 2, FloorSlots: 8, Conditions: conditions,
		Arrivals: drive.Generate(seed,
			drive.Load{Route: "status", Rate: 30, To: span, Work: 40 * time.Millisecond, Timeout: timeout, Callers: 9},
			drive.Load{Route: "lookup", Rate: 20, To: span, Work: 80 * time.Millisecond, Sigma: 0.5, Timeout: timeout, Callers: 9},
			drive.Load{Route: "booking", Rate: 5, To: span, Work: 60 * time.Millisecond, Sigma: 0.4, Timeout: timeout, NonIdempotent: true},
		),
	}
}

// fromFault returns a condition that lasts from faultAt to the end of the trace.
func fromFault(target string, kind drive.Kind, value float64) drive.Condition {
	return drive.Condition{Target: target, Kind: kind, From: drive.Duration(faultAt), Value: value}
}

// between returns a condition that lasts from begin to end.
func between(target string, kind drive.Kind, value float64, begin, end time.Duration) drive.Condition {
	return drive.Condition{Target: target, Kind: kind, Value: value, From: drive.Duration(begin), To: drive.Duration(end)}
}

// expectEjection expects that one target and no other is ejected.
func expectEjection(target string, within time.Duration, rule string) drive.Expect {
	return drive.Expect{
		MustLeave:      []drive.Departure{{Target: target, Within: drive.Duration(within), Rule: rule}},
		NoOtherEjected: true,
		InTimeShare:    0.98,
	}
}

// expecting returns the trace with the expected results.
func expecting(tr drive.Trace, e drive.Expect) drive.Trace {
	tr.Expect = e
	return tr
}

func traces() []drive.Trace {
	return append(faults(), others()...)
}

// faults returns traces in which a single faulty target must be ejected.
func faults() []drive.Trace {
	const t = "t03"
	second := time.Second
	return []drive.Trace{
		expecting(base("failing", "one target answers 30% of its work with a server error",
			fromFault(t, drive.KindFailing, 0.3)), expectEjection(t, 6*second, pool.RuleFailureRatio)),
		expecting(base("failing-healthy-probes", "one target answers all probes and fails all work",
			fromFault(t, drive.KindFailing, 1)), expectEjection(t, 2*second, pool.RuleFailureRatio)),
		expecting(base("slow", "one target is five times slower than its peers",
			fromFault(t, drive.KindSlow, 5)), expectEjection(t, 6*second, pool.RuleLatencyRatio)),
		expecting(base("truncating", "one target cuts 30% of its answers short",
			fromFault(t, drive.KindTruncating, 0.3)), expectEjection(t, 6*second, pool.RuleTruncation)),
		expecting(base("hanging", "one target never answers a third of its work",
			fromFault(t, drive.KindHanging, 0.3)), expectEjection(t, 8*second, pool.RuleHanging)),
		expecting(base("silent", "one target accepts work and never answers",
			fromFault(t, drive.KindHanging, 1)), expectEjection(t, 4*second, pool.RuleHanging)),
		expecting(base("refusing", "one target refuses connections",
			fromFault(t, drive.KindRefusing, 0)), expectEjection(t, 2*second, pool.RuleConnectionRefused)),
		expecting(base("link", "the home cannot reach one target, another zone can",
			fromFault(t, drive.KindLink, 0)), expectEjection(t, 2*second, pool.RuleLinkFault)),
	}
}

// others returns traces with other conditions: faults of several targets, faults
// that end, and conditions that are not a target's fault.
func others() []drive.Trace {
	second := time.Second
	kinds := func(names ...string) drive.Expect {
		return drive.Expect{NoneEjected: true, Kinds: names, InTimeShare: 0.98}
	}
	flapping := expecting(base("flapping", "one target fails for three seconds, three times",
		between("t03", drive.KindFailing, 1, 6*second, 9*second),
		between("t03", drive.KindFailing, 1, 12*second, 15*second),
		between("t03", drive.KindFailing, 1, 18*second, 21*second)),
		expectEjection("t03", 2*second, pool.RuleFailureRatio))
	flapping.Expect.MaxEjections = 6
	healing := expecting(base("healing", "one target is silent for three seconds and then well",
		between("t03", drive.KindHanging, 1, 6*second, 9*second)), expectEjection("t03", 4*second, pool.RuleHanging))
	healing.Expect.ServingAtEnd = []string{"t03"}
	two := expecting(base("two-at-once", "one target turns slow while another fails",
		fromFault("t02", drive.KindSlow, 5), fromFault("t05", drive.KindFailing, 0.5)), expectEjection("t05", 4*second, pool.RuleFailureRatio))
	two.Expect.MustLeave = append(two.Expect.MustLeave, drive.Departure{
		Target: "t02", Within: drive.Duration(6 * second), Rule: pool.RuleLatencyRatio,
	})
	leaving := expecting(base("leaving", "one target announces that it is leaving",
		fromFault("t03", drive.KindLeaving, 0)), kinds())
	leaving.Expect.Quiet = []drive.Departure{{Target: "t03", Within: drive.Duration(3 * second)}}
	listed := expecting(base("listed-leaving", "the platform lists one target as leaving",
		fromFault("t03", drive.KindListedLeaving, 0)), kinds())
	listed.Expect.Quiet = leaving.Expect.Quiet
	cold := expecting(base("cold", "one target is listed later and starts ten times slower",
		between("t03", drive.KindUnlisted, 0, 0, 5*second), between("t03", drive.KindCold, 10, 0, span)),
		drive.Expect{NoneEjected: true, ServingAtEnd: []string{"t03"}, InTimeShare: 0.98})
	return []drive.Trace{
		flapping, healing, two, leaving, listed, cold, common(), floor(), long(), poison(),
		expecting(base("shedding", "one target grants one slot of two", fromFault("t03", drive.KindShedding, 1)), kinds("shed")),
		expecting(base("dead-probes", "the probes of one target fail, its work is well",
			fromFault("t03", drive.KindDeadProbe, 0)), kinds()),
	}
}

func common() drive.Trace {
	return expecting(base("common-slowness", "all targets turn four times slower at once",
		fromFault("*", drive.KindSlow, 4)), drive.Expect{NoOtherEjected: true, InTimeShare: 0.95})
}

// floor returns a trace in which more targets fail than can be ejected without
// going below the floor.
func floor() drive.Trace {
	tr := base("floor", "five of eight targets fail half of their work",
		fromFault("t01", drive.KindFailing, 0.5), fromFault("t02", drive.KindFailing, 0.5), fromFault("t03", drive.KindFailing, 0.5),
		fromFault("t04", drive.KindFailing, 0.5), fromFault("t05", drive.KindFailing, 0.5))
	tr.FloorSlots = 10
	return expecting(tr, drive.Expect{NoOtherEjected: true, Kinds: []string{"floor_held", "ejection"}})
}

// long returns a trace in which a tenth of the requests take a hundred times longer.
func long() drive.Trace {
	tr := base("long-work", "a tenth of the requests take a hundred times longer")
	tr.Arrivals = drive.Generate(seed,
		drive.Load{Route: "status", Rate: 45, To: span, Work: 40 * time.Millisecond, Timeout: timeout},
		drive.Load{Route: "records", Rate: 5, To: span, Work: 4 * time.Second, Timeout: time.Minute},
	)
	return expecting(tr, drive.Expect{NoOtherEjected: true, Kinds: []string{"target_state"}})
}

// poison returns a trace in which three requests crash each target that runs them,
// as when a caller sends a poison request three times.
func poison() drive.Trace {
	tr := base("poison", "a request crashes each target that runs it, its caller sends it again")
	every := len(tr.Arrivals) / 6
	for i := 1; i <= 3; i++ {
		tr.Arrivals[i*every].Poison = true
	}
	tr.Absolve = true
	return expecting(tr, drive.Expect{InTimeShare: 0.9, ServingAtEnd: []string{
		"t00", "t01", "t02", "t03", "t04", "t05", "t06", "t07",
	}})
}
