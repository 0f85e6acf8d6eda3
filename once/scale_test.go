package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkWitnessMemory reports the memory that a claimed key takes at a witness,
// and the additional memory of an answer of 1 KiB, both in bytes.
func BenchmarkWitnessMemory(b *testing.B) {
	const keys = 10_000
	self := Member{Name: "node-1", Incarnation: 1}
	holder := Member{Name: "node-2", Incarnation: 1}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for b.Loop() {
		before := heapBytes()
		w := NewWitness(DefaultConfig(), self)
		w.Receive(now, self, Install{Epoch: 1, Holder: holder})
		claim := func(i int) Claim { return Claim{Epoch: 1, Sequence: uint64(i + 1)} }
		for i := range keys {
			w.Receive(now, self, Intent{Key: Key(fmt.Sprintf("booking-%026d", i)), Claim: claim(i)})
		}
		claimed := heapBytes()
		b.ReportMetric(float64(claimed-before)/keys, "B/key")
		for i := range keys {
			answer := &Answer{Status: 200, Body: make([]byte, 1<<10)}
			w.Receive(now, self, Done{Key: Key(fmt.Sprintf("booking-%026d", i)), Claim: claim(i), Answer: answer})
		}
		b.ReportMetric(float64(heapBytes()-claimed)/keys, "B/answer")
		if w.Len() != keys {
			b.Fatalf("%d keys held of %d", w.Len(), keys)
		}
		runtime.KeepAlive(w)
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
