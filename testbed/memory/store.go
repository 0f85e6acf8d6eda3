package memory

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/platform"
)

// history is how long old values are retained for stale reads.
const history = time.Minute

// version is one value of a key; revision 0 means that the key was removed.
type version struct {
	at       time.Time
	value    []byte
	revision platform.Revision
	lease    platform.LeaseID
}

// lease is a granted lease.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a platform.Store in memory. Its methods may be called from any
// goroutine.
type Store struct {
	mu       sync.Mutex
	keys     map[string][]version
	leases   map[platform.LeaseID]lease
	revision platform.Revision
	// era counts how often a backup was restored.
	era     int
	granted int
	faults  Faults
	calls   Calls
	// events holds the changes in order. Those up to the revision compacted have been
	// dropped.
	events    []platform.Item
	compacted platform.Revision
	// changed is closed and replaced whenever waiting watches must check again.
	changed chan struct{}
}

var _ platform.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		keys:    make(map[string][]version),
		leases:  make(map[platform.LeaseID]lease),
		changed: make(chan struct{}),
	}
}

// Era returns how often a backup was restored.
func (s *Store) Era() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns the calls counted so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Revision returns the revision of the last change.
func (s *Store) Revision() platform.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// ExpireLeases expires all leases and removes their keys, as if their holders had
// been suspended for too long.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.drop(id)
	}
}

// Copy is a backup of a Store.
type Copy struct {
	keys     map[string][]version
	revision platform.Revision
}

// Copy returns a backup of the current content without its leases.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{keys: make(map[string][]version), revision: s.revision}
	for key, versions := range s.keys {
		c.keys[key] = slices.Clone(versions)
	}
	return c
}

// Restore replaces the content with a backup and drops all leases.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = maps.Clone(c.keys)
	s.revision = c.revision
	s.era++
	s.events, s.compacted = nil, c.revision
	s.leases = make(map[platform.LeaseID]lease)
	s.wake()
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Get++ }); err != nil {
		return platform.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.read(key, time.Now())
	if e.Revision == 0 {
		return platform.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

// CompareAndSwap implements platform.Store.
func (s *Store) CompareAndSwap(
	ctx context.Context, key string, old platform.Revision, value []byte, id platform.LeaseID,
) (platform.Revision, error) {
	if err := s.enter(ctx, func(c *Calls) { c.CompareAndSwap++ }); err != nil {
		return 0, err
	}
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	current := s.latest(key)
	if current.revision != old {
		return 0, &platform.ConflictError{Current: entry(key, current)}
	}
	if _, ok := s.leases[id]; id != "" && !ok {
		return 0, platform.ErrLeaseExpired
	}
	s.revision++
	s.write(key, version{at: now, value: bytes.Clone(value), revision: s.revision, lease: id})
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return 0, errors.Wrap(platform.ErrUnavailable, "reply lost")
	}
	return s.revision, nil
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, key string, from platform.Revision) (platform.Entry, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Watch++ }); err != nil {
		return platform.Entry{}, err
	}
	for {
		s.mu.Lock()
		if s.faults.Unavailable {
			s.mu.Unlock()
			return platform.Entry{}, platform.ErrUnavailable
		}
		e, next := s.read(key, time.Now())
		changed := s.changed
		s.mu.Unlock()
		if e.Revision != from {
			return e, nil
		}
		if err := wait(ctx, changed, next); err != nil {
			return platform.Entry{}, err
		}
	}
}

// wait returns nil when the channel is closed or, unless d is zero, after d. It
// returns the error of the context if that ends first.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	var due <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-changed:
	case <-due:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Lease++ }); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted++
	id := platform.LeaseID(strconv.Itoa(s.granted))
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return id, nil
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.enter(ctx, func(c *Calls) { c.Lease++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	l, ok := s.leases[id]
	if !ok {
		return platform.ErrLeaseExpired
	}
	l.expires = now.Add(l.ttl)
	s.leases[id] = l
	return nil
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := s.enter(ctx, func(c *Calls) { c.Lease++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	return nil
}

// enter counts a call, delays it, and returns the error of the injected fault, if any.
func (s *Store) enter(ctx context.Context, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		if err := wait(ctx, nil, f.Delay); err != nil {
			return err
		}
	}
	if f.Unavailable {
		return platform.ErrUnavailable
	}
	if f.Refuse {
		return platform.ErrNotApplied
	}
	return ctx.Err()
}

// read returns the entry that a reader sees now and, if a newer version is hidden by
// Faults.Lag, the time until it becomes visible.
func (s *Store) read(key string, now time.Time) (platform.Entry, time.Duration) {
	s.expire(now)
	versions := s.keys[key]
	visible := now.Add(-s.faults.Lag)
	i := indexBefore(versions, visible)
	if i < 0 {
		return platform.Entry{Key: key}, untilNext(versions, i, visible)
	}
	return entry(key, versions[i]), untilNext(versions, i, visible)
}

// before returns the version that a key had at a time.
func (s *Store) before(key string, at time.Time) version {
	i := indexBefore(s.keys[key], at)
	if i < 0 {
		return version{}
	}
	return s.keys[key][i]
}

// indexBefore returns the index of the latest version not after a time, or -1.
func indexBefore(versions []version, at time.Time) int {
	for i := len(versions) - 1; i >= 0; i-- {
		if !versions[i].at.After(at) {
			return i
		}
	}
	return -1
}

// untilNext returns the time until the version after index i becomes visible, or 0 if
// there is none.
func untilNext(versions []version, i int, visible time.Time) time.Duration {
	if i+1 >= len(versions) {
		return 0
	}
	return versions[i+1].at.Sub(visible)
}

func entry(key string, v version) platform.Entry {
	return platform.Entry{Key: key, Value: bytes.Clone(v.value), Revision: v.revision}
}

// latest returns the latest version of a key.
func (s *Store) latest(key string) version {
	versions := s.keys[key]
	if len(versions) == 0 {
		return version{}
	}
	return versions[len(versions)-1]
}

// write appends a version of a key, drops versions older than history, and wakes the
// watches.
func (s *Store) write(key string, v version) {
	versions := s.keys[key]
	for len(versions) > 1 && v.at.Sub(versions[1].at) > history {
		versions = versions[1:]
	}
	s.keys[key] = append(versions, v)
	s.events = append(s.events, platform.Item{
		Key: key, Value: bytes.Clone(v.value), Revision: s.revision, Deleted: v.revision == 0,
	})
	s.wake()
}

// wake makes all waiting watches check again.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire drops the leases that have expired.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.drop(id)
		}
	}
}

// drop ends a lease and removes its keys.
func (s *Store) drop(id platform.LeaseID) {
	delete(s.leases, id)
	for key := range s.keys {
		if v := s.latest(key); v.lease == id && v.revision != 0 {
			s.revision++
			s.write(key, version{at: time.Now()})
		}
	}
}
