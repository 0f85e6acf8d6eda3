package event

// reasons holds, for each rule, a clause on why it fires. It covers the rules
// of all modules, so that an explanation reads the same on each node.
var reasons = map[string]string{
	"absolved":               "a request and not the target was at fault",
	"bad_request":            "the request was malformed",
	"belief":                 "what it answered, and the time since, changed how likely it is to be faulty",
	"caller_left":            "its caller closed the connection",
	"caller_share":           "its caller already held its whole share of the service while others waited",
	"common_cause":           "its peers suffer alike in the same time",
	"connection_lost":        "the connection ended before the whole answer",
	"connection_refused":     "no connection to it could be opened",
	"consecutive_errors":     "several exchanges in a row failed",
	"earlier_unknown":        "an earlier request with the same idempotency key may have run",
	"ejection_over":          "the time of its ejection has passed",
	"evidence_faded":         "too little speaks against it any more",
	"failure_ratio":          "it failed more of its work than its peers did",
	"finished":               "it has finished its work and is leaving",
	"floor":                  "taking it out would leave less than the floor",
	"hanging":                "it left more work unanswered than its peers did",
	"home_lost":              "the node that had the request went away",
	"incomplete_answer":      "the answer was cut short or malformed",
	"interrupted":            "the node went down while a target had the request",
	"key_reused":             "the idempotency key came with another body",
	"latency_ratio":          "it was slower than its peers on the same routes",
	"limit_raised":           "its limit is back at the listed slots",
	"link_fault":             "another availability zone reaches it and the home does not",
	"listed":                 "the list of targets says so",
	"long_running":           "the request runs for long",
	"member_gone":            "a member of the fleet is gone",
	"newer_revision":         "a newer revision was accepted",
	"no_claim":               "the idempotency key could not be claimed",
	"no_configuration":       "the node had no configuration yet",
	"no_home":                "no node could be reached that serves the service",
	"no_route":               "no route matched",
	"no_target":              "no target could take work",
	"not_authenticated":      "the forwarded request carried no valid signature",
	"outdated_configuration": "the node's configuration may have been too old to know its key",
	"own_signal":             "it announced so itself",
	"poison":                 "requests with this fingerprint crash targets",
	"probation_failed":       "it gave a bad answer on probation",
	"probation_passed":       "it gave enough good answers in a row",
	"probes_only":            "no idempotent work came to try it with",
	"queue_full":             "the queue had no place left",
	"quota":                  "its workspace had used up its quota",
	"refused":                "the document had problems",
	"resumed_after_pause":    "the node had been paused",
	"shutdown":               "the node was going down",
	"target_refused":         "the target stated that it did not run the request",
	"timeout":                "its time ran out while a target had it",
	"too_large":              "its body exceeded the route's limit",
	"too_late":               "it could not start before its deadline",
	"truncation":             "it cut short more answers than its peers did",
	"unknown_key":            "it carried no key of a workspace",
	"unreachable":            "no connection to the target could be opened",
	"warm":                   "it answers like its peers again after a cold start",
}

// Reason returns a clause on why the rule fires, followed by the rule's name.
// For a rule that this release does not know it returns only the name.
func Reason(rule string) string {
	if rule == "" {
		return "a rule that was not recorded fired"
	}
	clause, found := reasons[rule]
	if !found {
		return "the rule " + rule + " fired"
	}
	return clause + " (rule " + rule + ")"
}
