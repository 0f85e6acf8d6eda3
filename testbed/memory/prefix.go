package memory

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"filbertmill.example/platform"
)

// pageItems is the most items on one page of a range.
const pageItems = 500

// Range returns one page of the items whose keys have the prefix and sort after the
// key after.
func (s *Store) Range(ctx context.Context, prefix, after string) (platform.Page, error) {
	return s.RangeBefore(ctx, prefix, after, 0)
}

// RangeBefore is like Range, on the content as it was the given age ago. The revision
// of the page is the current one.
func (s *Store) RangeBefore(ctx context.Context, prefix, after string, age time.Duration) (platform.Page, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Range++ }); err != nil {
		return platform.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	p := platform.Page{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		v := s.before(key, now.Add(-age))
		if !strings.HasPrefix(key, prefix) || key <= after || v.revision == 0 {
			continue
		}
		if len(p.Items) == pageItems {
			p.More = true
			break
		}
		p.Items = append(p.Items, platform.Item{Key: key, Value: v.value, Revision: v.revision})
	}
	return p, nil
}

// WatchPrefix waits until a key with the prefix has changed after a revision, for at
// most hold, and returns the changes and the current revision. It returns
// platform.ErrCompacted if the history since that revision has been dropped, or if there
// is no such revision.
func (s *Store) WatchPrefix(
	ctx context.Context, prefix string, after platform.Revision, hold time.Duration,
) ([]platform.Item, platform.Revision, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Watch++ }); err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	for {
		s.mu.Lock()
		if s.faults.Unavailable {
			s.mu.Unlock()
			return nil, 0, platform.ErrUnavailable
		}
		s.expire(time.Now())
		events, revision, compacted, changed := s.eventsAfter(prefix, after), s.revision, s.compacted, s.changed
		dropEvents := s.faults.DropWatchEvents
		s.mu.Unlock()
		if after < compacted || after > revision {
			return nil, 0, platform.ErrCompacted
		}
		if len(events) > 0 && !dropEvents {
			return events, revision, nil
		}
		if wait(ctx, changed, 0) != nil {
			if dropEvents {
				revision = after
			}
			return nil, revision, nil
		}
	}
}

// eventsAfter returns the changes of keys with the prefix after a revision.
func (s *Store) eventsAfter(prefix string, after platform.Revision) []platform.Item {
	var list []platform.Item
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			list = append(list, e)
		}
	}
	return list
}

// Compact drops the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compacted = nil, s.revision
	s.wake()
}

// Row is a key and its expected revision.
type Row struct {
	Key      string
	Revision platform.Revision
}

// Txn writes all puts and removes all keys in remove if every expected row matches.
// If one does not, it changes nothing and returns the current entries of the rows and
// ok false.
func (s *Store) Txn(
	ctx context.Context, expect []Row, puts []platform.Put, remove []string,
) (revision platform.Revision, current []platform.Entry, ok bool, err error) {
	if err := s.enter(ctx, func(c *Calls) { c.CompareAndSwap++ }); err != nil {
		return 0, nil, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	ok = true
	for _, row := range expect {
		v := s.latest(row.Key)
		current = append(current, entry(row.Key, v))
		ok = ok && v.revision == row.Revision
	}
	if !ok {
		return s.revision, current, false, nil
	}
	for _, p := range puts {
		if _, known := s.leases[p.Lease]; p.Lease != "" && !known {
			return 0, nil, false, platform.ErrLeaseExpired
		}
	}
	s.revision++
	for _, p := range puts {
		s.write(p.Key, version{at: now, value: p.Value, revision: s.revision, lease: p.Lease})
	}
	for _, key := range remove {
		s.write(key, version{at: now})
	}
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return 0, nil, false, platform.ErrUnavailable
	}
	return s.revision, nil, true, nil
}
