package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/follow"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/outcome"
)

const (
	// callTimeout is how long a home may take to answer: a host may get no CPU time for a
	// tenth of a second.
	callTimeout = 200 * time.Millisecond
	// maxHomesAsked is the number of homes asked before the node decides alone.
	maxHomesAsked = 2
	// shortWait is how long a request waits while no home can admit it for want of
	// deposits, as just after a start of the fleet, and shortPause the time between two
	// questions. shortRetryAfter is the Retry-After of one that is refused then.
	shortWait       = 500 * time.Millisecond
	shortPause      = 50 * time.Millisecond
	shortRetryAfter = 250 * time.Millisecond
)

// Fleet is what a Client needs to know of the fleet.
type Fleet interface {
	// Relays returns the relays that answer.
	Relays() []replica.Node
	// Suspect reports that a relay does not answer.
	Suspect(name string)
	// QuotaShares returns into how many equal shares quotas are divided, of which this
	// host has one; 0 while it has none.
	QuotaShares(now time.Time) float64
}

// Caller sends a message to another node and decodes the answer.
type Caller interface {
	Call(ctx context.Context, to control.Peer, kind control.Kind, msg, reply any) error
}

// Config configures a Client.
type Config struct {
	// Self is the name of this node.
	Self   string
	Bound  Bound
	Fleet  Fleet
	Caller Caller
	// Ledger admits requests of the workspaces of which this node is the home.
	Ledger *Ledger
	// InForce reports whether any workspace has a quota.
	InForce func() bool
	Log     hclog.Logger
	Stats   *Stats
}

// Client admits this node's requests.
type Client struct {
	cfg Config

	mu     sync.Mutex
	issuer issuer
	stocks map[string]*stock
	// clocks are the clocks of other homes, as their answers have told them.
	clocks map[string]reading
}

// reading is the clock of a home's Ledger at a time.
type reading struct {
	clock time.Duration
	at    time.Time
}

// NewClient returns a Client.
func NewClient(cfg Config) *Client {
	return &Client{
		cfg: cfg, issuer: issuer{issued: time.Now()}, stocks: make(map[string]*stock), clocks: make(map[string]reading),
	}
}

// Admission is the permission to serve one request. The zero Admission is that of a
// workspace without a quota.
type Admission struct {
	workspace string
	expires   time.Time
}

// decision is the answer to one waiting request.
type decision struct {
	admission  Admission
	reason     outcome.Reason
	retryAfter time.Duration
}

// Refusal is why a request is not admitted.
type Refusal struct {
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// Admit admits a request of a workspace, or returns why it is refused. It fails only
// with the context's error.
func (c *Client) Admit(ctx context.Context, w *dynamic.Workspace) (Admission, *Refusal, error) {
	if w == nil || w.Rate <= 0 {
		return Admission{}, nil, nil
	}
	now := time.Now()
	wait := waiter{make(chan decision, 1), now}
	c.mu.Lock()
	s := c.stock(w.Name)
	s.countRequest(now)
	if len(s.waiting) == 0 {
		if expires, ok := s.take(now); ok {
			c.mu.Unlock()
			c.cfg.Stats.count("admitted")
			return Admission{w.Name, expires}, nil, nil
		}
	}
	s.waiting = append(s.waiting, wait)
	if !s.asking {
		s.asking = true
		go c.askHomes(w, s)
	}
	c.mu.Unlock()
	select {
	case d := <-wait.decided:
		if d.reason != "" {
			c.cfg.Stats.count(string(d.reason))
			return Admission{}, &Refusal{d.reason, d.retryAfter}, nil
		}
		c.cfg.Stats.count("admitted")
		return d.admission, nil, nil
	case <-ctx.Done():
		go c.giveBackWhenDecided(wait.decided)
		return Admission{}, nil, ctx.Err()
	}
}

// giveBackWhenDecided gives back the admission of a request that no longer waits.
func (c *Client) giveBackWhenDecided(wait <-chan decision) {
	if d := <-wait; d.reason == "" {
		c.GiveBack(d.admission)
	}
}

// GiveBack returns the admission of a request that has certainly not run.
func (c *Client) GiveBack(a Admission) {
	if a.workspace == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stock(a.workspace).giveBack(time.Now(), a.expires)
	c.cfg.Stats.count("given_back")
}

// stock returns the stock of a workspace. The caller holds the mutex.
func (c *Client) stock(workspace string) *stock {
	s := c.stocks[workspace]
	if s == nil {
		s = &stock{lastRequest: time.Now()}
		c.stocks[workspace] = s
	}
	return s
}

// askHomes asks for the requests that wait, until none is left.
func (c *Client) askHomes(w *dynamic.Workspace, s *stock) {
	for {
		c.mu.Lock()
		asked := s.waiting
		if len(asked) == 0 {
			s.asking = false
			c.mu.Unlock()
			return
		}
		s.waiting = nil
		a := Ask{Workspace: w.Name, Need: len(asked), Spare: s.spare(), Unused: s.unused}
		s.unused = 0
		c.mu.Unlock()
		answer, err := c.ask(a)
		left := c.deliver(w, s, asked, answer)
		switch {
		case len(left) == 0:
		case err == nil && !answer.Short:
			for _, wait := range left {
				wait.decided <- decision{reason: outcome.ReasonQuota, retryAfter: answer.RetryAfter}
			}
		default:
			c.decideAlone(w, s, left)
		}
	}
}

// deliver passes a home's admissions on to the requests that it was asked for. It returns
// those that it did not admit.
func (c *Client) deliver(w *dynamic.Workspace, s *stock, asked []waiter, answer Answer) []waiter {
	now := time.Now()
	admitted := min(max(answer.Admitted, 0), len(asked))
	for _, wait := range asked[:admitted] {
		wait.decided <- decision{admission: Admission{w.Name, now.Add(admissionLife)}}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.add(now, answer.Admitted-admitted)
	return asked[admitted:]
}

// decideAlone decides by this host's share alone. Requests that it does not admit wait
// for the home to be asked again, unless they have waited for long.
func (c *Client) decideAlone(w *dynamic.Workspace, s *stock, asked []waiter) {
	now := time.Now()
	perSecond, _ := c.cfg.Bound.issue(Limit{w.Rate, w.Burst})
	hosts := c.cfg.Fleet.QuotaShares(now)
	var waiting []waiter
	c.mu.Lock()
	for _, wait := range asked {
		switch {
		case c.issuer.spend(now, hosts, w.Name, perSecond, rand.Float64()):
			c.cfg.Stats.count("alone")
			// The share of the time in which it was issued may not be used later.
			wait.decided <- decision{admission: Admission{w.Name, now}}
		case now.Sub(wait.since) > shortWait:
			wait.decided <- decision{reason: outcome.ReasonNoHome, retryAfter: shortRetryAfter}
		default:
			waiting = append(waiting, wait)
		}
	}
	s.waiting = append(waiting, s.waiting...)
	c.mu.Unlock()
	if len(waiting) > 0 {
		time.Sleep(shortPause)
	}
}

// ask asks the home of a workspace, and the next one if it does not answer.
func (c *Client) ask(a Ask) (answer Answer, err error) {
	homes := follow.RankHomes(HomeKey(a.Workspace), c.cfg.Fleet.Relays())
	err = errNoHome
	for _, h := range homes[:min(len(homes), maxHomesAsked)] {
		if h.Name == c.cfg.Self {
			answer, err = c.cfg.Ledger.Ask(time.Now(), a), nil
		} else {
			answer = Answer{}
			err = c.call(h, kindAsk, a, &answer)
		}
		if err == nil && answer.Unknown {
			err = errUnknownWorkspace
		}
		if err == nil {
			return answer, nil
		}
		c.cfg.Log.Warn("quota not asked for", "home", h.Name, "workspace", a.Workspace, "error", err)
		if !isRemote(err) {
			c.cfg.Fleet.Suspect(h.Name)
		}
	}
	return Answer{}, err
}

func (c *Client) call(h replica.Node, kind control.Kind, msg, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return c.cfg.Caller.Call(ctx, control.Peer{Name: h.Name, AvailabilityZone: h.AvailabilityZone, ControlAddress: h.ControlAddress}, kind, msg, reply)
}

// Run deposits this host's share with the homes until the context ends. The first deposit
// follows as soon as there is one to make.
func (c *Client) Run(ctx context.Context) {
	interval := shortPause
	for {
		select {
		case <-time.After(interval):
			if c.cfg.InForce() && c.deposit(time.Now()) {
				interval = depositInterval
			}
		case <-ctx.Done():
			return
		}
	}
}

// deposit deposits the share since the last deposit with the relays in use. It reports
// whether there was any.
func (c *Client) deposit(now time.Time) bool {
	relays := c.cfg.Fleet.Relays()
	hosts := c.cfg.Fleet.QuotaShares(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.stocks {
		if s.idle(now) {
			delete(c.stocks, name)
		}
	}
	if len(relays) == 0 {
		return false // the node decides alone, by its share
	}
	var d Deposit
	d.Share, d.Spent = c.issuer.deposit(now, hosts)
	names := make([]string, len(relays))
	for i, n := range relays {
		names[i] = n.Name
	}
	d.List = listID(names)
	for _, n := range relays {
		if n.Name == c.cfg.Self {
			d.IssuedAt = c.cfg.Ledger.clockAt(now)
			own := d
			own.Relays = names
			c.cfg.Ledger.Deposit(now, own)
			continue
		}
		d.IssuedAt = c.estimate(n.Name, now)
		go c.send(n, d, names, now)
	}
	return d.Share > 0
}

// send sends a deposit that was issued at a time by a host that uses the named relays. A
// home that does not answer may have it all the same, so that it is not sent again. It is
// if the answer proves that the home has not taken it: it does not know the list of
// relays, or has another clock.
func (c *Client) send(to replica.Node, d Deposit, relays []string, issued time.Time) {
	for range 2 {
		var reply depositReply
		if err := c.call(to, kindDeposit, d, &reply); err != nil {
			c.cfg.Log.Debug("share of quotas lost", "home", to.Name, "error", err)
			return
		}
		now := time.Now()
		c.mu.Lock()
		c.clocks[to.Name] = reading{reply.Clock, now}
		c.mu.Unlock()
		if reply.UnknownList {
			d.Relays = relays
		} else if d.IssuedAt > 0 && d.IssuedAt <= reply.Clock {
			return
		}
		d.IssuedAt = reply.Clock - now.Sub(issued)
	}
}

// estimate returns the clock of a home at a time, no later than it is, or 0 if it is not
// known. The caller holds the mutex.
func (c *Client) estimate(home string, now time.Time) time.Duration {
	r, known := c.clocks[home]
	if !known {
		return 0
	}
	return r.clock + now.Sub(r.at)
}

// Home returns the name of the node that admits the requests of a workspace, or "" if this
// node would decide alone.
func (c *Client) Home(workspace string) string {
	homes := follow.RankHomes(HomeKey(workspace), c.cfg.Fleet.Relays())
	if len(homes) == 0 {
		return ""
	}
	return homes[0].Name
}
