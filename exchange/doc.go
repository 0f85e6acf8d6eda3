// Package exchange runs one HTTP request on one connection and reports exactly
// how far it got.
//
// The HTTP codec is hertz's; connections are kept here, because the outcome of
// a request depends on facts that hertz's own client hides: whether any byte
// was written, and whether a connection's last exchange ended cleanly. A
// connection whose exchange did not end cleanly is never used again.
package exchange
