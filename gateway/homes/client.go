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
	// callTimeout is how long a home may take to answer: a host may be out of
	// processor time for a tenth of a second, and callers wait about a second.
	callTimeout = holdTime + 150*time.Millisecond
	// sendTimeout bounds a message without an answer.
	sendTimeout = time.Second
	// homesTried is the number of homes asked before the node decides alone.
	homesTried = 2
)

// Relays knows the nodes that are homes.
type Relays interface {
	// Relays returns the relays that answer.
	Relays() []replica.Node
	// Suspect notes that one does not.
	Suspect(name string)
}

// Config holds what a Client needs.
type Config struct {
	// Self is this node's name.
	Self      string
	Relays    Relays
	Transport *control.Transport
	// Fleet and Retries say which retry tokens this node issues.
	Fleet   Fleet
	Retries retry.Bound
	// Shared decides for the whole fleet where this node is a home, Alone for
	// this node while no home answers.
	Shared *balance.Loop
	Alone  *balance.Loop
	Log    hclog.Logger
}

// Client asks homes for targets.
type Client struct {
	cfg    Config
	tokens tokens
	clocks clocks
}

// NewClient returns a Client.
func NewClient(cfg Config) *Client {
	return &Client{
		cfg:    cfg,
		tokens: tokens{fleet: cfg.Fleet, issuer: retry.NewIssuer(cfg.Retries)},
		clocks: clocks{read: make(map[string]reading)},
	}
}

// Lease is the right to run an attempt on the granted target, or a refusal.
type Lease struct {
	balance.Grant
	// Home names the node that granted or refused.
	Home   string
	finish func(balance.Report)
}

// Finish reports the end of a granted attempt.
func (l Lease) Finish(r balance.Report) {
	if l.finish != nil {
		l.finish(r)
	}
}

// Acquire asks the homes of the attempt's service in turn, and decides alone if
// none answers. It fails only with the context's error.
func (c *Client) Acquire(ctx context.Context, a balance.Attempt) (Lease, error) {
	start, left, due := time.Now(), a.TimeLeft, a.DueLeft
	tokens := allotment{deposit: c.tokens.issue(a.Service, a.Repeat == balance.First)}
	homes := follow.RankHomes(a.Service, c.cfg.Relays.Relays())
	for _, h := range homes[:min(len(homes), homesTried)] {
		a.TimeLeft, a.DueLeft = left-time.Since(start), due-time.Since(start)
		if h.Name == c.cfg.Self {
			tokens.addTo(&a, c.cfg.Shared.Clock())
			return c.ask(ctx, c.cfg.Shared, a, h.Name)
		}
		tokens.addTo(&a, c.clocks.estimate(h.Name))
		lease, err := c.askHome(ctx, h, a)
		if err == nil && tokens.refused(a, lease.Clock) {
			go c.deliver(context.WithoutCancel(ctx), h, []parcel{{a.Service, tokens.deposit, lease.Clock - time.Since(start)}})
		}
		if err == nil || ctx.Err() != nil {
			return lease, ctx.Err()
		}
		c.cfg.Log.Warn("home does not answer", "home", h.Name, "service", a.Service, "request", a.Request, "error", err)
		c.cfg.Relays.Suspect(h.Name)
	}
	a.TimeLeft, a.DueLeft = left-time.Since(start), due-time.Since(start)
	tokens.addTo(&a, c.cfg.Alone.Clock())
	return c.ask(ctx, c.cfg.Alone, a, "")
}

// ask asks a Loop of this node.
func (c *Client) ask(ctx context.Context, loop *balance.Loop, a balance.Attempt, home string) (Lease, error) {
	reply := make(chan balance.Grant, 1)
	loop.Submit(a, func(g balance.Grant) { reply <- g })
	select {
	case g := <-reply:
		return Lease{Grant: g, Home: home, finish: loop.Finish}, nil
	case <-ctx.Done():
		loop.Cancel(a.Service, a.ID)
		return Lease{}, ctx.Err()
	}
}

// askHome asks another node.
func (c *Client) askHome(ctx context.Context, h replica.Node, a balance.Attempt) (Lease, error) {
	to := peerOf(h)
	ref := reference{a.Service, a.ID}
	lease := Lease{Home: h.Name, finish: func(r balance.Report) { c.send(to, kindFinish, r) }}
	err := c.call(ctx, to, kindSubmit, a, &lease.Grant)
	if err == nil {
		c.clocks.note(h.Name, lease.Clock)
	}
	for err == nil && lease.Queued {
		lease.Grant = balance.Grant{}
		err = c.call(ctx, to, kindAwait, ref, &lease.Grant)
	}
	if err != nil {
		go c.send(to, kindCancel, ref)
	}
	return lease, err
}

func peerOf(n replica.Node) control.Peer {
	return control.Peer{Name: n.Name, ControlAddress: n.ControlAddress}
}

func (c *Client) call(ctx context.Context, to control.Peer, kind control.Kind, msg, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.cfg.Transport.Call(ctx, to, kind, msg, reply)
}

// send delivers a message without an answer.
func (c *Client) send(to control.Peer, kind control.Kind, msg any) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := c.cfg.Transport.Send(ctx, to, kind, msg); err != nil {
		c.cfg.Log.Debug("message to home lost", "home", to.Name, "kind", kind, "error", err)
	}
}
