package fleet

import (
	"math/rand/v2"
	"time"
)

// commandBuffer is the capacity of the queue of commands to the control
// goroutine.
const commandBuffer = 256

// Timing holds the intervals and timeouts of an Agent.
type Timing struct {
	// Tick is the interval at which the control goroutine checks which periodic
	// actions are due.
	Tick time.Duration
	// Exchange is the interval between exchanges; their partners take turns.
	Exchange time.Duration
	// ExchangeTimeout limits one exchange or probe.
	ExchangeTimeout time.Duration
	// Suspicion is the time in which a suspected member may refute.
	Suspicion time.Duration
	// AntiEntropy is the interval between comparisons of the complete table with
	// that of a random member.
	AntiEntropy time.Duration
	// Rotation is how long the random partners are kept.
	Rotation time.Duration
	// Reconnect is the interval between attempts to contact one member that is
	// gone or suspected.
	Reconnect time.Duration
	// HostList is the interval at which a watching node reads the host list.
	HostList time.Duration
	// StorePoll is the interval at which the fleet as a whole reads the store in
	// addition to the watches. Each node reads it less often as the fleet grows.
	StorePoll time.Duration
	// Join is the first interval between attempts to join; it doubles after each
	// attempt, up to maxJoinInterval.
	Join time.Duration
	// Pause is the gap between two readings of the clock from which the node
	// concludes that it was suspended.
	Pause time.Duration
}

// DefaultTiming returns the intervals that nodes use.
func DefaultTiming() Timing {
	return Timing{
		Tick:            100 * time.Millisecond,
		Exchange:        500 * time.Millisecond,
		ExchangeTimeout: time.Second,
		Suspicion:       3 * time.Second,
		AntiEntropy:     5 * time.Second,
		Rotation:        10 * time.Second,
		Reconnect:       5 * time.Second,
		HostList:        10 * time.Second,
		StorePoll:       time.Second,
		Join:            time.Second,
		Pause:           3 * time.Second,
	}
}

// maxJoinInterval is the largest interval between attempts to join.
const maxJoinInterval = 10 * time.Second

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(rng.Int64N(int64(d)+1))
}

// schedule holds the time at which each periodic action is due next.
type schedule struct {
	exchange    time.Time
	antiEntropy time.Time
	rotation    time.Time
	reconnect   time.Time
	hostList    time.Time
	storePoll   time.Time
	join        time.Time
	// joinInterval is the current interval between attempts to join.
	joinInterval time.Duration
}

// startSchedule sets the first time of each periodic action.
func (a *Agent) startSchedule(now time.Time) {
	a.schedule = schedule{
		exchange:     now.Add(jitter(a.rng, a.timing.Exchange)),
		antiEntropy:  now.Add(jitter(a.rng, a.timing.AntiEntropy)),
		rotation:     now,
		reconnect:    now.Add(jitter(a.rng, a.timing.Reconnect)),
		hostList:     now,
		storePoll:    now.Add(a.pollInterval()),
		join:         now,
		joinInterval: a.timing.Join,
	}
}

// due reports whether an action is due, and if so sets the next time at which it
// is.
func due(now time.Time, next *time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(interval)
	return true
}

// tick performs the periodic actions that are due.
func (a *Agent) tick(now time.Time) {
	s, t := &a.schedule, a.timing
	if !(a.joined && a.reachedPeer) && due(now, &s.join, jitter(a.rng, s.joinInterval)) {
		s.joinInterval = min(2*s.joinInterval, maxJoinInterval)
		a.startJoin()
	}
	if due(now, &s.rotation, jitter(a.rng, t.Rotation)) {
		a.sampledPartners = sample(a.rng, a.self.Name(), a.table.inState(StateAlive), sampledPartnerCount)
		a.table.dropExpired(now)
	}
	if due(now, &s.exchange, jitter(a.rng, t.Exchange)) {
		a.exchangeWithNext()
	}
	if due(now, &s.antiEntropy, jitter(a.rng, t.AntiEntropy)) {
		a.compareTables()
	}
	if due(now, &s.reconnect, jitter(a.rng, t.Reconnect)) {
		a.reconnectLost()
	}
	if due(now, &s.storePoll, a.pollInterval()) {
		a.pollStore()
	}
	a.expireSuspects(now)
	a.recheckAvoided(now)
	if a.table.generation != a.viewGeneration {
		a.buildView()
	}
	a.updateWatch(now)
}
