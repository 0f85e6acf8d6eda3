package balance

import "expvar"

// Results of second attempts, as counted and logged.
const (
	secondGranted     = "granted"
	secondBudgetSpent = "budget_spent"
	secondWorkWaits   = "work_waits"
)

// Stats counts the second attempts that Loops granted or refused, by service and
// result.
type Stats struct{ second *expvar.Map }

// NewStats returns Stats that are published with expvar under a name.
func NewStats(name string) *Stats { return &Stats{second: expvar.NewMap(name)} }

func (s *Stats) add(service, result string) {
	if s != nil {
		s.second.Add(service+" "+result, 1)
	}
}
