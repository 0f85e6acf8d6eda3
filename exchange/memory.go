package exchange

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange/account"
)

const (
	// exemptBytes is the size up to which an answer is not counted against the
	// memory budget: small answers succeed whatever large ones use. They count against
	// the account of callers, if there is one, as a class of their own.
	exemptBytes = 64 << 10
	// stallWait is how long a large answer waits for memory that callers hold who do not
	// read, before another answer is aborted. accountCheck is the interval at which it
	// looks for it.
	stallWait    = 1500 * time.Millisecond
	accountCheck = 100 * time.Millisecond
	// A body is buffered in segments, each twice as large as the one before, up
	// to maxSegmentBytes. Nothing is copied as the body grows, and at most
	// maxSegmentBytes of an answer's memory is unused.
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 1 << 20
)

// MemoryBudget limits the memory that all buffered answers use together. When it
// is used up, the largest answer that is still being read is aborted: it comes
// from a sender without end, or else is the one whose loss frees the most memory.
// A MemoryBudget is safe for concurrent use.
type MemoryBudget struct {
	limit int64
	// account also limits the answers that wait for their callers; nil does not.
	account *account.Account

	mu sync.Mutex
	// changed is closed and replaced when memory is released or an answer is aborted.
	changed chan struct{}
	used    int64
	peak    int64
	ended   int64
	// evicting counts the answers that were aborted and not yet released.
	evicting int
	// reading holds the answers that are still being read, and so may be aborted.
	reading map[*Reservation]struct{}
}

// NewMemoryBudget returns a MemoryBudget with a limit in bytes.
func NewMemoryBudget(limit int64) *MemoryBudget {
	return &MemoryBudget{limit: limit, reading: make(map[*Reservation]struct{}), changed: make(chan struct{})}
}

// NewSharedMemoryBudget returns a MemoryBudget whose answers also count as memory that
// callers hold.
func NewSharedMemoryBudget(limit int64, a *account.Account) *MemoryBudget {
	m := NewMemoryBudget(limit)
	m.account = a
	a.SetMax(account.LargeAnswers, limit)
	return m
}

// MemoryUsage is the state of a MemoryBudget. Sizes are in bytes.
type MemoryUsage struct {
	Limit int64 `json:"limit"`
	Used  int64 `json:"used"`
	Peak  int64 `json:"peak"`
	// Ended counts the answers that were aborted because the budget was used up.
	Ended int64 `json:"ended"`
}

// Use returns the current state.
func (m *MemoryBudget) Use() MemoryUsage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemoryUsage{Limit: m.limit, Used: m.used, Peak: m.peak, Ended: m.ended}
}

// Reservation is the share of a MemoryBudget that one answer uses. Release must
// be called once the answer is no longer needed; it may be called more than once.
type Reservation struct {
	budget *MemoryBudget
	// caller holds the answer in the account; nil if there is none. ctx ends the wait for
	// memory of the account.
	caller *account.Holder
	ctx    context.Context
	// The fields below are guarded by budget.mu. Small is the memory that only the account
	// counts. Evicted is why the answer was aborted, else nil. Interrupt makes its reading
	// fail.
	small     int64
	held      int64
	evicted   error
	released  bool
	interrupt func()
}

// NewReservation returns a Reservation that uses no memory yet.
func (m *MemoryBudget) NewReservation() *Reservation { return m.NewReservationFor(nil) }

// NewReservationFor returns a Reservation of an answer to a caller. The caller may be nil.
func (m *MemoryBudget) NewReservationFor(caller *account.Holder) *Reservation {
	if m.account == nil {
		caller = nil
	}
	return &Reservation{budget: m, caller: caller, ctx: context.Background()}
}

// grow raises the memory that the answer uses to size bytes in total. While the
// budget is used up, it aborts the largest answer and waits for the release of its
// memory. It fails if this answer itself is aborted.
func (r *Reservation) grow(size int64, interrupt func()) error {
	if size <= exemptBytes {
		return r.growSmall(size)
	}
	m := r.budget
	m.mu.Lock()
	defer m.mu.Unlock()
	r.interrupt = interrupt
	m.reading[r] = struct{}{}
	for began := time.Now(); r.evicted == nil && !r.take(size); {
		switch {
		case r.ctx.Err() != nil, r.caller != nil && r.caller.Aborted():
			m.evict(r, errNoMemory)
		case m.evicting > 0:
			m.wait(r.ctx, nil)
		case r.caller != nil && time.Since(began) < stallWait && m.account.Expects(account.LargeAnswers, size-r.held):
			m.wait(r.ctx, time.After(accountCheck))
		case m.used+size-r.held <= m.limit:
			m.evict(m.largest(r, size), errNoMemory)
		default:
			m.evict(m.largest(r, size), errMemory)
		}
	}
	return r.evicted
}

// growSmall raises the memory of an answer that the budget does not count.
func (r *Reservation) growSmall(size int64) error {
	if r.caller == nil {
		return nil
	}
	if err := r.caller.Grow(r.ctx, account.SmallAnswers, size-r.small); err != nil {
		return errors.Wrapf(errNoMemory, "%v", err)
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.released {
		r.caller.Release(account.SmallAnswers, size-r.small)
		return errNoMemory
	}
	r.small = size
	return nil
}

// take raises the memory to size bytes if there is some. It must be called with mu held.
func (r *Reservation) take(size int64) bool {
	m := r.budget
	if m.used+size-r.held > m.limit {
		return false
	}
	if r.caller != nil {
		if !r.caller.TryGrow(account.LargeAnswers, size-r.held) {
			return false
		}
		r.caller.Release(account.SmallAnswers, r.small)
		r.small = 0
	}
	m.used += size - r.held
	r.held = size
	m.peak = max(m.peak, m.used)
	return true
}

// wait waits until memory is released, the context ends or the time has come. It must be
// called with mu held.
func (m *MemoryBudget) wait(ctx context.Context, until <-chan time.Time) {
	changed := m.changed
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case <-changed:
	case <-ctx.Done():
	case <-until:
	}
}

// announce wakes those who wait for memory. It must be called with mu held.
func (m *MemoryBudget) announce() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// largest returns the largest answer that is being read. Growing counts with the
// size that it asks for. It must be called with mu held.
func (m *MemoryBudget) largest(growing *Reservation, size int64) *Reservation {
	for r := range m.reading {
		if r.held > size && r.evicted == nil {
			growing, size = r, r.held
		}
	}
	return growing
}

// evict aborts the reading of an answer. It must be called with mu held.
func (m *MemoryBudget) evict(r *Reservation, cause error) {
	r.evicted = cause
	m.evicting++
	m.ended++
	r.interrupt()
	m.announce()
}

// finishReading records that the answer has been read completely, after which it
// is not aborted any more. It fails if the answer has already been aborted.
func (r *Reservation) finishReading() error {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	delete(r.budget.reading, r)
	return r.evicted
}

// Release releases the memory of the answer.
func (r *Reservation) Release() {
	m := r.budget
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	delete(m.reading, r)
	m.used -= r.held
	if r.evicted != nil {
		m.evicting--
	}
	if r.caller != nil {
		r.caller.Release(account.SmallAnswers, r.small)
		r.caller.Release(account.LargeAnswers, r.held)
	}
	m.announce()
}

// BufferedBody is a body in memory that was received to its end. Its methods accept nil
// for an empty body.
type BufferedBody struct {
	segments [][]byte
	size     int64
}

// NewBufferedBody returns a body that consists of the segments.
func NewBufferedBody(segments [][]byte) *BufferedBody {
	buf := &BufferedBody{segments: segments}
	for _, s := range segments {
		buf.size += int64(len(s))
	}
	return buf
}

// Size returns the length of the body in bytes.
func (buf *BufferedBody) Size() int64 {
	if buf == nil {
		return 0
	}
	return buf.size
}

// WriteTo implements io.WriterTo.
func (buf *BufferedBody) WriteTo(w io.Writer) (int64, error) {
	if buf == nil {
		return 0, nil
	}
	written := int64(0)
	for _, s := range buf.segments {
		n, err := w.Write(s)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Bytes returns the body and true if the body is empty or held in one segment.
func (buf *BufferedBody) Bytes() ([]byte, bool) {
	switch {
	case buf == nil || len(buf.segments) == 0:
		return nil, true
	case len(buf.segments) == 1:
		return buf.segments[0], true
	}
	return nil, false
}

// Reader returns a reader of the body.
func (buf *BufferedBody) Reader() io.Reader {
	if buf == nil {
		return bytes.NewReader(nil)
	}
	parts := make([]io.Reader, len(buf.segments))
	for i, s := range buf.segments {
		parts[i] = bytes.NewReader(s)
	}
	return io.MultiReader(parts...)
}

// ReadAll reads the body to its end and accounts for its memory with r. An error
// is a *Failure; r is then already released.
func (b *Body) ReadAll(r *Reservation) (*BufferedBody, error) {
	buf := &BufferedBody{}
	b.reservation, r.ctx = r, b.ctx
	err := b.fill(buf, r)
	if err == nil {
		return buf, nil
	}
	if cause := r.finishReading(); cause != nil {
		// The reading failed because the answer was aborted to free memory.
		err = b.failWith(errors.Wrapf(cause, "%d bytes read", b.read))
	} else if errors.Is(err, errNoMemory) {
		err = b.failWith(err)
	}
	r.Release()
	return nil, err
}

// fill reads the body to its end into segments of buf.
func (b *Body) fill(buf *BufferedBody, r *Reservation) error {
	size, capacity := int64(minSegmentBytes), int64(0)
	for {
		if b.length >= 0 && capacity == 0 && b.length <= exemptBytes {
			size = b.length
		} else if b.length >= 0 {
			size = min(size, b.length-buf.size)
		}
		size = max(size, 1) // even a complete body must still be read up to io.EOF
		if err := r.grow(capacity+size, b.cn.interrupt); err != nil {
			return err
		}
		seg := make([]byte, size)
		n, err := b.readFull(seg)
		if n > 0 {
			buf.segments = append(buf.segments, seg[:n])
			buf.size += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		capacity += size
		size = min(2*size, maxSegmentBytes)
	}
}

// readFull reads until p is full or a read fails. It returns io.EOF at the body's
// end, also if p is full.
func (b *Body) readFull(p []byte) (int, error) {
	total := 0
	for total < len(p) {
		n, err := b.Read(p[total:])
		total += n
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// failWith ends the exchange with an error of this side and returns the *Failure for it.
func (b *Body) failWith(err error) error {
	if b.ended {
		return newFailure(b.ctx, StageReceive, err)
	}
	b.finish(err)
	return b.endErr
}
