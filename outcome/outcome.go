// Package outcome describes how a request ended.
//
// An Outcome is a value, never an error. Its Kind is one of three: the request was
// run and has a complete answer, it was not run, or this cannot be known. NotRun is
// used only with proof that no target ran the request.
package outcome

import "time"

// Header is the response header that carries the outcome's Kind to the caller.
const Header = "Filbertmill-Outcome"

// Kind states whether the request was run by a target.
type Kind string

// The three kinds of outcome.
const (
	// Run means that a target ran the request and its complete answer is given.
	Run Kind = "run"
	// NotRun means that it is proved that no target ran the request.
	NotRun Kind = "not-run"
	// Unknown means that a target may have run the request.
	Unknown Kind = "unknown"
)

// Reason states why a request ended as it did. It is sent as the details
// parameter of Proxy-Status; Row.ProxyError is the error type of RFC 9209.
type Reason string

// The reasons for which filbertmill itself ends a request.
const (
	// ReasonAnswered is the reason of an outcome that carries a target's answer.
	ReasonAnswered Reason = "answered"
	// ReasonNoRoute means that no route matches the request.
	ReasonNoRoute Reason = "no_route"
	// ReasonNoConfiguration means that the node does not know the routes yet.
	ReasonNoConfiguration Reason = "no_configuration"
	// ReasonBadRequest means that the request is malformed.
	ReasonBadRequest Reason = "bad_request"
	// ReasonUnknownKey means that the request carries no key of a workspace.
	ReasonUnknownKey Reason = "unknown_key"
	// ReasonOutdated means that the node does not know the key of the request, but has a
	// configuration that may be outdated.
	ReasonOutdated Reason = "outdated_configuration"
	// ReasonQuota means that the workspace has used up its quota.
	ReasonQuota Reason = "quota"
	// ReasonTooLarge means that the request body exceeds the route's limit.
	ReasonTooLarge Reason = "too_large"
	// ReasonQueueFull means that the service's queue is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonTooLate means that the request cannot start before its deadline.
	ReasonTooLate Reason = "too_late"
	// ReasonCallerShare means that the caller already uses its full share of the service.
	ReasonCallerShare Reason = "caller_share"
	// ReasonRateLimited means that all targets that may run the request limit the rate of
	// requests that they accept, and that it would be late behind those that they do.
	ReasonRateLimited Reason = "rate_limited"
	// ReasonNoTarget means that no target of the service may take work.
	ReasonNoTarget Reason = "no_target"
	// ReasonTargetRefused means that the target stated that it did not run the request.
	ReasonTargetRefused Reason = "target_refused"
	// ReasonUnreachable means that no connection to a target could be opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonConnectionLost means that the connection ended before the answer was complete.
	ReasonConnectionLost Reason = "connection_lost"
	// ReasonTimeout means that the deadline passed while a target had the request.
	ReasonTimeout Reason = "timeout"
	// ReasonIncompleteAnswer means that the answer was truncated or malformed.
	ReasonIncompleteAnswer Reason = "incomplete_answer"
	// ReasonCallerLeft means that the caller closed its connection.
	ReasonCallerLeft Reason = "caller_left"
	// ReasonNoHome means that no node could be reached that serves the service.
	ReasonNoHome Reason = "no_home"
	// ReasonHomeLost means that the node that handled the request became unavailable.
	ReasonHomeLost Reason = "home_lost"
	// ReasonPoison means that requests with this fingerprint crash targets.
	ReasonPoison Reason = "poison"
	// ReasonKeyReused means that the idempotency key was used before with a
	// different method, path or body.
	ReasonKeyReused Reason = "key_reused"
	// ReasonNoClaim means that the idempotency key could not be claimed in time.
	ReasonNoClaim Reason = "no_claim"
	// ReasonEarlierUnknown means that an earlier request with the same key may have run.
	ReasonEarlierUnknown Reason = "earlier_unknown"
	// ReasonShutdown means that the node is shutting down and accepts no new requests.
	ReasonShutdown Reason = "shutdown"
	// ReasonInterrupted means that the node shut down while a target had the request.
	ReasonInterrupted Reason = "interrupted"
	// ReasonNotAuthenticated means that a forwarded request carries no valid signature.
	ReasonNotAuthenticated Reason = "not_authenticated"
)

// Outcome describes the end of one request.
type Outcome struct {
	// Kind states whether the request was run.
	Kind Kind
	// Reason states why the request ended with this outcome.
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries; zero gives
	// no advice.
	RetryAfter time.Duration
	// Detail is a human-readable sentence about this occurrence.
	Detail string
}
