package homes

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/balance"
)

// kindCounts tells other homes what one has counted for the retry budgets.
const kindCounts control.Kind = "retry_counts"

// countsInterval is how often homes tell each other: second attempts that a
// successor does not know of yet must stay few against the budget.
const countsInterval = 500 * time.Millisecond

// Counts keeps the retry budgets of all homes in step, so that one that takes
// over knows what was granted before.
type Counts struct {
	loop      *balance.Loop
	transport *control.Transport
	relays    Relays
	self      string
	log       hclog.Logger
}

// NewCounts returns Counts; Run makes them work.
func NewCounts(loop *balance.Loop, t *control.Transport, relays Relays, self string, log hclog.Logger) *Counts {
	c := &Counts{loop: loop, transport: t, relays: relays, self: self, log: log}
	t.Handle(kindCounts, c.take)
	return c
}

// Run tells the other homes until the context ends.
func (c *Counts) Run(ctx context.Context) {
	ticker := time.NewTicker(countsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.tell(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Counts) tell(ctx context.Context) {
	counts := c.loop.TakeRetryCounts()
	if len(counts) == 0 {
		return
	}
	for _, n := range c.relays.Relays() {
		if n.Name == c.self {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			// A home that misses counts grants a little more after a takeover.
			err := c.transport.Send(ctx, control.Peer{Name: n.Name, ControlAddress: n.ControlAddress}, kindCounts, counts)
			if err != nil {
				c.log.Info("retry counts lost", "home", n.Name, "services", len(counts), "error", err)
			}
		}()
	}
}

func (c *Counts) take(_ context.Context, _ string, body []byte) (any, error) {
	var counts []balance.RetryCount
	if err := control.Unmarshal(body, &counts); err != nil {
		return nil, err
	}
	c.loop.AddRetryCounts(counts)
	return nil, nil
}
