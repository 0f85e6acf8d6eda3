// Package control carries small messages between the nodes of a fleet.
//
// Messages are CBOR envelopes in binary WebSocket frames. Both ends of a
// connection prove in a handshake that they hold the fleet's shared key before
// any envelope is read. Every later frame has an authentication tag that covers
// its content and sequence number. An unauthenticated peer can therefore neither
// join the fleet nor send messages.
package control
