// Package rig runs a small deployment for the review's scripts: gateway processes,
// the platform's store, stand-in servers and clients, all on loopback addresses. It
// records what was sent, answered and run.
package rig
