// Package retry bounds how many second attempts a service may receive.
package retry
