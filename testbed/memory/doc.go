// Package memory is an in-process stand-in for the platform, for tests and
// demonstrations. It can be slow, away, lose the reply of a write that took
// effect, lapse leases, lag, and come back with an older copy.
package memory
