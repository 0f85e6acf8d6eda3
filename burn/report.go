package burn

import (
	"cmp"
	"slices"
	"time"
)

// Report states for each service how much of its error budget is spent, how
// fast it is being spent and on what.
type Report struct {
	// Time is when the report was made.
	Time time.Time `json:"time"`
	// Since is the earliest time from which a node has counted. Requests before
	// it are not in the report, nor are those counted by nodes that have left
	// without a handover of their counts.
	Since time.Time `json:"since"`
	// Nodes are the nodes whose counts are in the report.
	Nodes []string `json:"nodes"`
	// Silent are the nodes that were asked and did not answer.
	Silent []SilentNode `json:"silent"`
	// Services are sorted by name.
	Services []ServiceReport `json:"services"`
}

// SilentNode is a node that was asked for its counts and did not answer.
type SilentNode struct {
	Node  string `json:"node"`
	Error string `json:"error"`
}

// ServiceReport is the state of one service's error budget.
type ServiceReport struct {
	Service string `json:"service"`
	// Objective and WindowSeconds are the service's objective: the share of
	// requests and the window over which it counts.
	Objective     float64 `json:"objective"`
	WindowSeconds float64 `json:"window_s"`
	// Total and Counts are the requests within the window.
	Total  uint64 `json:"total"`
	Counts Counts `json:"counts"`
	// Allowed is the number of failed requests that the objective allows for Total.
	Allowed float64 `json:"allowed"`
	// BudgetLeft is the share of Allowed that is not spent; negative if more
	// requests have failed. 1 without requests.
	BudgetLeft float64 `json:"budget_left"`
	// Rates are the burn rates over several windows, shortest first.
	Rates []Rate `json:"rates"`
	// Alerts are the rules that fire.
	Alerts []Alert `json:"alerts"`

	// Minutes and Hours are the counts over time, oldest first, for plots.
	Minutes []Point `json:"minutes"`
	Hours   []Point `json:"hours"`
}

// Rate is the burn rate over one window: 1 spends the budget exactly within
// the objective's window.
type Rate struct {
	WindowSeconds float64 `json:"window_s"`
	Total         uint64  `json:"total"`
	Failed        uint64  `json:"failed"`
	Rate          float64 `json:"rate"`
}

// Alert is a rule that fires: the burn rate exceeds Threshold over both windows.
type Alert struct {
	Severity     Severity `json:"severity"`
	LongSeconds  float64  `json:"long_s"`
	ShortSeconds float64  `json:"short_s"`
	Threshold    float64  `json:"threshold"`
	LongRate     float64  `json:"long_rate"`
	ShortRate    float64  `json:"short_rate"`
}

// Indexes in Levels of the levels that the plots show.
const (
	minuteLevel = 0
	hourLevel   = 2
)

// NewReport evaluates the total against the objectives.
func NewReport(now time.Time, objectives []Objective, total *Total) *Report {
	r := &Report{Time: now.UTC(), Since: total.since, Nodes: []string{}, Silent: []SilentNode{}, Services: []ServiceReport{}}
	for _, o := range objectives {
		r.Services = append(r.Services, newServiceReport(now, o, total))
	}
	slices.SortFunc(r.Services, func(a, b ServiceReport) int { return cmp.Compare(a.Service, b.Service) })
	return r
}

func newServiceReport(now time.Time, o Objective, total *Total) ServiceReport {
	counts := total.Window(now, o.Service, o.Window)
	s := ServiceReport{
		Service:       o.Service,
		Objective:     o.Share,
		WindowSeconds: o.Window.Seconds(),
		Total:         counts.Total(),
		Counts:        counts,
		Allowed:       float64(counts.Total()) * (1 - o.Share),
		BudgetLeft:    1 - o.Rate(counts),
		Alerts:        []Alert{},
		Minutes:       total.Series(now, o.Service, minuteLevel),
		Hours:         total.Series(now, o.Service, hourLevel),
	}
	for _, window := range reportedWindows {
		c := total.Window(now, o.Service, window)
		s.Rates = append(s.Rates, Rate{WindowSeconds: window.Seconds(), Total: c.Total(), Failed: c.Failed(), Rate: o.Rate(c)})
	}
	for _, rule := range rules {
		if alert, fires := rule.evaluate(now, o, total); fires {
			s.Alerts = append(s.Alerts, alert)
		}
	}
	return s
}

// evaluate returns the alert of the rule and reports whether the rule fires.
func (r rule) evaluate(now time.Time, o Objective, total *Total) (Alert, bool) {
	a := Alert{
		Severity:     r.severity,
		LongSeconds:  r.long.Seconds(),
		ShortSeconds: r.short.Seconds(),
		Threshold:    r.threshold(o),
		LongRate:     o.Rate(total.Window(now, o.Service, r.long)),
		ShortRate:    o.Rate(total.Window(now, o.Service, r.short)),
	}
	return a, a.LongRate > a.Threshold && a.ShortRate > a.Threshold
}
