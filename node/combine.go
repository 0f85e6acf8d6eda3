package node

import "filbertmill.example/outcome"

// combine returns what a caller is told after two attempts. An attempt that
// was certainly not run proves nothing about an earlier one that may have
// been: then the earlier result stands.
func combine(earlier, latest result) result {
	if latest.outcome.Kind != outcome.NotRun || earlier.outcome.Kind == outcome.NotRun {
		return latest
	}
	latest.settled(nil)
	return earlier
}

// settled settles a result whose answer is not passed on any more.
func (r *result) settled(err error) {
	if r.settle != nil {
		r.settle(err)
		r.settle = nil
	}
}
