// Package balance assigns attempts to targets: one goroutine owns the
// Schedulers, the retry budgets and the poison trackers of all services.
//
// The home of a service runs its Scheduler for the whole fleet. Every other
// node can run one for itself, with what it knows alone, while no home answers.
package balance
