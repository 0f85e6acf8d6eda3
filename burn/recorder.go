package burn

import (
	"slices"
	"sync"
	"time"
)

// Recorder counts the requests that one node answered, in a limited number of
// buckets for each service. Its methods are safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	since    time.Time
	services map[string]*[len(Levels)]series
}

// NewRecorder returns a recorder that begins to count at the given time.
func NewRecorder(now time.Time) *Recorder {
	return &Recorder{since: now, services: map[string]*[len(Levels)]series{}}
}

// Record counts one request of the service. Requests with CauseCaller are not
// counted.
func (r *Recorder) Record(now time.Time, service string, cause Cause) {
	if cause >= causeCount || service == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	levels := r.levels(service)
	for i, l := range Levels {
		levels[i].add(l.epoch(now), cause)
	}
}

// Retain removes the counts of all services that are not listed, so that the size
// of the configuration limits the memory used.
func (r *Recorder) Retain(services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.services {
		if !slices.Contains(services, name) {
			delete(r.services, name)
		}
	}
}

// levels returns the buckets of a service, one series for each of Levels, and
// creates them on first use. r.mu must be held.
func (r *Recorder) levels(service string) *[len(Levels)]series {
	levels, found := r.services[service]
	if !found {
		levels = newLevels()
		r.services[service] = levels
	}
	return levels
}

func newLevels() *[len(Levels)]series {
	var levels [len(Levels)]series
	for i, l := range Levels {
		levels[i] = make(series, l.Buckets)
	}
	return &levels
}
