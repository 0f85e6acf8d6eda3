package balance

import "expvar"

// What became of the questions for a second attempt, as counted and logged.
const (
	secondGranted     = "granted"
	secondBudgetSpent = "budget_spent"
	secondWorkWaits   = "work_waits"
)

// Stats counts what Loops decided on second attempts, by service and result.
type Stats struct{ second *expvar.Map }

// NewStats returns Stats that are published under a name.
func NewStats(name string) *Stats { return &Stats{second: expvar.NewMap(name)} }

func (s *Stats) add(service, result string) {
	if s != nil {
		s.second.Add(service+" "+result, 1)
	}
}
