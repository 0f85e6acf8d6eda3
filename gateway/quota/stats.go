package quota

import "expvar"

// Stats counts decisions. A nil *Stats counts nothing.
type Stats struct {
	// Decisions counts, by kind: requests admitted, those of them by this host's share
	// alone, those refused by reason, and admissions given back.
	Decisions *expvar.Map
}

func (s *Stats) count(kind string) {
	if s != nil {
		s.Decisions.Add(kind, 1)
	}
}
