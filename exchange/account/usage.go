package account

// Usage is the state of an Account. Sizes are in bytes.
type Usage struct {
	// Limit bounds all classes together.
	Limit   int64                 `json:"limit"`
	Used    int64                 `json:"used"`
	Classes map[string]ClassUsage `json:"classes"`
}

// ClassUsage is the state of one class.
type ClassUsage struct {
	// Reserve is the part that only this class can use, and Limit its own limit if it is
	// not 0.
	Reserve int64 `json:"reserve"`
	Limit   int64 `json:"limit"`
	Used    int64 `json:"used"`
	Peak    int64 `json:"peak"`
	// Aborted counts the Holders that were aborted while they held or awaited some.
	Aborted int64 `json:"aborted"`
}

// Usage returns the current state.
func (a *Account) Usage() Usage {
	u := Usage{Classes: make(map[string]ClassUsage)}
	for c := range numClasses {
		k := a.Class(c)
		u.Classes[c.String()] = k
		u.Used += k.Used
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	u.Limit = a.limit
	return u
}

// Class returns the current state of one class.
func (a *Account) Class(c Class) ClassUsage {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := a.classes[c]
	return ClassUsage{Reserve: a.reserve(c), Limit: a.max(c), Used: k.used, Peak: k.peak, Aborted: k.aborted}
}
