package fleet

import (
	"testing"
	"time"
)

// BenchmarkBuildViewAtPlannedSize measures computing the homes of 1,600 services
// on 5,800 members, which each change of the membership requires.
func BenchmarkBuildViewAtPlannedSize(b *testing.B) {
	a := &Agent{table: newTable(), avoidances: make(avoidances), loads: testLoads(1600)}
	a.inForce.Store(&configuration{})
	for _, m := range testMembers(5800, 8) {
		a.table.apply(m, time.Time{})
	}
	for b.Loop() {
		a.table.recordChange()
		a.buildView()
	}
}
