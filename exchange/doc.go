// Package exchange runs one HTTP exchange, a request and its answer, on one
// connection and reports exactly how far it got.
//
// Hertz encodes requests and parses headers. The connections are managed here,
// because the outcome of a request depends on facts that hertz's own client
// hides: whether any byte was written, and whether a connection's last exchange
// ended cleanly. A connection whose exchange did not end cleanly is never reused.
//
// A spare connection is one that the client opens ahead of need, so that the
// time to open it is not added to a request.
package exchange
