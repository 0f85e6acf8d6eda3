// Package control carries small messages between the nodes of a fleet.
//
// Messages are CBOR envelopes in binary WebSocket frames. Both ends of a
// connection prove that they hold the fleet's shared key before anything else
// is read, and every later frame carries an authentication tag over its
// sequence number, so that a stranger can neither join nor send.
package control
