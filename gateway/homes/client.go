package homes

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/follow"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/retry"
)

const (
	// callTimeout is how long a home may take to answer. A host may get no CPU time
	// for a tenth of a second, and callers wait for about a second.
	callTimeout = longPollTime + 150*time.Millisecond
	// sendTimeout limits the time to send a message that has no answer.
	sendTimeout = time.Second
	// maxHomesAsked is the number of homes asked for a target before the node uses its
	// fallback Loop.
	maxHomesAsked = 2
)

// Relays is the list of relays. A relay is a node that serves as the home of some of
// the services.
type Relays interface {
	// Relays returns the relays that answer.
	Relays() []replica.Node
	// Suspect reports that a relay does not answer.
	Suspect(name string)
}

// Config configures a Client.
type Config struct {
	// Self is the name of this node.
	Self      string
	Relays    Relays
	Transport *control.Transport
	// Fleet and Retries determine the retry tokens that this node issues.
	Fleet   Fleet
	Retries retry.Bound
	// Shared assigns targets for the whole fleet to the services of which this node is
	// the home. Fallback assigns targets for this node alone while no home answers.
	Shared   *balance.Loop
	Fallback *balance.Loop
	// Listed reports whether a target of a service is listed.
	Listed func(service, target string) bool
	Log    hclog.Logger
}

// Client requests targets from homes.
type Client struct {
	cfg    Config
	tokens tokenIssuer
	clocks homeClocks
	limits *nodeLimits
	// quarantine is what this node knows of the requests that crash targets.
	quarantine *nodeQuarantine
}

// NewClient returns a Client.
func NewClient(cfg Config) *Client {
	return &Client{
		cfg:    cfg,
		tokens: tokenIssuer{fleet: cfg.Fleet, issuer: retry.NewIssuer(cfg.Retries)},
		clocks: homeClocks{readings: make(map[string]clockReading)},
		limits: newNodeLimits(cfg.Log),

		quarantine: newNodeQuarantine(cfg.Log),
	}
}

// Decision is the answer to an attempt: a granted target or a refusal.
type Decision struct {
	balance.Grant
	// Home is the name of the node that decided as the home, or empty if this node
	// decided by its fallback Loop.
	Home string
	// submitted is when the attempt was submitted, and grantedAfter a time before which
	// the target was certainly not granted.
	submitted, grantedAfter time.Time

	finish func(balance.Report)
}

// Finish reports the result of a granted attempt.
func (d Decision) Finish(r balance.Report) {
	if d.finish != nil {
		d.finish(r)
	}
}

// Acquire requests a target from the homes of the attempt's service in turn, and
// from the fallback Loop if none of them answers. It fails only with the context's
// error.
func (c *Client) Acquire(ctx context.Context, a balance.Attempt) (Decision, error) {
	start, timeLeft, softTimeLeft := time.Now(), a.TimeLeft, a.SoftTimeLeft
	deposit := attemptDeposit{deposit: c.tokens.issue(a.Service, a.Kind == balance.FirstAttempt)}
	homes := follow.RankHomes(a.Service, c.cfg.Relays.Relays())
	for _, h := range homes[:min(len(homes), maxHomesAsked)] {
		a.TimeLeft, a.SoftTimeLeft = timeLeft-time.Since(start), softTimeLeft-time.Since(start)
		if h.Name == c.cfg.Self {
			deposit.attachTo(&a, c.cfg.Shared.Clock())
			return c.acquireFromLoop(ctx, c.cfg.Shared, a, h.Name)
		}
		deposit.attachTo(&a, c.clocks.estimate(h.Name))
		decision, err := c.withLists(a, func(a balance.Attempt) (Decision, error) { return c.acquireFromHome(ctx, h, a) })
		if err == nil && deposit.notAdded(a, decision.Clock) {
			go c.sendContributions(context.WithoutCancel(ctx), h, []balance.Contribution{{
				Service: a.Service, Deposit: deposit.deposit, SentAt: decision.Clock - time.Since(start), LimitsDigest: c.limits.digest(a.Service),
			}})
		}
		if err == nil || ctx.Err() != nil {
			return decision, ctx.Err()
		}
		c.cfg.Log.Warn("home does not answer", "home", h.Name, "service", a.Service, "request", a.Request, "error", err)
		c.cfg.Relays.Suspect(h.Name)
	}
	a.TimeLeft, a.SoftTimeLeft = timeLeft-time.Since(start), softTimeLeft-time.Since(start)
	deposit.attachTo(&a, c.cfg.Fallback.Clock())
	if permits := c.limits.issue(a.Service, &c.tokens); len(permits) > 0 {
		c.cfg.Fallback.AddPermits(a.Service, permits)
	}
	return c.acquireFromLoop(ctx, c.cfg.Fallback, a, "")
}

// acquireFromLoop requests a target from a Loop of this node.
func (c *Client) acquireFromLoop(ctx context.Context, loop *balance.Loop, a balance.Attempt, home string) (Decision, error) {
	return c.withLists(a, func(a balance.Attempt) (Decision, error) { return c.acquireLocally(ctx, loop, a, home) })
}

// acquireLocally requests a target once from a Loop of this node.
func (c *Client) acquireLocally(ctx context.Context, loop *balance.Loop, a balance.Attempt, home string) (Decision, error) {
	decision := Decision{Home: home, finish: loop.Finish}
	reply := make(chan struct{})
	loop.Submit(a, func(g balance.Grant) {
		decision.Grant, decision.grantedAfter = g, time.Now()
		close(reply)
	})
	select {
	case <-reply:
		return decision, nil
	case <-ctx.Done():
		loop.Cancel(a.Service, a.ID)
		return Decision{}, ctx.Err()
	}
}

// acquireFromHome requests a target from another node.
func (c *Client) acquireFromHome(ctx context.Context, h replica.Node, a balance.Attempt) (Decision, error) {
	to := peerOf(h)
	ref := attemptRef{a.Service, a.ID}
	decision := Decision{Home: h.Name, finish: func(r balance.Report) { c.send(to, kindFinish, r) }}
	decision.grantedAfter = time.Now()
	err := c.call(ctx, to, kindSubmit, a, &decision.Grant)
	if err == nil {
		c.clocks.record(h.Name, decision.Clock)
	}
	for err == nil && decision.Queued {
		decision.Grant, decision.grantedAfter = balance.Grant{}, time.Now()
		err = c.call(ctx, to, kindAwait, ref, &decision.Grant)
	}
	if err != nil {
		go c.send(to, kindCancel, ref)
	}
	return decision, err
}

func peerOf(n replica.Node) control.Peer {
	return control.Peer{Name: n.Name, AvailabilityZone: n.AvailabilityZone, ControlAddress: n.ControlAddress}
}

func (c *Client) call(ctx context.Context, to control.Peer, kind control.Kind, msg, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.cfg.Transport.Call(ctx, to, kind, msg, reply)
}

// send sends a message that has no answer.
func (c *Client) send(to control.Peer, kind control.Kind, msg any) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := c.cfg.Transport.Send(ctx, to, kind, msg); err != nil {
		c.cfg.Log.Debug("message to home lost", "home", to.Name, "kind", kind, "error", err)
	}
}
