package homes

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"filbertmill.example/gateway/follow"
	"filbertmill.example/gateway/replica"
)

const (
	// forwardShare is the part of their life after which a home gets tokens that
	// no question has brought: they are worth most while all of them are there.
	forwardShare = 0.5
	// maxForwarded bounds the services of one round, of which others come next.
	maxForwarded = 64
)

// Run forwards the fixed tokens of services for which this node asks seldom, until
// the context ends. Services returns the names of all.
func (c *Client) Run(ctx context.Context, services func() []string) {
	interval := time.Duration(forwardShare * float64(c.cfg.Retries.Life()))
	if interval <= 0 {
		return // no second attempts are allowed
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.forward(ctx, services(), interval)
		case <-ctx.Done():
			return
		}
	}
}

// forward has the homes of the services get what is due.
func (c *Client) forward(ctx context.Context, services []string, interval time.Duration) {
	relays := c.cfg.Relays.Relays()
	parcels := make(map[replica.Node][]parcel)
	forwarded, first := 0, rand.IntN(len(services)+1)
	for _, name := range slices.Concat(services[first:], services[:first]) {
		homes := follow.RankHomes(name, relays)
		if len(homes) == 0 || forwarded >= maxForwarded || !c.tokens.due(name, interval) {
			continue
		}
		forwarded++
		h := homes[0]
		if h.Name == c.cfg.Self {
			c.cfg.Shared.Deposit(name, c.tokens.issue(name, false), c.cfg.Shared.Clock())
			continue
		}
		if clock := c.clocks.estimate(h.Name); clock > 0 {
			parcels[h] = append(parcels[h], parcel{name, c.tokens.issue(name, false), clock})
		} else if parcels[h] == nil {
			parcels[h] = []parcel{} // the answer tells the clock
		}
	}
	for h, list := range parcels {
		go c.deliver(ctx, h, list)
	}
}

// deliver sends parcels to a home and takes its clock from the answer.
func (c *Client) deliver(ctx context.Context, h replica.Node, list []parcel) {
	var clock time.Duration
	if err := c.call(ctx, peerOf(h), kindTokens, list, &clock); err != nil {
		c.cfg.Log.Info("retry tokens lost", "home", h.Name, "services", len(list), "error", err)
		return
	}
	c.clocks.note(h.Name, clock)
}
