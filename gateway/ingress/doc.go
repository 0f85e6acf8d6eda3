// Package ingress serves HTTP/1.1 connections of callers.
//
// A caller is the client of an HTTP connection that the proxy accepts.
//
// The codec and the connections are hertz's. The loop that reads and answers
// requests is this package's, because hertz's server lacks two things. First, it
// reads no further requests of a connection while earlier ones are in flight.
// Reading on detects a caller that disconnects, and keeps pipelined requests from
// waiting unread. Second, a connection that is about to close must accept no
// request that it will not answer.
package ingress
