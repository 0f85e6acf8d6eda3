package control

import "sync/atomic"

// Stats counts the traffic and the connections of a Transport. The byte counts
// include the payloads of frames with their tags, and exclude the headers of
// WebSocket, TCP and IP.
type Stats struct {
	sentMessages     atomic.Int64
	receivedMessages atomic.Int64
	sentBytes        atomic.Int64
	receivedBytes    atomic.Int64
	unknownKinds     atomic.Int64
	refusedPeers     atomic.Int64
	dials            atomic.Int64
	connections      atomic.Int64
}

// Counters is a snapshot of a Stats.
type Counters struct {
	// SentMessages and ReceivedMessages count frames.
	SentMessages     int64 `json:"sent_messages"`
	ReceivedMessages int64 `json:"received_messages"`
	// SentBytes and ReceivedBytes count the payloads of frames, in bytes.
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
	// UnknownKinds counts messages ignored because no handler was set.
	UnknownKinds int64 `json:"unknown_kinds"`
	// RefusedPeers counts accepted connections refused in the handshake, and
	// connections closed because a frame had no valid tag.
	RefusedPeers int64 `json:"refused_peers"`
	// Dials counts connections that this node tried to open.
	Dials int64 `json:"dials"`
	// Connections is the number of open connections, in both directions.
	Connections int64 `json:"connections"`
}

// Counters returns the current counts.
func (s *Stats) Counters() Counters {
	return Counters{
		SentMessages:     s.sentMessages.Load(),
		ReceivedMessages: s.receivedMessages.Load(),
		SentBytes:        s.sentBytes.Load(),
		ReceivedBytes:    s.receivedBytes.Load(),
		UnknownKinds:     s.unknownKinds.Load(),
		RefusedPeers:     s.refusedPeers.Load(),
		Dials:            s.dials.Load(),
		Connections:      s.connections.Load(),
	}
}
