// Package memory is an in-memory stand-in for the platform, for tests and
// demonstrations. It can be slow or unavailable, lose the reply of a write that took
// effect, expire leases, return stale reads, and be restored from an older backup.
package memory
