// Package once keeps a request with an idempotency key from running twice.
//
// A service's home may dispatch keyed requests only while it holds the
// service's Tenure, a small record in the platform's store. The record names
// the holder, its epoch and its witnesses, which are other nodes. Before the
// home dispatches a key, every witness has recorded the claim; so the copy of
// any one witness holds all keys that may have been dispatched. A new home
// writes a higher epoch to the store, seals one witness of the old record,
// which from then on refuses the old home, and takes over its copy. No step
// relies on clocks that agree.
//
// Home and Witness are plain state machines: no I/O, no goroutines, no clock.
// Their owner calls each from one goroutine and passes the time in.
package once
