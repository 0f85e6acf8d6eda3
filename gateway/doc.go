// Package gateway implements one node of the proxy fleet on the users' platform.
//
// A node accepts callers' requests. The home of a service is the node that
// assigns targets to the requests of that service for the whole fleet. A node
// asks the home for a target and sends the request to the target itself, so
// that the failure of a home never leaves the outcome of a request unknown.
// Persistent state is kept in the platform's store.
package gateway
