package event

import (
	"fmt"
	"strings"
)

// String lists the figures that the rule considered, without Detail.
func (v Evidence) String() string {
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	switch {
	case v.Samples > 0:
		add("%d of %d exchanges failed", v.Failures, v.Samples)
	case v.Failures > 0:
		add("%d exchanges failed", v.Failures)
	}
	switch {
	case v.Latency > 0 && v.PeerLatency > 0:
		add("latency %s against %s of its peers", round(v.Latency), round(v.PeerLatency))
	case v.Latency > 0:
		add("latency %s", round(v.Latency))
	case v.PeerLatency > 0:
		add("latency of the peers %s", round(v.PeerLatency))
	}
	switch {
	case v.Threshold != 0:
		add("score %.4g at a threshold of %.4g", v.Score, v.Threshold)
	case v.Score != 0:
		add("score %.4g", v.Score)
	}
	if v.HealthySlots > 0 || v.FloorSlots > 0 {
		add("%d healthy slots with a floor of %d", v.HealthySlots, v.FloorSlots)
	}
	if v.Queued > 0 {
		add("%d requests queued", v.Queued)
	}
	if v.Wait > 0 {
		add("wait %s", round(v.Wait))
	}
	if v.Revision > 0 {
		add("revision %d", v.Revision)
	}
	return strings.Join(parts, "; ")
}
