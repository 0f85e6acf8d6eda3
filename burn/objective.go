package burn

import "time"

// Objective is the service-level objective that the operators set for a service.
type Objective struct {
	// Service is the service's name.
	Service string
	// Share is the share of requests to be answered completely and in time, below 1.
	Share float64
	// Window is the time over which the share counts.
	Window time.Duration
}

// Severity is the urgency of an alert.
type Severity string

// The severities.
const (
	// SeverityPage calls for attention immediately.
	SeverityPage Severity = "page"
	// SeverityTicket calls for attention within days.
	SeverityTicket Severity = "ticket"
)

// rule is a burn rate alert over two windows. It fires while the burn rates over
// both the long and the short window are so high that budgetShare of the error
// budget would be spent within the long window.
type rule struct {
	severity    Severity
	long, short time.Duration
	budgetShare float64
}

// rules are the customary pairs of windows for burn rate alerts.
var rules = []rule{
	{severity: SeverityPage, long: time.Hour, short: 5 * time.Minute, budgetShare: 0.02},
	{severity: SeverityPage, long: 6 * time.Hour, short: 30 * time.Minute, budgetShare: 0.05},
	{severity: SeverityTicket, long: 24 * time.Hour, short: 2 * time.Hour, budgetShare: 0.1},
	{severity: SeverityTicket, long: 72 * time.Hour, short: 6 * time.Hour, budgetShare: 0.1},
}

// reportedWindows are the windows over which burn rates are reported.
var reportedWindows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 6 * time.Hour, 24 * time.Hour, 72 * time.Hour,
}

// threshold returns the burn rate above which the rule fires for the objective.
func (r rule) threshold(o Objective) float64 {
	return r.budgetShare * float64(o.Window) / float64(r.long)
}

// Rate returns the burn rate of the counts: how many times faster than the
// objective allows the error budget was spent; 0 without requests.
func (o Objective) Rate(c Counts) float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Failed()) / float64(c.Total()) / (1 - o.Share)
}
