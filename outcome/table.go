package outcome

import "net/http"

// Row is what the outcome contract defines for one Reason.
type Row struct {
	// Kind states whether the request was run.
	Kind Kind
	// Status is the HTTP status; 0 means that the target's own status is passed on.
	Status int
	// ProxyError is the error type of RFC 9209; empty if there is no error.
	ProxyError string
	// Title is a short human-readable sentence, the same for each occurrence.
	Title string
	// RetryAfter is set if a later retry is advised.
	RetryAfter bool
}

// The error types of RFC 9209, section 2.3, that filbertmill uses.
const (
	errorNotFound     = "destination_not_found"
	errorUnavailable  = "destination_unavailable"
	errorTerminated   = "connection_terminated"
	errorLimit        = "connection_limit_reached"
	errorRequest      = "http_request_error"
	errorDenied       = "http_request_denied"
	errorIncomplete   = "http_response_incomplete"
	errorReadTimeout  = "http_response_timeout"
	errorInternal     = "proxy_internal_error"
	statusCallerGone  = http.StatusBadRequest
	statusUnavailable = http.StatusServiceUnavailable
)

// table is the complete outcome contract. A reason is NotRun only if the node
// that gives it has proof that no target ran the request.
var table = map[Reason]Row{
	ReasonAnswered: {Kind: Run, Title: "The target answered."},

	ReasonNoRoute:          {NotRun, http.StatusNotFound, errorNotFound, "No route matches the request.", false},
	ReasonNoConfiguration:  {NotRun, statusUnavailable, errorUnavailable, "The node has no configuration yet.", true},
	ReasonBadRequest:       {NotRun, http.StatusBadRequest, errorRequest, "The request is malformed.", false},
	ReasonUnknownKey:       {NotRun, http.StatusUnauthorized, errorDenied, "The request carries no key of a workspace.", false},
	ReasonOutdated:         {NotRun, statusUnavailable, errorUnavailable, "The node's configuration may be too old to know the key.", true},
	ReasonQuota:            {NotRun, http.StatusTooManyRequests, errorDenied, "The workspace has used up its quota.", true},
	ReasonTooLarge:         {NotRun, http.StatusRequestEntityTooLarge, errorRequest, "The request body exceeds the route's limit.", false},
	ReasonQueueFull:        {NotRun, statusUnavailable, errorLimit, "The service's queue is full.", true},
	ReasonTooLate:          {NotRun, statusUnavailable, errorLimit, "The request cannot start before its deadline.", true},
	ReasonCallerShare:      {NotRun, http.StatusTooManyRequests, errorDenied, "The caller holds its whole share of the service.", true},
	ReasonRateLimited:      {NotRun, statusUnavailable, errorLimit, "The targets accept fewer requests than arrive.", true},
	ReasonNoTarget:         {NotRun, statusUnavailable, errorUnavailable, "No target of the service may take work.", true},
	ReasonTargetRefused:    {NotRun, statusUnavailable, errorUnavailable, "The target stated that it did not run the request.", true},
	ReasonUnreachable:      {NotRun, statusUnavailable, errorUnavailable, "No connection to a target could be opened.", true},
	ReasonNoHome:           {NotRun, statusUnavailable, errorUnavailable, "No node that serves the service could be reached.", true},
	ReasonPoison:           {NotRun, http.StatusUnprocessableEntity, errorDenied, "Requests like this one crash targets and are refused for a time.", false},
	ReasonKeyReused:        {NotRun, http.StatusUnprocessableEntity, errorDenied, "The idempotency key was used with another request.", false},
	ReasonNoClaim:          {NotRun, statusUnavailable, errorUnavailable, "The idempotency key cannot be claimed at present.", true},
	ReasonShutdown:         {NotRun, statusUnavailable, errorUnavailable, "The node is shutting down.", true},
	ReasonNotAuthenticated: {NotRun, http.StatusForbidden, errorDenied, "The forwarded request carries no valid signature.", false},

	ReasonConnectionLost:   {Unknown, http.StatusBadGateway, errorTerminated, "The connection to the target ended before its whole answer.", false},
	ReasonTimeout:          {Unknown, http.StatusGatewayTimeout, errorReadTimeout, "The deadline passed while a target had the request.", false},
	ReasonIncompleteAnswer: {Unknown, http.StatusBadGateway, errorIncomplete, "The target's answer was cut short or malformed.", false},
	ReasonCallerLeft:       {Unknown, statusCallerGone, errorRequest, "The caller closed its connection.", false},
	ReasonHomeLost:         {Unknown, http.StatusBadGateway, errorTerminated, "The node that had the request went away.", false},
	ReasonInterrupted:      {Unknown, http.StatusGatewayTimeout, errorTerminated, "The node went down while a target had the request.", false},
	ReasonEarlierUnknown:   {Unknown, http.StatusConflict, errorDenied, "An earlier request with the same idempotency key may have run.", false},
}

// undefined is the row for a reason that is not in the table, for example one
// from a newer node. Such a reason proves nothing.
var undefined = Row{Unknown, http.StatusBadGateway, errorInternal, "The request ended for a reason that this node does not know.", false}

// Lookup returns the contract's row for a reason. A reason that is not defined is
// Unknown, with ok false.
func Lookup(r Reason) (row Row, ok bool) {
	row, ok = table[r]
	if !ok {
		return undefined, false
	}
	return row, true
}

// Reasons returns all reasons that are defined, in no fixed order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(table))
	for r := range table {
		all = append(all, r)
	}
	return all
}
