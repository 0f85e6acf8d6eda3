package burn

import (
	"maps"
	"slices"
	"time"
)

// MaxPageServices is the maximum number of services in one Snapshot; it keeps the
// Snapshot within the size of a control message.
const MaxPageServices = 64

// Query selects one page of a node's counts.
type Query struct {
	// Service limits the page to one service; empty for all.
	Service string `json:"service,omitempty" cbor:"1,keyasint,omitempty"`
	// After is the last service of the previous page; empty for the first page.
	After string `json:"after,omitempty" cbor:"2,keyasint,omitempty"`
}

// Snapshot is one page of a node's counts.
type Snapshot struct {
	// Node is the node that counted.
	Node string `json:"node" cbor:"1,keyasint"`
	// Since is when the node began to count, in seconds of Unix time.
	Since int64 `json:"since" cbor:"2,keyasint"`
	// Services are sorted by name.
	Services []ServiceCounts `json:"services" cbor:"3,keyasint"`
	// More is set if another page follows.
	More bool `json:"more" cbor:"4,keyasint,omitempty"`
}

// ServiceCounts holds the counts of one service.
type ServiceCounts struct {
	// Service is the service's name.
	Service string `json:"service" cbor:"1,keyasint"`
	// Buckets holds, for each of Levels, the buckets that are not empty, oldest first.
	Buckets [][]Bucket `json:"buckets" cbor:"2,keyasint"`
}

// Bucket holds the counts of one interval.
type Bucket struct {
	// Epoch is the start of the interval, counted in widths of its level since 1970.
	Epoch int64 `json:"epoch" cbor:"1,keyasint"`
	// Counts are the requests that ended in it.
	Counts Counts `json:"counts" cbor:"2,keyasint"`
}

// Snapshot returns a page of the counts; Node is left empty. Buckets that are
// older than their level covers are not included.
func (r *Recorder) Snapshot(now time.Time, q Query) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{Since: r.since.Unix()}
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		if name <= q.After || (q.Service != "" && q.Service != name) {
			continue
		}
		if len(s.Services) == MaxPageServices {
			s.More = true
			break
		}
		s.Services = append(s.Services, snapshotService(now, name, r.services[name]))
	}
	return s
}

func snapshotService(now time.Time, name string, levels *[len(Levels)]series) ServiceCounts {
	counts := ServiceCounts{Service: name, Buckets: make([][]Bucket, len(Levels))}
	for i, l := range Levels {
		counts.Buckets[i] = levels[i].snapshot(l.epoch(now))
	}
	return counts
}

// snapshot returns the buckets that are not empty and that the level still covers
// when its newest bucket is that of the epoch now.
func (s series) snapshot(now int64) []Bucket {
	var buckets []Bucket
	for _, b := range s {
		if b.epoch > now-int64(len(s)) && b.tally != (tally{}) {
			buckets = append(buckets, Bucket{Epoch: b.epoch, Counts: b.tally.counts()})
		}
	}
	slices.SortFunc(buckets, func(a, b Bucket) int { return int(a.Epoch - b.Epoch) })
	return buckets
}
