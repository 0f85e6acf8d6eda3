// Package target is a stand-in for a target with a small number of licensed slots. It
// sheds or queues the requests that exceed its slots, starts cold, drains, cancels
// requests whose callers leave, and injects faults on demand.
package target

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Overflow is how a request is handled when all slots are in use.
type Overflow string

// The ways to handle overflow.
const (
	// OverflowShed refuses the request with status 503 and answer.HeaderShed.
	OverflowShed Overflow = "shed"
	// OverflowQueue queues the request until a slot is free.
	OverflowQueue Overflow = "queue"
)

// Default times of a stand-in.
const (
	// DefaultProbeTime is the service time of the health endpoint.
	DefaultProbeTime = 25 * time.Millisecond
	// DefaultConnectTime is the time that a new connection takes.
	DefaultConnectTime = time.Millisecond
	// relistenInterval is the time between attempts to listen on the address again.
	relistenInterval = 10 * time.Millisecond
)

// Config describes a stand-in.
type Config struct {
	// Name identifies the target in answers and in the ledger.
	Name string
	// Address is the address to listen on; port 0 takes a free port.
	Address string
	// Slots is the number of requests that run concurrently. Default: 2.
	Slots int
	// Overflow is how further requests are handled. Default: OverflowShed.
	Overflow Overflow
	// Work is the service time of requests without answer.HeaderWork.
	Work time.Duration
	// ProbeTime is the service time of a probe, and ConnectTime the time that a new
	// connection takes.
	ProbeTime   time.Duration
	ConnectTime time.Duration
	// ColdFor is how long the target is cold after a start or crash. While it is
	// cold, its service times are multiplied by ColdFactor.
	ColdFor    time.Duration
	ColdFactor float64
	// CrashFor is how long the target refuses connections after a crash.
	CrashFor time.Duration
	// Seed seeds the random draws for the shares of a Behavior.
	Seed uint64
	// Ledger records the runs. If nil, the target creates one.
	Ledger *Ledger
}

// Target is a running stand-in.
type Target struct {
	cfg     Config
	address string
	slots   chan struct{}
	ledger  *Ledger
	ctx     context.Context
	stop    context.CancelFunc

	mu       sync.Mutex
	rng      *rand.Rand
	behavior Behavior
	listener net.Listener
	srv      *http.Server // nil while connections are refused
	warm     time.Time    // when the target stops being cold
	leaving  time.Time    // when it announced that it is leaving
	crashes  int
	lag      lagged
}

// Start starts a stand-in.
func Start(cfg Config) (*Target, error) {
	if cfg.Slots == 0 {
		cfg.Slots = 2
	}
	if cfg.Overflow == "" {
		cfg.Overflow = OverflowShed
	}
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &Target{
		cfg:     cfg,
		address: cfg.Address,
		slots:   make(chan struct{}, cfg.Slots),
		ledger:  cfg.Ledger,
		ctx:     ctx,
		stop:    stop,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	if err := t.open(); err != nil {
		stop()
		return nil, err
	}
	return t, nil
}

// Address returns the IP address and port that the target listens on.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Name returns the target's name.
func (t *Target) Name() string { return t.cfg.Name }

// Ledger returns the record of the target's runs.
func (t *Target) Ledger() *Ledger { return t.ledger }

// InFlight returns the number of slots in use.
func (t *Target) InFlight() int { return len(t.slots) }

// Crashes returns how often the target has crashed.
func (t *Target) Crashes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

// Close stops the target permanently.
func (t *Target) Close() {
	t.stop()
	t.shut()
}

// Set changes the target's behavior from now on.
func (t *Target) Set(b Behavior) {
	t.mu.Lock()
	t.lag.record(time.Now(), t.load(), t.healthy())
	refused := t.behavior.Refuse
	t.behavior = b
	t.mu.Unlock()
	switch {
	case b.Refuse && !refused:
		t.shut()
	case !b.Refuse && refused:
		t.reopen()
	}
}

// Behavior returns the behavior in force.
func (t *Target) Behavior() Behavior {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behavior
}

// Schedule applies the steps as they fall due, until the target closes.
func (t *Target) Schedule(steps []Step) {
	start := time.Now()
	go func() {
		for _, s := range steps {
			select {
			case <-time.After(time.Until(start.Add(s.At))):
				t.Set(s.Behavior)
			case <-t.ctx.Done():
				return
			}
		}
	}()
}

// Leave announces that the target is leaving. It still runs the requests that it
// receives.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving.IsZero() {
		t.leaving = time.Now()
	}
}

// Crash closes all connections and refuses new ones for Config.CrashFor. Afterwards the
// target is cold.
func (t *Target) Crash() {
	t.mu.Lock()
	t.crashes++
	t.mu.Unlock()
	t.shut()
	time.AfterFunc(t.cfg.CrashFor, func() {
		if !t.Behavior().Refuse {
			t.reopen()
		}
	})
}

// open listens on the address of the target and serves, unless it does already.
func (t *Target) open() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.srv != nil || t.ctx.Err() != nil {
		return nil
	}
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return errors.Wrapf(err, "target %s", t.cfg.Name)
	}
	t.address = l.Addr().String()
	t.warm = time.Now().Add(t.cfg.ColdFor)
	t.listener = l
	t.srv = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go t.srv.Serve(&slowListener{Listener: l, connectTime: t.cfg.ConnectTime})
	return nil
}

// reopen opens the target again. It retries, since another socket may hold the port
// for a while.
func (t *Target) reopen() {
	if t.open() == nil {
		return
	}
	time.AfterFunc(relistenInterval, t.reopen)
}

// shut closes the listener and all connections.
func (t *Target) shut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.srv == nil {
		return
	}
	t.listener.Close() // Serve may not have begun
	t.srv.Close()
	t.srv = nil
}

// draw reports whether an event of the given share happens this time.
func (t *Target) draw(share float64) bool {
	if share <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64() < share
}
