package pool

import "time"

// Order names the order in which waiting attempts start.
type Order string

// The orders of the queue.
const (
	// OrderFIFO starts the attempt that has waited longest.
	OrderFIFO Order = "fifo"
	// OrderEDF starts the attempt with the best priority, and among those the one with
	// the earliest deadline.
	OrderEDF Order = "edf"
	// OrderLIFO starts the newest attempt while the queue is overloaded, and the oldest
	// otherwise.
	OrderLIFO Order = "lifo"
)

// Config holds the settings of one service. A zero field takes the value of
// DefaultConfig, except for Service and FloorSlots.
type Config struct {
	// Service is the service's name.
	Service string
	// FloorSlots is the floor of the service: the healthy capacity, in slots, below
	// which no ejection may take it.
	FloorSlots int
	// QueueLimit is the largest number of waiting attempts. A higher limit absorbs
	// longer bursts. Requests that the queue can't serve by their deadline are refused
	// in any case.
	QueueLimit int
	// CallerShare is the largest share of slots and queue, from 0 to 1, that one
	// caller may hold while others wait. 1 disables the rule.
	CallerShare float64
	// LongShare is the share of slots, from 0 to 1, that long work may hold.
	LongShare float64

	// Order is the order in which waiting attempts start. Default: edf.
	Order Order
	// QueueWaitShare is the share of an attempt's slack, from 0 to 1, that it may be
	// expected to wait in the queue. The slack is the time left beyond the expected
	// service time. A lower share refuses earlier and leaves more room for wrong
	// estimates and for varying service times. Default: 0.15.
	QueueWaitShare float64
	// LongFactor is how many times longer than the typical request a route's
	// requests must be to count as long. Default: 8.
	LongFactor float64
	// LongDelay is the 99th percentile of the wait of short work that long work may
	// always cause. A higher value runs more long work. Default: 0, with which long work
	// may not even double the wait.
	LongDelay time.Duration
	// LongWait is the wait after which a long attempt takes a free slot even if that
	// delays short work, provided that no long work has run for as long. Default: 10s.
	LongWait time.Duration
	// SuspicionScore is the log likelihood ratio at which a target with few requests
	// becomes suspected, so that it gets only what other targets cannot take. It rises
	// with the logarithm of the target's requests per second, so that suspicions don't
	// become more frequent with load. Default: 6.2.
	SuspicionScore float64
	// EjectionScore is the log likelihood ratio at which a target is ejected. It rises
	// in the same way as SuspicionScore. A higher score detects later and causes fewer
	// false ejections. Default: 9.2.
	EjectionScore float64
	// EjectionTime is the duration of the first ejection. Each further one lasts twice
	// as long as the one before, up to EjectionTimeMax. Defaults: 2s and 5m.
	EjectionTime    time.Duration
	EjectionTimeMax time.Duration
	// FlapHalfLife is the half-life of the count of past ejections. Default: 5m.
	FlapHalfLife time.Duration
	// ProbationAnswers is the number of successive good answers that end a first
	// probation. Default: 5.
	ProbationAnswers int
	// ProbationPatience is how long a target on probation waits for idempotent requests
	// before probes alone decide. Default: 30s.
	ProbationPatience time.Duration
	// WarmTime is the longest time for which a target that answers counts as cold.
	// Default: 30s.
	WarmTime time.Duration
	// LimitRecovery is the time without a refusal after which a lowered limit rises by
	// one slot. Default: 1s.
	LimitRecovery time.Duration
	// LeavingHold is how long a target's own announcement that it is leaving overrides
	// the list of targets. Default: 30s.
	LeavingHold time.Duration

	// InitialProbeWait is how long a newly listed target waits for the answer to its
	// first probe before it gets requests. A longer wait is more certain to detect that
	// the target is leaving. A shorter one delays the first requests less. Default: 0,
	// no wait.
	InitialProbeWait time.Duration
	// DirectErrors and DirectEjectionTime set the rule of the direct variant: the
	// number of consecutive errors that ejects a target, and the duration of the
	// ejection. Defaults: 5 and 30s.
	DirectErrors       int
	DirectEjectionTime time.Duration
}

// DefaultConfig returns the settings of a service without settings of its own.
func DefaultConfig() Config {
	return Config{
		QueueLimit:         256,
		CallerShare:        0.5,
		LongShare:          0.25,
		Order:              OrderEDF,
		QueueWaitShare:     0.15,
		LongFactor:         8,
		LongWait:           10 * time.Second,
		SuspicionScore:     6.2,
		EjectionScore:      9.2,
		EjectionTime:       2 * time.Second,
		EjectionTimeMax:    5 * time.Minute,
		FlapHalfLife:       5 * time.Minute,
		ProbationAnswers:   5,
		ProbationPatience:  30 * time.Second,
		WarmTime:           30 * time.Second,
		LimitRecovery:      time.Second,
		LeavingHold:        30 * time.Second,
		DirectErrors:       5,
		DirectEjectionTime: 30 * time.Second,
	}
}

// withDefaults sets the zero fields of c to their defaults.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.QueueLimit, d.QueueLimit)
	setDefault(&c.CallerShare, d.CallerShare)
	setDefault(&c.LongShare, d.LongShare)
	setDefault(&c.Order, d.Order)
	setDefault(&c.QueueWaitShare, d.QueueWaitShare)
	setDefault(&c.LongFactor, d.LongFactor)
	setDefault(&c.LongWait, d.LongWait)
	setDefault(&c.SuspicionScore, d.SuspicionScore)
	setDefault(&c.EjectionScore, d.EjectionScore)
	setDefault(&c.EjectionTime, d.EjectionTime)
	setDefault(&c.EjectionTimeMax, d.EjectionTimeMax)
	setDefault(&c.FlapHalfLife, d.FlapHalfLife)
	setDefault(&c.ProbationAnswers, d.ProbationAnswers)
	setDefault(&c.ProbationPatience, d.ProbationPatience)
	setDefault(&c.WarmTime, d.WarmTime)
	setDefault(&c.LimitRecovery, d.LimitRecovery)
	setDefault(&c.LeavingHold, d.LeavingHold)
	setDefault(&c.DirectErrors, d.DirectErrors)
	setDefault(&c.DirectEjectionTime, d.DirectEjectionTime)
	return c
}

// setDefault sets *field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
