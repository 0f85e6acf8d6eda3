package once

import "time"

// Config holds the settings of a Home and of a Witness.
type Config struct {
	// Witnesses is the number of other nodes that record each claim. Each one
	// more survives one more crash at the same time, and costs one message
	// for each keyed request.
	Witnesses int
	// Retention is how long a key is remembered after its request ended. A key
	// that comes again later is run again.
	Retention time.Duration
	// ClaimTimeout is how long a request waits for its claim before it is
	// refused.
	ClaimTimeout time.Duration
	// RetryInterval is the time between two attempts at what failed.
	RetryInterval time.Duration
	// RetakeDelay is how long a home that lost its tenure sends requests on to
	// the next one before it may take the tenure back, so that two homes do not
	// take it in turns while nodes disagree on which of them it is.
	RetakeDelay time.Duration
	// HeartbeatInterval is the time between two checks of the witnesses. A
	// shorter interval replaces a lost witness sooner, for more messages.
	HeartbeatInterval time.Duration
	// MissedHeartbeats is the number of heartbeats in a row that a witness may
	// leave unanswered before it is replaced.
	MissedHeartbeats int
	// SealTimeout is how long a new home tries to reach any witness of the old
	// one before it takes their copy for lost.
	SealTimeout time.Duration
	// MaxKeys is the most keys remembered for one service. A key that finds no
	// place is refused.
	MaxKeys int
	// MaxAnswerBytes is the longest answer kept for replay, headers included.
	MaxAnswerBytes int
	// MaxAnswersBytes is the most memory that kept answers of one service take.
	MaxAnswersBytes int
	// MaxCopyAnswersBytes is the most answers, in bytes, that go into a copy
	// for a new witness or home, the newest first. More answers can be replayed
	// after a home was replaced; requests wait while a copy travels.
	MaxCopyAnswersBytes int
	// ImproveInterval is the time between two attempts to find more witnesses
	// if there are fewer than wanted.
	ImproveInterval time.Duration
}

// DefaultConfig returns the settings used unless the operators say otherwise.
func DefaultConfig() Config {
	return Config{
		Witnesses:           2,
		Retention:           time.Hour,
		ClaimTimeout:        2 * time.Second,
		RetryInterval:       100 * time.Millisecond,
		RetakeDelay:         3 * time.Second,
		HeartbeatInterval:   time.Second,
		MissedHeartbeats:    2,
		SealTimeout:         30 * time.Second,
		MaxKeys:             50_000,
		MaxAnswerBytes:      4 << 10,
		MaxAnswersBytes:     16 << 20,
		MaxCopyAnswersBytes: 4 << 20,
		ImproveInterval:     10 * time.Second,
	}
}

// witnessGrace is how much longer than a home a witness remembers a key.
const witnessGrace = time.Minute
