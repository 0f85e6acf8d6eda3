package homes

import (
	"context"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/follow"
	"filbertmill.example/pool"
)

// kindExplain asks a home what it would do with an attempt: a balance.Attempt, answered by
// a pool.Explanation.
const kindExplain control.Kind = "explain"

// Explain returns what the home of the attempt's service would do with it now, and the name
// of the home, which is empty if none answers and this node would decide alone.
func (c *Client) Explain(ctx context.Context, a balance.Attempt) (e pool.Explanation, home string) {
	homes := follow.RankHomes(a.Service, c.cfg.Relays.Relays())
	for _, h := range homes[:min(len(homes), maxHomesAsked)] {
		if h.Name == c.cfg.Self {
			return c.cfg.Shared.Explain(a), h.Name
		}
		if err := c.call(ctx, peerOf(h), kindExplain, a, &e); err == nil {
			return e, h.Name
		}
	}
	return c.cfg.Fallback.Explain(a), ""
}

func (s *Server) explain(_ context.Context, _ string, body []byte) (any, error) {
	var a balance.Attempt
	if err := control.Unmarshal(body, &a); err != nil {
		return nil, err
	}
	return s.loop.Explain(a), nil
}
