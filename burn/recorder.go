package burn

import (
	"slices"
	"sync"
	"time"
)

// Recorder counts the requests that one node answered, for each service in a
// bounded number of buckets. Its methods may be called from any goroutine.
type Recorder struct {
	mu       sync.Mutex
	since    time.Time
	services map[string]*[len(Levels)]series
}

// NewRecorder returns a recorder that begins to count at the given time.
func NewRecorder(now time.Time) *Recorder {
	return &Recorder{since: now, services: map[string]*[len(Levels)]series{}}
}

// Record counts one request of the service. Requests that ended by the
// caller's own doing are not counted.
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

// Retain forgets the services that are not listed, so that the memory stays
// bounded by the configuration.
func (r *Recorder) Retain(services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.services {
		if !slices.Contains(services, name) {
			delete(r.services, name)
		}
	}
}

// levels returns the buckets of a service, made on first use; the lock is held.
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
