package node

import "filbertmill.example/outcome"

// combine returns the result for the caller after two attempts. It is the latest,
// unless that attempt was certainly not run and an earlier one may have been: the
// latest then proves nothing about the earlier one, whose result is returned.
func combine(earlier, latest result) result {
	if latest.outcome.Kind != outcome.NotRun || earlier.outcome.Kind == outcome.NotRun {
		return latest
	}
	latest.discard(nil)
	return earlier
}

// discard ends a result whose answer is not forwarded.
func (r *result) discard(err error) {
	if r.onEnd != nil {
		r.onEnd(err)
		r.onEnd = nil
	}
}
