package quota

import "time"

// Limit is the quota of a workspace: requests a second, and the number beyond that at
// once.
type Limit struct {
	Rate  float64 `json:"per_second"`
	Burst float64 `json:"burst"`
}

// Bound is how far the requests of a workspace may exceed its quota. In any Window they
// are at most (rate x Window + burst) x (1 + Overage) + Slack.
type Bound struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// defaultWindow is the Window of a Bound that states none.
const defaultWindow = 5 * time.Second

const (
	// slackShare is the share of the slack that tokens may use. The rest is for nodes
	// that decide alone, whose fractions of a token are rounded at random.
	slackShare = 0.75
	// surplus is how many times a quota's rate is issued as tokens if the Bound has room:
	// what hosts that are down or cut off don't deposit is made up for by the others.
	surplus = 1.1
	// minLife is the least lifetime of a token: longer than the time between deposits.
	minLife = 400 * time.Millisecond
)

func (b Bound) window() time.Duration {
	if b.Window <= 0 {
		return defaultWindow
	}
	return b.Window
}

// issue returns how many tokens a second the whole fleet issues for a limit, and their
// lifetime. Requests in a window may use tokens that were issued before it, by up to
// their lifetime and the period of a deposit. What the Bound has room for beyond the
// surplus makes tokens last longer, so that they add up to a burst.
func (b Bound) issue(l Limit) (perSecond float64, life time.Duration) {
	w := b.window().Seconds()
	allowed := (l.Rate*w+l.Burst)*(1+b.Overage) + b.Slack*slackShare
	lead := w + maxPeriod.Seconds()
	lifeSeconds := min(max(allowed/(surplus*l.Rate)-lead, minLife.Seconds()), w)
	return allowed / (lead + lifeSeconds), time.Duration(lifeSeconds * float64(time.Second))
}

// capacity returns the number of requests that a limit allows at once. Half of the slack
// is added, since a limit of few requests a second would refuse callers who keep to it
// but don't come at an even rate.
func (b Bound) capacity(l Limit) float64 { return max(l.Burst, 1) + b.Slack/2 }
