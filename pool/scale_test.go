package pool

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"filbertmill.example/event"
)

// benchDelegate records the attempts that were started.
type benchDelegate struct{ started []RequestID }

func (d *benchDelegate) Start(id RequestID, _ string) { d.started = append(d.started, id) }
func (d *benchDelegate) Refuse(RequestID, Refusal)    {}
func (d *benchDelegate) Probe(string, Origin)         {}
func (d *benchDelegate) Event(event.Event)            {}

var benchStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// benchHome returns the home of a service whose targets have 6 slots each.
func benchHome(targets int, d Delegate) Scheduler {
	cfg := DefaultConfig()
	cfg.Service = "larder"
	cfg.QueueLimit = 1 << 20
	h := NewHome(cfg, d, 1)
	var list []Target
	for i := range targets {
		list = append(list, Target{Name: fmt.Sprintf("larder-%05d", i), AvailabilityZone: "wigston", Slots: 6, Connections: 390})
	}
	h.SetTargets(benchStart, list)
	return h
}

// benchRequest returns a request of one of 100 callers, with a distant deadline.
func benchRequest(id RequestID) Request {
	return Request{
		ID: id, Route: "lookup", Caller: fmt.Sprintf("c%03d", id%100),
		Idempotent: true, Deadline: benchStart.Add(time.Hour),
	}
}

// BenchmarkRequest submits and finishes one request while two thirds of the slots
// are in use, at one request per 10 us.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			d := &benchDelegate{}
			h := benchHome(targets, d)
			now, id := benchStart, RequestID(0)
			for range 4 * targets {
				id++
				h.Submit(now, benchRequest(id))
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				id++
				h.Submit(now, benchRequest(id))
				first := d.started[0]
				d.started = d.started[1:]
				h.Finish(now, first, Result{Latency: 10 * time.Millisecond})
			}
		})
	}
}

// BenchmarkRequestInQueue submits and finishes one request of a busy service of 32
// targets, with a queue.
func BenchmarkRequestInQueue(b *testing.B) {
	for _, waiting := range []int{0, 64, 256} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			d := &benchDelegate{}
			h := benchHome(32, d)
			now, id := benchStart, RequestID(0)
			for range 32*6 + waiting {
				id++
				h.Submit(now, benchRequest(id))
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				id++
				h.Submit(now, benchRequest(id))
				if len(d.started) == 0 {
					b.Fatal("nothing runs")
				}
				first := d.started[0]
				d.started = d.started[1:]
				h.Finish(now, first, Result{Latency: 10 * time.Millisecond})
			}
		})
	}
}

// BenchmarkRequestOfCallers submits and finishes one request of a busy service with
// 64 waiting, by the number of callers seen recently. Half of the requests come from
// one caller.
func BenchmarkRequestOfCallers(b *testing.B) {
	for _, callers := range []RequestID{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			d := &benchDelegate{}
			h := benchHome(32, d)
			now, id := benchStart, RequestID(0)
			submit := func() {
				id++
				r := benchRequest(id)
				r.Caller = fmt.Sprintf("c%05d", id%2*(id%callers))
				h.Submit(now, r)
			}
			finish := func() {
				first := d.started[0]
				d.started = d.started[1:]
				h.Finish(now, first, Result{Latency: 10 * time.Millisecond})
			}
			for range 32*6 + 64 {
				submit()
			}
			for range callers {
				submit()
				finish()
			}
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				submit()
				finish()
			}
		})
	}
}

// BenchmarkMemory reports the bytes per target and per waiting request.
func BenchmarkMemory(b *testing.B) {
	const targets, waiting = 3200, 3200
	for b.Loop() {
		before := heap()
		d := &benchDelegate{}
		h := benchHome(targets, d)
		full := heap()
		b.ReportMetric(float64(full-before)/targets, "B/target")
		for id := range RequestID(6*targets + waiting) {
			h.Submit(benchStart, benchRequest(id+1))
		}
		after := heap()
		b.ReportMetric(float64(after-full)/(6*targets+waiting), "B/request")
		runtime.KeepAlive(h)
		runtime.KeepAlive(d)
	}
}

// heap returns the bytes in use after a garbage collection.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
