// Package dynamic holds the fleet configuration: the settings that operators
// make for the whole fleet and keep in the platform's store.
//
// A Config is immutable once built. Each change makes a complete new Config with
// a higher revision.
package dynamic

import "time"

// Revision orders configurations; a higher one replaces a lower one.
type Revision int64

// Config is one complete fleet configuration.
type Config struct {
	// Revision is the configuration's position in the order of changes.
	Revision Revision
	// ChangeID identifies the change that made this revision, so that a write
	// whose reply was lost can be recognised.
	ChangeID string
	// Services, Routes and Targets are sorted by name.
	Services []Service
	Routes   []Route
	Targets  []Target
	// Exceptions lists the departures from the defaults.
	Exceptions []Exception
	// Limits are the limits on what callers may send; a zero field sets no limit.
	Limits Limits
	// Workspaces lists the workspaces whose callers are admitted. If there are none,
	// callers need no key. The INI form does not set them.
	Workspaces []Workspace
}

// Workspace is a customer whose callers authenticate with the workspace's keys.
type Workspace struct {
	// Name identifies the workspace; targets are told it with each request.
	Name string
	// Keys admit a caller to the workspace. No two workspaces have a key in common.
	Keys []string
	// Priority is the rank in which its requests are served, 0 first. If Ranked is
	// set, it goes before the priority of the route.
	Priority int
	Ranked   bool
	// Rate is the number of requests a second that the whole fleet serves it, and Burst
	// the number beyond that at once. A Rate of 0 sets no limit.
	Rate  float64
	Burst float64
}

// Limits are the limits on what a caller may send and how long it may take.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's header and
	// of its body, in bytes.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the maximum time for a request's header to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
}

// Variant names the way in which a service's requests are balanced.
type Variant string

// The ways of balancing.
const (
	// VariantHome sends all requests of a service through its home, the one node
	// of the fleet that assigns them to targets.
	VariantHome Variant = "home"
	// VariantDirect has each node balance over all targets by itself.
	VariantDirect Variant = "direct"
)

// Service is a group of interchangeable targets.
type Service struct {
	// Name identifies the service.
	Name string
	// Variant is the way of balancing. Default: home.
	Variant Variant
	// Slots is the number of requests that each target runs concurrently. Default: 2.
	Slots int
	// Connections is the number of connections that each target accepts. Default: 330.
	Connections int
	// FloorShare sets the service's floor, the healthy capacity below which no
	// ejection may take it, as a share of the listed slots from 0 to 1.
	// Default: 0.5.
	FloorShare float64
	// QueueLimit is the maximum number of waiting requests. Default: 256.
	QueueLimit int
	// CallerShare is the largest share of slots and queue that one caller may
	// hold while others wait. Default: 0.5.
	CallerShare float64
	// LongShare is the share of slots that long-running requests may hold.
	// Default: 0.25.
	LongShare float64
	// RetryShare is the number of retries allowed per request, as a moving
	// ratio. Default: 0.1.
	RetryShare float64
	// RefusalStatus lists the response statuses by which a target states that
	// it did not run a request. Default: none.
	RefusalStatus []int
	// Objective is the share of requests to be answered completely and in time.
	// Default: 0.999.
	Objective float64
	// ObjectiveWindow is the time over which Objective counts. Default: 720h.
	ObjectiveWindow time.Duration
	// ProbePath is the path of the targets' health endpoint. Default: /health.
	ProbePath string
}

// Idempotency determines which requests of a route are idempotent, that is, may
// be sent again although a target may have run them.
type Idempotency string

// The kinds of idempotency.
const (
	// IdempotentByMethod treats GET, HEAD, OPTIONS, PUT, DELETE and TRACE as idempotent.
	IdempotentByMethod Idempotency = "method"
	// IdempotentAlways treats every request of the route as idempotent.
	IdempotentAlways Idempotency = "always"
	// IdempotentNever treats no request of the route as idempotent.
	IdempotentNever Idempotency = "never"
)

// Route sends the requests that match it to a service.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the host name to match; "*" matches all. Default: *.
	Host string
	// PathPrefix is the start of the path to match, in whole segments. Default: /.
	PathPrefix string
	// RequireSlash is set if the path must include the prefix's final slash: /a/
	// then matches /a/ and /a/b, but not /a.
	RequireSlash bool
	// Service is the name of the service.
	Service string
	// Split, if not empty, divides the requests among several services, by
	// weight, instead of sending all to Service.
	Split []Share
	// Attempts is the maximum number of targets that one request is offered to.
	// Default: 3.
	Attempts int
	// Priority is the rank in which requests are served, 0 first. Default: 0.
	Priority int
	// LatencyObjective is the time within which an answer is worth most to the
	// caller; 0 means the timeout. The INI form does not set it.
	LatencyObjective time.Duration
	// Idempotency determines which requests are idempotent. Default: method.
	Idempotency Idempotency
	// Timeout is the maximum time that a request may take. Default: 10s.
	Timeout time.Duration
	// MaxRequestBytes is the maximum size of the request body. Default: 256 MiB.
	MaxRequestBytes int64
	// MaxResponseBytes is the maximum size of the response body. Default: 1 GiB.
	MaxResponseBytes int64
	// Public is set if callers need no key although there are workspaces.
	Public bool
}

// Share is a service's part of a route's requests.
type Share struct {
	// Service is the name of the service.
	Service string
	// Weight is the service's part, relative to the weights of the others.
	Weight int
}

// Target is one licensed instance of a back end.
type Target struct {
	// Name identifies the target.
	Name string
	// Service is the service it belongs to.
	Service string
	// Address is its IP address and port.
	Address string
	// AvailabilityZone is where it runs.
	AvailabilityZone string
	// Slots and Connections override the service's values if they are not zero.
	Slots       int
	Connections int
}

// Exception is a departure from the defaults for one service, route or target.
type Exception struct {
	// Name identifies the exception.
	Name string
	// Scope is the section that the exception changes, for example
	// "service bookings".
	Scope string
	// Key and Value are the setting and its new value.
	Key   string
	Value string
	// Reason and Author state why the exception is made and by whom; both are
	// required.
	Reason string
	Author string
	// Expires is when the exception ends; the zero time means never.
	Expires time.Time
}
