// Package balance assigns attempts to targets. One goroutine owns the schedulers
// and retry budgets of all services, and the poison tracker.
//
// The home of a service runs its scheduler for the whole fleet. Any other node can
// run a scheduler for itself while no home answers, based only on its own
// observations.
//
// A second attempt is a retry or a hedged request: an attempt that sends a request
// to a further target. Each second attempt costs a retry token.
package balance
