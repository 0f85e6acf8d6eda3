// Package ingress serves HTTP/1.1 connections of callers.
//
// The codec and the connections are hertz's; the loop over them is here,
// because a request's fate depends on what hertz's server does not offer: later
// requests of a connection are read while earlier ones are in work, so that a
// caller that left is noticed and pipelined requests do not wait unread, and a
// connection that is about to close takes no request that it will not answer.
package ingress
