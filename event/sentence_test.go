package event

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSentence(t *testing.T) {
	for _, test := range []struct {
		desc  string
		event Event
		want  string
	}{
		{
			"ejection with evidence",
			Event{
				Kind: KindEjection, Service: "coldrun", Target: "cr-1", Rule: "consecutive_errors", From: "serving", To: "ejected",
				Evidence: Evidence{
					Samples: 20, Failures: 12, Latency: 1234567 * time.Microsecond, PeerLatency: 81 * time.Millisecond,
					Score: 5.25, Threshold: 4.6, HealthySlots: 14, FloorSlots: 8, Detail: "seen from two availability zones",
				},
			},
			"target cr-1 of service coldrun was taken out of service (from serving to ejected), because several exchanges " +
				"in a row failed (rule consecutive_errors). Evidence: 12 of 20 exchanges failed; latency 1.23s against 81ms of " +
				"its peers; score 5.25 at a threshold of 4.6; 14 healthy slots with a floor of 8. Seen from two availability zones.",
		},
		{
			"refusal",
			Event{Kind: KindRefusal, Service: "larder", Request: "r7", Rule: "queue_full", Evidence: Evidence{Queued: 256, Wait: 2 * time.Second}},
			"request r7 for service larder was refused before it ran, because the queue had no place left (rule queue_full). " +
				"Evidence: 256 requests queued; wait 2s.",
		},
		{
			"retry",
			Event{Kind: KindRetry, Service: "larder", Target: "l-3", Request: "r7", Rule: "unreachable"},
			"request r7 for service larder was tried again after target l-3, because no connection to the " +
				"target could be opened (rule unreachable).",
		},
		{
			"configuration",
			Event{Kind: KindConfiguration, Rule: "newer_revision", Evidence: Evidence{Revision: 12}},
			"a decision on configuration revision 12 was taken, because a newer revision was accepted (rule newer_revision). " +
				"Evidence: revision 12.",
		},
		{
			"rule without words",
			Event{Kind: KindHomeMove, Service: "larder", Rule: "lease_lapsed", From: "a", To: "b"},
			"the home of service larder moved (from a to b), because the rule lease_lapsed fired.",
		},
		{
			"homes of a member",
			Event{Kind: KindHomeMove, Rule: "member_gone", From: "oadby-1"},
			"homes moved (from oadby-1), because a member of the fleet is gone (rule member_gone).",
		},
		{
			"configuration of a document",
			Event{Kind: KindConfiguration, Rule: "refused", To: "7/ab"},
			"a decision on the configuration was taken (to 7/ab), because the document had problems (rule refused).",
		},
		{
			"kind of a newer release",
			Event{Kind: "election", Rule: ""},
			`a decision of the kind "election" was taken on the node, because a rule that was not recorded fired.`,
		},
	} {
		t.Run(test.desc, func(t *testing.T) {
			test.event.Time = start
			test.event.Node = "wigston-1"
			qt.Assert(t, test.event.Sentence(), qt.Equals, "2026-12-04T02:00:00.000Z wigston-1: "+test.want)
		})
	}
}
