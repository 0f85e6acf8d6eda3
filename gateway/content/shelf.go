package content

import (
	"slices"
	"sync"
)

// maxShelfBytes limits the encoded content that a node keeps for others: some whole values
// and a few dozen differences.
const maxShelfBytes = 2 << 20

// Shelf keeps the Blobs that other nodes are fetching, the latest used ones. It is safe for
// concurrent use.
type Shelf struct {
	mu sync.Mutex
	// entries are ordered by their use, the latest last.
	entries []entry
}

type entry struct {
	name any
	blob Blob
}

// Get returns the Blob with a name. Make creates it if it is not there.
func (s *Shelf) Get(name any, make func() (Blob, error)) (Blob, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.use(func(e entry) bool { return e.name == name }); ok {
		return b, nil
	}
	b, err := make()
	if err != nil {
		return Blob{}, err
	}
	s.entries = append(s.entries, entry{name, b})
	bytes := 0
	for _, e := range s.entries {
		bytes += len(e.blob.Data)
	}
	for bytes > maxShelfBytes && len(s.entries) > 1 {
		bytes -= len(s.entries[0].blob.Data)
		s.entries = slices.Delete(s.entries, 0, 1)
	}
	return b, nil
}

// Find returns the Blob with an ID.
func (s *Shelf) Find(id ID) (Blob, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.use(func(e entry) bool { return e.blob.ID == id })
}

// use returns the Blob of the first entry that matches, which becomes the latest used one.
func (s *Shelf) use(matches func(entry) bool) (Blob, bool) {
	i := slices.IndexFunc(s.entries, matches)
	if i < 0 {
		return Blob{}, false
	}
	e := s.entries[i]
	s.entries = append(slices.Delete(s.entries, i, i+1), e)
	return e.blob, true
}
