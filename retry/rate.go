package retry

import "time"

// Rate is a number of requests a second that a target accepts from the whole fleet.
// Hosts issue permits, tokens of one request each, at this rate together. However they
// are spent, a target gets in any 4 s at most 1.5 times what it accepts and 5 requests.
type Rate float64

const (
	// rateMin is the least rate at which permits are issued. A target that gets no
	// request can't tell that it accepts more.
	rateMin Rate = 0.5
	// permitLifeMin and permitLifeTokens determine the lifetime of a permit: longer than
	// the interval at which hosts send permits, by the time in which this many permits
	// accrue, so that the fleet's parts add up to whole ones at a home.
	permitLifeMin    = 2 * time.Second
	permitLifeTokens = 1.5
	// PermitDeliveryTime limits the time from the taking of a permit to the arrival of
	// its request at the target.
	PermitDeliveryTime = 500 * time.Millisecond
	// rateWindow, rateFactor and rateExtra are the bound on the requests of a target that
	// the platform promises: in rateWindow at most rateFactor times its rate, and rateExtra.
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateExtra  = 5
)

// Issued returns the rate at which permits are issued. Requests in a window may use
// permits that were issued before it, by up to their life and PermitDeliveryTime.
func (r Rate) Issued() Rate {
	most := rateFactor*float64(r)*rateWindow.Seconds() + rateExtra - permitLifeTokens
	return min(max(r, rateMin), Rate(most/(rateWindow+permitLifeMin+PermitDeliveryTime).Seconds()))
}

// Life returns the lifetime of a permit.
func (r Rate) Life() time.Duration {
	return permitLifeMin + time.Duration(permitLifeTokens/float64(r.Issued())*float64(time.Second))
}

// accruedOver returns the permits that accrue during d, for the whole fleet.
func (r Rate) accruedOver(d time.Duration) Tokens {
	return Tokens(float64(r.Issued()) * d.Seconds() * float64(Token))
}

// IssuePermits returns this host's part of the permits for a target with the given
// rate; hosts is the same as for Issue.
func (i *Issuer) IssuePermits(now time.Time, target string, r Rate, hosts int) Deposit {
	return i.accrue(now, permitKey+target, hosts, r.Life(), r.accruedOver)
}

// permitKey precedes the names of targets among those of services.
const permitKey = "target "
