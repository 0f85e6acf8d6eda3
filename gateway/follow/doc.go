// Package follow keeps a node's copy of the store current.
//
// A few nodes, the relays, watch the store and pass its changes on; every other
// node asks several relays at once, so that no change hangs on one of them. A
// node that no relay serves with fresh changes follows the store itself.
package follow
