package retry

import "time"

// Bound limits the second attempts of each service over a whole fleet: in any
// Window, Ratio for each of the service's requests, plus Extra.
type Bound struct {
	Window time.Duration
	Ratio  float64
	Extra  float64
}

const (
	// lifeShare is the part of the window for which a token is good. A longer
	// life lets more second attempts follow each other at once after a calm time,
	// and fewer go on.
	lifeShare = 0.25
	// DeliveryTime bounds the time from the taking of a token to the arrival of its
	// attempt at a target.
	DeliveryTime = time.Second
)

// Life returns how long a token is good.
func (b Bound) Life() time.Duration { return time.Duration(lifeShare * float64(b.Window)) }

// issuedShare is the part of the bound that is issued: the attempts that arrive
// in a window have tokens that were issued in it, or up to a token's life and the
// delivery of the attempt before.
func (b Bound) issuedShare() float64 {
	if b.Window <= 0 {
		return 0
	}
	return float64(b.Window) / float64(b.Window+b.Life()+DeliveryTime)
}

// perRequest returns the tokens that one request earns.
func (b Bound) perRequest() Tokens { return Tokens(b.issuedShare() * b.Ratio * float64(Token)) }

// perTime returns the tokens that accrue for Extra over a time, for the whole fleet.
func (b Bound) perTime(d time.Duration) Tokens {
	if b.Window <= 0 {
		return 0
	}
	return Tokens(b.issuedShare() * b.Extra * float64(Token) * float64(d) / float64(b.Window))
}
