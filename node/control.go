package node

import (
	"context"
	"time"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/event"
	"filbertmill.example/poison"
	"filbertmill.example/pool"
)

// mailboxSize is the most commands that can wait for the control goroutine;
// then send blocks.
const mailboxSize = 4096

// command is a message to the control goroutine, which runs apply.
type command interface {
	apply(c *controlLoop, now time.Time)
}

// controlLoop is the state of the control goroutine. No other goroutine reads
// or writes it, except through send and done.
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
	// lastPrepared is when preparePools last ran.
	lastPrepared time.Time
}

// environment is what the control goroutine needs from its node.
type environment interface {
	event.Sink
	onceEnvironment
	// spreadQuarantine sends the quarantine of a poison request to the home's
	// successors. It calls notified when each has answered or its call failed.
	spreadQuarantine(e poison.Entry, notified func())
	// homedServices returns the names of the services whose home this node is.
	homedServices() []string
	// probe starts a probe of a target and does not block. The observation
	// arrives as an observeCommand.
	probe(service, target string, at endpoint, path string, origin pool.Origin)
}

// newControlLoop returns a controlLoop with no configuration in force.
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

// tick does the work that is due and returns the time until more is due.
func (c *controlLoop) tick(now time.Time) time.Duration {
	c.preparePools(now)
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

// send hands a command to the control goroutine. It reports false if that has
// ended.
func (c *controlLoop) send(cmd command) bool {
	select {
	case c.mailbox <- cmd:
		return true
	case <-c.done:
		return false
	}
}

// pool returns the pool of a service, created on first use, or nil if the
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
