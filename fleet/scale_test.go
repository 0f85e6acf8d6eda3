package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkBuildView measures computing the homes of the services at several
// sizes of the fleet, and reports the memory of the table and the view.
func BenchmarkBuildView(b *testing.B) {
	for _, size := range []struct{ members, services int }{{725, 1600}, {1450, 1600}, {2900, 1600}, {5800, 1600}, {5800, 400}} {
		b.Run(fmt.Sprintf("members=%d/services=%d", size.members, size.services), func(b *testing.B) {
			before := heapBytes()
			a := &Agent{table: newTable(), avoidances: make(avoidances), loads: testLoads(size.services)}
			a.inForce.Store(&configuration{})
			for _, m := range testMembers(size.members, 8) {
				a.table.apply(m, time.Time{})
			}
			table := heapBytes()
			a.buildView()
			held := heapBytes()
			b.ReportAllocs()
			for b.Loop() {
				a.table.recordChange()
				a.buildView()
			}
			b.ReportMetric(float64(table-before)/float64(size.members), "table-B/member")
			b.ReportMetric(float64(held-table), "view-B")
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestControlTrafficOfChangesOfMembership checks that the control traffic of a
// node stays within its budget while members crash and restart. The traffic of a
// node hardly depends on the size of the fleet.
func TestControlTrafficOfChangesOfMembership(t *testing.T) {
	const budget = 16_000 // bytes sent per second and node
	for _, nodes := range []int{12, 24, 48} {
		inFleet(t, nodes, func(t *testing.T, f *testFleet) {
			time.Sleep(time.Minute)
			rate := func(during func()) (messages, bytes float64) {
				m0, b0 := f.net.counts()
				start := time.Now()
				during()
				m, by := f.net.counts()
				per := time.Since(start).Seconds() * float64(nodes)
				return float64(m-m0) / per, float64(by-b0) / per
			}
			idleMessages, idleBytes := rate(func() { time.Sleep(time.Minute) })
			messages, bytes := rate(func() {
				for i := 2; i < 8; i++ {
					f.crash(i)
					time.Sleep(5 * time.Second)
					f.start(i)
					time.Sleep(5 * time.Second)
				}
			})
			t.Logf("%d nodes: per node, %.1f messages/s and %.0f bytes/s when idle; with a crash and a restart every 10 s %.1f and %.0f",
				nodes, idleMessages, idleBytes, messages, bytes)
			qt.Check(t, bytes < budget, qt.IsTrue)
		})
	}
}
