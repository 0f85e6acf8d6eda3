// Package retry bounds how many second attempts a service may receive, retries
// and hedges together.
//
// A Budget counts for one node that serves the whole service. A Bound holds for a
// fleet whose nodes may be lost, cut off or disagree: its hosts issue tokens and
// hand them to whoever grants second attempts, who holds them in a Bucket.
package retry
