// Package node is one process of the fleet: it takes requests, finds their
// home, and runs them on targets.
package node
