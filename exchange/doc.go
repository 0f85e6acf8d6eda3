// Package exchange runs one HTTP request on one connection and reports exactly
// how far it got.
package exchange
