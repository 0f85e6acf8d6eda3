package balance

import (
	"expvar"

	"filbertmill.example/retry"
)

// Results of second attempts, as counted and logged.
const (
	secondGranted     = "granted"
	secondBudgetSpent = "budget_spent"
	secondWorkWaits   = "work_waits"
)

// Stats counts what Loops granted or refused, by service.
type Stats struct {
	// second counts second attempts by result.
	second *expvar.Map
	// permits counts the permits for targets that limit their rate: received and granted.
	permits *expvar.Map
}

// NewStats returns Stats that are published with expvar.
func NewStats() *Stats {
	return &Stats{second: expvar.NewMap("second_attempts"), permits: expvar.NewMap("target_permits")}
}

func (s *Stats) addSecond(service, result string) {
	if s != nil {
		s.second.Add(service+" "+result, 1)
	}
}

func (s *Stats) addReceivedPermits(service string, d retry.Deposit) {
	if s != nil {
		s.permits.AddFloat(service+" received", float64(d.Earned+d.Accrued)/float64(retry.Token))
	}
}

func (s *Stats) addGrantedPermit(service string) {
	if s != nil {
		s.permits.Add(service+" granted", 1)
	}
}
