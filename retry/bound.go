package retry

import "time"

// Bound limits the second attempts of each service over a whole fleet. In any
// Window they are at most Ratio times the number of the service's requests, plus
// Extra.
type Bound struct {
	Window time.Duration
	Ratio  float64
	Extra  float64
}

const (
	// lifeShare is the lifetime of a token as a share of the window. A longer
	// lifetime allows larger bursts of second attempts after a quiet period, and
	// a lower sustained rate.
	lifeShare = 0.25
	// DeliveryTime limits the time from the taking of a token to the arrival of its
	// attempt at a target.
	DeliveryTime = time.Second
)

// Life returns the lifetime of a token.
func (b Bound) Life() time.Duration { return time.Duration(lifeShare * float64(b.Window)) }

// issuedShare returns the share of the bound that is issued as tokens. Attempts
// that arrive within a window may use tokens that were issued earlier: before the
// start of the window by up to the lifetime of a token plus DeliveryTime.
func (b Bound) issuedShare() float64 {
	if b.Window <= 0 {
		return 0
	}
	return float64(b.Window) / float64(b.Window+b.Life()+DeliveryTime)
}

// perRequest returns the tokens that one request earns.
func (b Bound) perRequest() Tokens { return Tokens(b.issuedShare() * b.Ratio * float64(Token)) }

// accruedOver returns the tokens that accrue for Extra during d, for the whole
// fleet.
func (b Bound) accruedOver(d time.Duration) Tokens {
	if b.Window <= 0 {
		return 0
	}
	return Tokens(b.issuedShare() * b.Extra * float64(Token) * float64(d) / float64(b.Window))
}
