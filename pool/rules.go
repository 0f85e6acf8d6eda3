package pool

// The rules that a home's events name.
const (
	// RuleFailureRatio fires on a share of failed work that peers do not have.
	RuleFailureRatio = "failure_ratio"
	// RuleTruncation fires like RuleFailureRatio where most failures are
	// answers cut short.
	RuleTruncation = "truncation"
	// RuleHanging fires like RuleFailureRatio where most failures are attempts
	// without an answer.
	RuleHanging = "hanging"
	// RuleConnectionRefused fires when no connection to the target opens.
	RuleConnectionRefused = "connection_refused"
	// RuleLatencyRatio fires on latency that peers on the same routes do not have.
	RuleLatencyRatio = "latency_ratio"
	// RuleLinkFault fires when another availability zone reaches the target
	// and the home does not.
	RuleLinkFault = "link_fault"
	// RuleCommonCause fires when peers suffer alike in the same window.
	RuleCommonCause = "common_cause"
	// RuleFloor fires when an ejection would leave less than the floor.
	RuleFloor = "floor"
	// RuleEvidenceFaded fires when too little speaks against a target any more.
	RuleEvidenceFaded = "evidence_faded"
	// RuleEjectionOver fires when the time of an ejection has passed.
	RuleEjectionOver = "ejection_over"
	// RuleProbationPassed fires after enough good answers in a row.
	RuleProbationPassed = "probation_passed"
	// RuleProbationFailed fires on a bad answer during probation.
	RuleProbationFailed = "probation_failed"
	// RuleProbesOnly fires when probation ends without idempotent work to try.
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
	// RuleFinished fires when a leaving target has finished its work.
	RuleFinished = "finished"
	// RuleTargetRefused fires when a target declines work it was offered.
	RuleTargetRefused = "target_refused"
	// RuleLimitRaised fires when a lowered limit is back at the listed slots.
	RuleLimitRaised = "limit_raised"
	// RuleQueueFull, RuleTooLate, RuleCallerShare and RuleNoTarget fire when
	// an attempt is given up for the reason of the same name.
	RuleQueueFull   = "queue_full"
	RuleTooLate     = "too_late"
	RuleCallerShare = "caller_share"
	RuleNoTarget    = "no_target"
	// RuleLongRunning fires when a route's requests are found to be long.
	RuleLongRunning = "long_running"
)

// ruleOf names the rule by which a run of samples convicts.
func ruleOf(run []sample, alt alternative) string {
	if !alt.failing {
		return RuleLatencyRatio
	}
	var hung, refused, cut, failed int
	for _, s := range run {
		switch {
		case !s.failed():
		case s.category == categoryHung:
			hung++
		case s.verdict == VerdictUnreachable:
			refused++
		case s.verdict == VerdictTruncated:
			cut++
		default:
			failed++
		}
	}
	most := max(hung, refused, cut, failed)
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
