package node

import (
	"context"
	"time"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/event"
	"filbertmill.example/poison"
	"filbertmill.example/pool"
)

// mailboxSize is the number of commands that wait for the control goroutine.
const mailboxSize = 4096

// command is a message to the control goroutine.
type command interface {
	apply(c *controlLoop, now time.Time)
}

// controlLoop is the state of the control goroutine. Nothing else touches it.
type controlLoop struct {
	mailbox chan command
	done    chan struct{}
	now     func() time.Time
	env     environment
	config  *dynamic.Config
	leaving map[string]bool
	pools   map[string]*servicePool
	poison  *poison.Tracker
	once    onceState
	seed    uint64
	// prepared is when the pools of this node's services were last looked after.
	prepared time.Time
}

// environment is what the control goroutine needs of its node.
type environment interface {
	event.Sink
	onceEnvironment
	// spreadQuarantine tells the successors of a home of a poison request and
	// calls told once they have answered or were given up.
	spreadQuarantine(e poison.Entry, told func())
	// homeOf names the services whose home this node is.
	homeOf() []string
	// probe asks for an observation of a target; the answer comes as a command.
	probe(service, target string, at endpoint, path string, origin pool.Origin)
}

// newControlLoop returns the state with no configuration in force.
func newControlLoop(env environment, seed uint64) *controlLoop {
	return &controlLoop{
		mailbox: make(chan command, mailboxSize),
		done:    make(chan struct{}),
		now:     time.Now,
		env:     env,
		config:  &dynamic.Config{},
		leaving: make(map[string]bool),
		pools:   make(map[string]*servicePool),
		poison:  poison.NewTracker(poison.DefaultConfig()),
		once:    newOnceState(),
		seed:    seed,
	}
}

// run applies commands until the context ends.
func (c *controlLoop) run(ctx context.Context) {
	defer close(c.done)
	timer := time.NewTimer(prepareInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case cmd := <-c.mailbox:
			cmd.apply(c, c.now())
			c.drainMailbox()
		case <-timer.C:
		}
		timer.Reset(c.tick(c.now()))
	}
}

// drainMailbox applies the commands that are already waiting.
func (c *controlLoop) drainMailbox() {
	for range mailboxSize {
		select {
		case cmd := <-c.mailbox:
			cmd.apply(c, c.now())
		default:
			return
		}
	}
}

// tick does what is due and returns the time until more is.
func (c *controlLoop) tick(now time.Time) time.Duration {
	c.prepare(now)
	wait := prepareInterval
	for _, p := range c.pools {
		next := p.sched.Next()
		if next.IsZero() {
			continue
		}
		if !next.After(now) {
			p.sched.Tick(now)
			next = p.sched.Next()
		}
		if !next.IsZero() {
			wait = min(wait, max(next.Sub(now), time.Millisecond))
		}
	}
	for _, s := range c.once.homes {
		wait = min(wait, s.tick(now))
	}
	return wait
}

// send hands a command over; it reports false once the control goroutine has ended.
func (c *controlLoop) send(cmd command) bool {
	select {
	case c.mailbox <- cmd:
		return true
	case <-c.done:
		return false
	}
}

// pool returns the pool of a service, made on first use, or nil if the
// configuration has no such service.
func (c *controlLoop) pool(service string, now time.Time) *servicePool {
	if p := c.pools[service]; p != nil {
		return p
	}
	for i := range c.config.Services {
		if c.config.Services[i].Name == service {
			p := newServicePool(c, &c.config.Services[i], now)
			c.pools[service] = p
			return p
		}
	}
	return nil
}
