package burn

import "time"

// Objective is what the operators promise for a service.
type Objective struct {
	// Service is the service's name.
	Service string
	// Share is the share of requests to be answered whole and in time, below 1.
	Share float64
	// Window is the time over which the share counts.
	Window time.Duration
}

// Severity says how soon an alert wants attention.
type Severity string

// The severities.
const (
	// SeverityPage wants attention at once.
	SeverityPage Severity = "page"
	// SeverityTicket wants attention within days.
	SeverityTicket Severity = "ticket"
)

// rule fires while the budget burns so fast, over a long and a short window
// alike, that the share of it would be spent within the long window.
type rule struct {
	severity    Severity
	long, short time.Duration
	budgetShare float64
}

// rules are the usual pairs of windows for burn rate alerts.
var rules = []rule{
	{severity: SeverityPage, long: time.Hour, short: 5 * time.Minute, budgetShare: 0.02},
	{severity: SeverityPage, long: 6 * time.Hour, short: 30 * time.Minute, budgetShare: 0.05},
	{severity: SeverityTicket, long: 24 * time.Hour, short: 2 * time.Hour, budgetShare: 0.1},
	{severity: SeverityTicket, long: 72 * time.Hour, short: 6 * time.Hour, budgetShare: 0.1},
}

// reportedWindows are the windows of which the burn rate is reported.
var reportedWindows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 6 * time.Hour, 24 * time.Hour, 72 * time.Hour,
}

// threshold is the burn rate at which the rule fires for the objective.
func (r rule) threshold(o Objective) float64 {
	return r.budgetShare * float64(o.Window) / float64(r.long)
}

// Rate is how many times faster than allowed the budget was spent; 0 without
// requests.
func (o Objective) Rate(c Counts) float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Failed()) / float64(c.Total()) / (1 - o.Share)
}
