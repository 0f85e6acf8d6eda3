package burn

import (
	"fmt"
	"runtime"
	"testing"
)

func BenchmarkRecord(b *testing.B) {
	r := NewRecorder(now)
	b.ReportAllocs()
	for b.Loop() {
		r.Record(now, "larder", CauseGood)
	}
}

// BenchmarkMemory reports the memory that the counts of a service take.
func BenchmarkMemory(b *testing.B) {
	const services = 1600
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := NewRecorder(now)
		for i := range services {
			r.Record(now, fmt.Sprintf("service-%d", i), CauseGood)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(r)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/services, "B/service")
	}
}
