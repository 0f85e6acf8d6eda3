package pool

// The rules named in the events of a home.
const (
	// RuleFailureRatio fires on a share of failures that peers don't have.
	RuleFailureRatio = "failure_ratio"
	// RuleTruncation fires like RuleFailureRatio if most failures are truncated answers.
	RuleTruncation = "truncation"
	// RuleHanging fires like RuleFailureRatio if most failures are attempts without an
	// answer.
	RuleHanging = "hanging"
	// RuleConnectionRefused fires when no connection to the target can be opened.
	RuleConnectionRefused = "connection_refused"
	// RuleLatencyRatio fires on latencies that peers on the same routes don't have.
	RuleLatencyRatio = "latency_ratio"
	// RuleLinkFault fires when another availability zone reaches the target and the
	// home doesn't.
	RuleLinkFault = "link_fault"
	// RuleCommonCause fires when peers are affected in the same way in the same window.
	RuleCommonCause = "common_cause"
	// RuleFloor fires when an ejection would leave less healthy capacity than the floor.
	RuleFloor = "floor"
	// RuleEvidenceFaded fires when there is no longer enough evidence against a target.
	RuleEvidenceFaded = "evidence_faded"
	// RuleEjectionOver fires when the time of an ejection has passed.
	RuleEjectionOver = "ejection_over"
	// RuleProbationPassed fires after enough successive good answers.
	RuleProbationPassed = "probation_passed"
	// RuleProbationFailed fires on a bad answer during probation.
	RuleProbationFailed = "probation_failed"
	// RuleProbesOnly fires when probation ends by probes, without idempotent requests.
	RuleProbesOnly = "probes_only"
	// RuleAbsolved fires when a request and not the target was at fault.
	RuleAbsolved = "absolved"
	// RuleWarm fires when a cold target answers like its peers.
	RuleWarm = "warm"
	// RuleListed fires when the list of targets names a target as leaving, as
	// new, or no longer.
	RuleListed = "listed"
	// RuleOwnSignal fires when a target announces that it is leaving, or
	// answers again without doing so.
	RuleOwnSignal = "own_signal"
	// RuleFinished fires when a leaving target has finished its requests.
	RuleFinished = "finished"
	// RuleTargetRefused fires when a target refuses a request.
	RuleTargetRefused = "target_refused"
	// RuleLimitRaised fires when a lowered limit has risen to the listed slots.
	RuleLimitRaised = "limit_raised"
	// RuleQueueFull, RuleTooLate, RuleCallerShare and RuleNoTarget fire when an attempt
	// is refused for the reason of the same name.
	RuleQueueFull   = "queue_full"
	RuleTooLate     = "too_late"
	RuleCallerShare = "caller_share"
	RuleNoTarget    = "no_target"
	// RuleLongRunning fires when a route's requests are found to be long.
	RuleLongRunning = "long_running"
)

// ruleOf names the rule by which a run of samples counts against its target.
func ruleOf(run []sample, alt alternative) string {
	if !alt.failing {
		return RuleLatencyRatio
	}
	var hung, refused, truncated, failed int
	for _, s := range run {
		switch {
		case !s.failed():
		case s.category == categoryHung:
			hung++
		case s.verdict == VerdictUnreachable:
			refused++
		case s.verdict == VerdictTruncated:
			truncated++
		default:
			failed++
		}
	}
	most := max(hung, refused, truncated, failed)
	switch most {
	case failed:
		return RuleFailureRatio
	case hung:
		return RuleHanging
	case refused:
		return RuleConnectionRefused
	default:
		return RuleTruncation
	}
}
