package fleet

import "sync"

// maxReplaced is the number of replaced documents from which deltas are made.
const maxReplaced = 2

// packCache holds the packed forms of the document in force by the version
// that the receiver has, since many receivers have the same.
type packCache struct {
	mu     sync.Mutex
	byBase map[Version]packedDocument
}

// replacedBy returns the configuration that replaces c.
func (c *configuration) replacedBy(p parsedDocument) *configuration {
	next := &configuration{document: p.document, config: p.config}
	if c.document.Version.Revision > 0 {
		next.replaced = append(next.replaced, c.document)
	}
	next.replaced = append(next.replaced, c.replaced[:min(len(c.replaced), maxReplaced-1)]...)
	return next
}

// pack returns the document in force for a receiver that has a version.
func (c *configuration) pack(have Version) (packedDocument, error) {
	base := Document{}
	for _, d := range c.replaced {
		if d.Version == have {
			base = d
		}
	}
	c.packed.mu.Lock()
	defer c.packed.mu.Unlock()
	if p, ok := c.packed.byBase[base.Version]; ok {
		return p, nil
	}
	p, err := c.packFor(base)
	if err == nil {
		if c.packed.byBase == nil {
			c.packed.byBase = make(map[Version]packedDocument)
		}
		c.packed.byBase[base.Version] = p
	}
	return p, err
}

func (c *configuration) packFor(base Document) (packedDocument, error) {
	if base.Version.Revision == 0 {
		return c.document.packWhole()
	}
	return c.document.packDelta(base), nil
}
