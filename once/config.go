package once

import "time"

// Config holds the settings of a Home and of a Witness.
type Config struct {
	// Witnesses is the number of other nodes that record each claim. Each
	// additional witness tolerates one more concurrent crash, and costs one
	// message for each keyed request.
	Witnesses int
	// Retention is how long a key is kept after its request ended. A request that
	// repeats the key later is run again.
	Retention time.Duration
	// ClaimTimeout is how long a request waits for its claim before it is
	// refused.
	ClaimTimeout time.Duration
	// RetryInterval is the time between two attempts at an operation that failed.
	RetryInterval time.Duration
	// RetakeDelay is how long a home that lost its tenure directs requests to its
	// successor before it may take the tenure back. Otherwise two homes could take
	// it from each other repeatedly while nodes disagree on which of them is the home.
	RetakeDelay time.Duration
	// HeartbeatInterval is the time between two heartbeats to the witnesses. A
	// shorter interval replaces a lost witness sooner, at the cost of more messages.
	HeartbeatInterval time.Duration
	// MissedHeartbeats is the number of consecutive heartbeats without an answer
	// after which a witness is replaced.
	MissedHeartbeats int
	// SealTimeout is how long a new home tries to reach any witness of the old
	// one before it treats their copy as lost.
	SealTimeout time.Duration
	// MaxKeys is the maximum number of keys kept for one service. Requests with
	// further keys are refused.
	MaxKeys int
	// MaxAnswerBytes is the size of the largest answer kept for replay, headers
	// included.
	MaxAnswerBytes int
	// MaxAnswersBytes is the maximum total size of the kept answers of one service.
	MaxAnswersBytes int
	// MaxCopyAnswersBytes is the maximum total size of the answers in the copy for
	// a new witness; the newest answers go first. With a larger limit, more answers
	// can be replayed after the home was replaced, but requests wait longer while a
	// copy is transferred.
	MaxCopyAnswersBytes int
	// WitnessSearchInterval is the time between two attempts to find more witnesses
	// if there are fewer than Witnesses.
	WitnessSearchInterval time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Witnesses:             2,
		Retention:             time.Hour,
		ClaimTimeout:          2 * time.Second,
		RetryInterval:         100 * time.Millisecond,
		RetakeDelay:           3 * time.Second,
		HeartbeatInterval:     time.Second,
		MissedHeartbeats:      2,
		SealTimeout:           30 * time.Second,
		MaxKeys:               50_000,
		MaxAnswerBytes:        4 << 10,
		MaxAnswersBytes:       16 << 20,
		MaxCopyAnswersBytes:   4 << 20,
		WitnessSearchInterval: 10 * time.Second,
	}
}

// witnessGrace is how much longer a witness keeps a key than a home does.
const witnessGrace = time.Minute
