package replica

import (
	"strings"
	"time"

	"filbertmill.example/platform"
)

// lapseBatch is the time within which lapsed targets are dropped together: each change
// of the targets is passed to all services.
const lapseBatch = 10 * time.Millisecond

// A target whose entry expired while the store was away may live and report again. Its
// removal is recorded and passed on like any other, together with the time for which
// the target stays usable. Each replica ends that time by itself, so that no copy
// depends on a further message.

// lapse keeps a removed target usable for the grace. If the target has lapsed before,
// the earlier end counts.
func (r *Replica) lapse(key string, grace time.Duration) {
	until := time.Now().Add(grace)
	if old, ok := r.lapsed[key]; ok && old.Before(until) {
		return
	}
	r.lapsed[key] = until
	r.log.Info("target expired while the store was away; it stays usable for a while", "target", targetID(key),
		"usable_ms", grace.Milliseconds(), "source", r.source)
}

// remainingLapses returns, for the removed targets that stay usable, how long they do.
func (r *Replica) remainingLapses(items []platform.Item) map[string]time.Duration {
	var remaining map[string]time.Duration
	for _, item := range items {
		if until, ok := r.lapsed[item.Key]; ok && item.Deleted {
			if remaining == nil {
				remaining = make(map[string]time.Duration)
			}
			remaining[item.Key] = time.Until(until)
		}
	}
	return remaining
}

// EndLapses drops the targets that stayed usable after their entries were removed,
// because the source knows that the store was not away.
func (r *Replica) EndLapses(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropLapsed(source, func(time.Time) bool { return true })
}

// endDueLapses drops the lapsed targets whose time is over.
func (r *Replica) endDueLapses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := time.Now().Add(lapseBatch)
	r.dropLapsed("end of grace", due.After)
	r.scheduleLapses()
}

// dropLapsed drops the lapsed targets that are due by the time until which they are
// usable.
func (r *Replica) dropLapsed(source string, due func(until time.Time) bool) {
	r.source, r.implied = source, false
	dropped := false
	for key, until := range r.lapsed {
		if due(until) {
			r.drop(r.items[key])
			dropped = true
		}
	}
	if dropped {
		r.publish(Delta{Through: r.revision}, true)
	}
}

// scheduleLapses sets the timer that drops the next lapsed target.
func (r *Replica) scheduleLapses() {
	if r.lapseTimer != nil {
		r.lapseTimer.Stop()
	}
	var first time.Time
	for _, until := range r.lapsed {
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if !first.IsZero() {
		r.lapseTimer = time.AfterFunc(time.Until(first), r.endDueLapses)
	}
}

// drop removes a target that is gone.
func (r *Replica) drop(item platform.Item) {
	_, listed := r.targets[item.Key]
	delete(r.targets, item.Key)
	delete(r.lapsed, item.Key)
	if listed {
		r.log.Info("target is gone from the store", "target", targetID(item.Key), "revision", item.Revision, "source", r.source,
			"implied", r.implied, "complete_through", r.revision)
	}
}

// isTarget reports whether a key is that of a target's entry.
func isTarget(key string) bool { return strings.HasPrefix(key, platform.TargetPrefix) }

// targetID returns the id of the target whose entry has the given key.
func targetID(key string) string { return strings.TrimPrefix(key, platform.TargetPrefix) }
