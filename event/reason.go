package event

// reasons says for each rule why it fires. It covers the rules of all modules
// so that an explanation reads the same on each node.
var reasons = map[string]string{
	"applied":            "an accepted configuration came into force",
	"bad_request":        "the request was malformed",
	"caller_left":        "its caller closed the connection",
	"caller_share":       "its caller already held its whole share of the service while others waited",
	"connection_lost":    "the connection ended before the whole answer",
	"consecutive_errors": "several exchanges in a row failed",
	"earlier_unknown":    "an earlier request with the same idempotency key may have run",
	"home_lost":          "the node that had the request went away",
	"incomplete_answer":  "the answer was cut short or malformed",
	"key_reused":         "the idempotency key came with another body",
	"no_claim":           "the idempotency key could not be claimed",
	"no_home":            "no node could be reached that serves the service",
	"no_route":           "no route matched",
	"no_target":          "no target could take work",
	"not_authenticated":  "the forwarded request carried no valid signature",
	"poison":             "requests with this fingerprint crash targets",
	"queue_full":         "the queue had no place left",
	"shutdown":           "the node was going down",
	"target_refused":     "the target stated that it did not run the request",
	"timeout":            "its time ran out while a target had it",
	"too_large":          "its body exceeded the route's limit",
	"too_late":           "it could not start before its deadline",
	"unreachable":        "no connection to the target could be opened",
}

// Reason says in words why the rule fires. The rule's name is given with it;
// of a rule without words the name alone.
func Reason(rule string) string {
	if rule == "" {
		return "a rule that was not recorded fired"
	}
	words, found := reasons[rule]
	if !found {
		return "the rule " + rule + " fired"
	}
	return words + " (rule " + rule + ")"
}
