// Package retry bounds how many second attempts a service may receive.
//
// Retries and hedges draw on the same Budget, so that together they never add
// more than a set share to a service's load, and nothing while work waits.
package retry
