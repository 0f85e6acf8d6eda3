package pool

import "time"

// Order names the order in which waiting attempts are started.
type Order string

// The orders of the queue.
const (
	// OrderFIFO starts the attempt that has waited longest.
	OrderFIFO Order = "fifo"
	// OrderEDF starts the attempt of the best priority, among those the one
	// with the earliest deadline.
	OrderEDF Order = "edf"
	// OrderLIFO starts the newest attempt while the queue is overloaded and
	// the oldest otherwise.
	OrderLIFO Order = "lifo"
)

// Config holds the settings of one service. A zero field takes the value of
// DefaultConfig, except for Service and FloorSlots.
type Config struct {
	// Service is the service's name.
	Service string
	// FloorSlots is the healthy capacity, in slots, below which no ejection
	// may take the service.
	FloorSlots int
	// QueueLimit is the most attempts that wait at once. A longer queue rides
	// out longer bursts; requests with a deadline too close are refused anyway.
	QueueLimit int
	// CallerShare is the largest share of slots and queue, from 0 to 1, that
	// one caller may hold while others wait. 1 switches the rule off.
	CallerShare float64
	// LongShare is the share of slots, from 0 to 1, that long work may hold.
	LongShare float64

	// Order is the order in which waiting attempts start. Default: edf.
	Order Order
	// QueueWaitShare is the share of an attempt's spare time, from 0 to 1,
	// that it may be expected to spend in the queue. A lower share refuses
	// earlier and leaves more room for wrong estimates and for the spread of
	// service times. Default: 0.15.
	QueueWaitShare float64
	// LongFactor is how many times longer than the typical request a route's
	// requests must be to count as long. Default: 8.
	LongFactor float64
	// LongDelay is the 99th percentile of the wait of short work that long work
	// may cause in any case. A longer one runs more long work. Default: 0, by
	// which long work may not even double the wait.
	LongDelay time.Duration
	// LongWait is the wait after which a long attempt takes a free slot, if no
	// long work ran for as long, whatever it costs short work. Default: 10s.
	LongWait time.Duration
	// SuspicionScore is the log likelihood ratio at which a target that takes
	// few requests gets only what other targets cannot take; it rises with the
	// logarithm of the target's requests a second, so that suspicions do not
	// become more frequent with load. Default: 6.2.
	SuspicionScore float64
	// EjectionScore is the log likelihood ratio at which a target is ejected;
	// it rises as SuspicionScore does. A higher score detects later and errs less often. Default: 9.2.
	EjectionScore float64
	// EjectionTime is how long the first ejection lasts; each further one
	// lasts twice as long as the one before, up to EjectionTimeMax.
	// Defaults: 2s and 5m.
	EjectionTime    time.Duration
	EjectionTimeMax time.Duration
	// FlapHalfLife is the time in which the memory of past ejections fades by
	// half. Default: 5m.
	FlapHalfLife time.Duration
	// ProbationAnswers is the number of good answers in a row that end a
	// first probation. Default: 5.
	ProbationAnswers int
	// ProbationPatience is how long probation waits for idempotent work
	// before probes decide alone. Default: 30s.
	ProbationPatience time.Duration
	// WarmTime is the longest time a target counts as cold while it answers.
	// Default: 30s.
	WarmTime time.Duration
	// LimitRecovery is the time without a refusal after which a lowered limit
	// rises by one slot. Default: 1s.
	LimitRecovery time.Duration
	// LeavingHold is how long a target's own word that it is leaving stands
	// against the list of targets. Default: 30s.
	LeavingHold time.Duration

	// InitialProbeWait is how long a newly listed target waits for the answer to a
	// probe before it gets work. Longer finds out more surely that the target
	// is leaving; shorter holds the first requests back less. Default: 0, no wait.
	InitialProbeWait time.Duration
	// DirectErrors and DirectEjectionTime set the direct variant's rule: the
	// number of consecutive errors that ejects a target, and for how long.
	// Defaults: 5 and 30s.
	DirectErrors       int
	DirectEjectionTime time.Duration
}

// DefaultConfig returns the settings of a service for which nothing is set.
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

// withDefaults fills in the fields of c that are zero.
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
