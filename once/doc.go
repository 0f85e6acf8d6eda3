// Package once ensures that a request with an idempotency key does not run twice.
//
// A tenure is the exclusive right to dispatch a service's keyed requests under a
// fencing epoch. A service's home, the node that dispatches its requests, may
// dispatch keyed ones only while it holds the tenure. The store of the platform
// has a small record of it, the Tenure: it names the holder, the epoch and the
// witnesses. A witness is another node that keeps a copy of the service's keys.
//
// A claim is the home's statement that it may dispatch a key. The home dispatches
// the request only after every witness has recorded the claim. So the copy of any
// one witness holds all keys that may have been dispatched. A new home first writes
// a higher epoch to the store. Then it seals one witness of the old record, which
// from then on refuses messages from the old home, and takes over the witness's
// copy. No step relies on synchronized clocks.
//
// Home and Witness are plain state machines without I/O, goroutines or a clock.
// Their owner calls each from one goroutine and passes the time in.
package once
