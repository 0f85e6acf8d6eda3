package burn

import (
	"maps"
	"slices"
	"time"
)

// Total holds the sums of the counts of all nodes.
type Total struct {
	services map[string]*serviceTotal
	since    time.Time
}

// serviceTotal holds, for each level, the counts by epoch.
type serviceTotal [len(Levels)]map[int64]Counts

// Merge adds up snapshots. Each request is counted only by the node that answered
// its caller, so that the sums count it once.
func Merge(snapshots []Snapshot) *Total {
	t := &Total{services: map[string]*serviceTotal{}}
	for _, s := range snapshots {
		t.updateSince(time.Unix(s.Since, 0).UTC())
		for _, service := range s.Services {
			t.add(service)
		}
	}
	return t
}

// updateSince keeps the earliest time from which a node has counted.
func (t *Total) updateSince(since time.Time) {
	if t.since.IsZero() || since.Before(t.since) {
		t.since = since
	}
}

func (t *Total) add(from ServiceCounts) {
	into, found := t.services[from.Service]
	if !found {
		into = &serviceTotal{}
		for i := range into {
			into[i] = map[int64]Counts{}
		}
		t.services[from.Service] = into
	}
	for i, buckets := range from.Buckets {
		if i >= len(into) {
			return // A newer release may count at more levels.
		}
		for _, b := range buckets {
			into[i][b.Epoch] = into[i][b.Epoch].Plus(b.Counts)
		}
	}
}

// Window returns the counts of a service over the window before now, rounded up
// to whole buckets of the finest level that covers it.
func (t *Total) Window(now time.Time, service string, window time.Duration) Counts {
	total, found := t.services[service]
	if !found {
		return Counts{}
	}
	i := finestLevel(window)
	level := Levels[i]
	from := level.epoch(now.Add(-window))
	var sum Counts
	for epoch, counts := range total[i] {
		if epoch >= from {
			sum = sum.Plus(counts)
		}
	}
	return sum
}

// Point is one bucket of a series over time.
type Point struct {
	// Start is the beginning of the bucket.
	Start time.Time `json:"start"`
	// Counts are the requests that ended in it.
	Counts Counts `json:"counts"`
}

// Series returns the buckets of a service at the level with the given index in
// Levels, oldest first: all from the first that is not empty until now.
func (t *Total) Series(now time.Time, service string, level int) []Point {
	total, found := t.services[service]
	if !found || len(total[level]) == 0 {
		return nil
	}
	width := Levels[level].Width
	first := slices.Min(slices.Collect(maps.Keys(total[level])))
	var points []Point
	for epoch := first; epoch <= Levels[level].epoch(now); epoch++ {
		start := time.Unix(0, epoch*int64(width)).UTC()
		points = append(points, Point{Start: start, Counts: total[level][epoch]})
	}
	return points
}
