package fleet

import "sync"

// maxReplaced is the number of replaced documents that are kept as bases of
// deltas.
const maxReplaced = 2

// packCache holds packed forms of the document in force, by the version of the
// base. Many receivers have the same version, so each form is made once.
type packCache struct {
	mu     sync.Mutex
	byBase map[Version]packedDocument
}

// replacedBy returns the configuration that replaces c, with c among the
// replaced documents.
func (c *configuration) replacedBy(p parsedDocument) *configuration {
	next := &configuration{document: p.document, config: p.config}
	if c.document.Version.Revision > 0 {
		next.replaced = append(next.replaced, c.document)
	}
	next.replaced = append(next.replaced, c.replaced[:min(len(c.replaced), maxReplaced-1)]...)
	return next
}

// pack returns the packed document in force for a receiver that has the version
// have. It holds the complete text if have is not among the replaced versions.
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

// packFor packs the document in force as a delta from base, or completely if
// base is the zero Document.
func (c *configuration) packFor(base Document) (packedDocument, error) {
	if base.Version.Revision == 0 {
		return c.document.packFull()
	}
	return c.document.packDelta(base), nil
}
