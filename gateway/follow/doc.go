// Package follow keeps a node's replica of the store up to date.
//
// A relay is a node that watches the store and forwards its changes to other nodes.
// There are a few relays. Every other node polls several of them concurrently, so
// that no change depends on a single relay. A node that gets no fresh changes from
// any relay follows the store itself.
package follow
