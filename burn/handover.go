package burn

import "time"

// TakeSnapshots removes all counts and returns them in pages. A node that shuts
// down uses it to hand them to another node.
func (r *Recorder) TakeSnapshots(now time.Time) []Snapshot {
	r.mu.Lock()
	removed := &Recorder{since: r.since, services: r.services}
	r.services = map[string]*[len(Levels)]series{}
	r.mu.Unlock()
	var pages []Snapshot
	for q := (Query{}); ; {
		page := removed.Snapshot(now, q)
		if len(page.Services) == 0 {
			return pages
		}
		pages = append(pages, page)
		q.After = page.Services[len(page.Services)-1].Service
	}
}

// AddSnapshot adds the counts that another node has handed over.
func (r *Recorder) AddSnapshot(s Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since := time.Unix(s.Since, 0); since.Before(r.since) {
		r.since = since
	}
	for _, service := range s.Services {
		levels := r.levels(service.Service)
		for i := range min(len(service.Buckets), len(Levels)) {
			for _, b := range service.Buckets[i] {
				levels[i].addBucket(b)
			}
		}
	}
}

// addBucket adds the counts of a bucket, unless the ring has already reused its
// place for a later one.
func (s series) addBucket(from Bucket) {
	if from.Epoch <= 0 {
		return
	}
	b := &s[int(from.Epoch%int64(len(s)))]
	if b.epoch > from.Epoch {
		return
	}
	if b.epoch < from.Epoch {
		*b = bucket{epoch: from.Epoch}
	}
	for cause := range b.tally {
		b.tally.addMany(Cause(cause), from.Counts.ByCause(Cause(cause)))
	}
}
