// Package gateway is one node of the fleet on the users' platform.
//
// A node takes callers' requests, asks the home of the request's service for a
// target, and sends the request there itself: a home that is lost never leaves
// a request in doubt. What must last lives in the platform's store.
package gateway
