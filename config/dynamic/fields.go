package dynamic

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/config/internal/schema"
	"filbertmill.example/config/source"
)

// Limits of the settings' values.
const (
	// Slots and connections of one target.
	maxSlots       = 10_000
	maxConnections = 1_000_000
	// maxQueue is in requests.
	maxQueue   = 1_000_000
	maxTimeout = 24 * time.Hour
	// The time over which an objective counts.
	minWindow = time.Hour
	maxWindow = 90 * 24 * time.Hour
	// HTTP statuses of a refusal.
	minStatus = 400
	maxStatus = 599
	// maxBodyBytes is 1 PiB.
	maxBodyBytes = int64(1) << 50
	// maxAttempts is in targets.
	maxAttempts = 16
	maxPriority = 255
)

// unitPositiveShare is the unit of shares that must not be 0, since 0 would
// stop all requests.
const unitPositiveShare = "share, above 0"

// checkPositive rejects a share of 0.
func checkPositive(share float64) error {
	if share == 0 {
		return errors.New("must be above 0")
	}
	return nil
}

// configurationFields are the keys that filbertmill itself writes.
var configurationFields = []schema.Field[Config]{
	schema.Integer("revision", "number", 0, Revision(1<<62), func(c *Config) *Revision { return &c.Revision }),
	schema.Text("change_id", func(c *Config) *string { return &c.ChangeID }),
}

var serviceFields = []schema.Field[Service]{
	schema.OneOf("variant", []Variant{VariantHome, VariantDirect}, func(s *Service) *Variant { return &s.Variant }).
		WithDefault("home"),
	schema.Integer("slots", "requests", 1, maxSlots, func(s *Service) *int { return &s.Slots }).WithDefault("2"),
	schema.Integer("connections", "connections", 1, maxConnections, func(s *Service) *int { return &s.Connections }).
		WithDefault("330"),
	schema.Share("floor_share", func(s *Service) *float64 { return &s.FloorShare }).WithDefault("0.5"),
	schema.Integer("queue_limit", "requests", 1, maxQueue, func(s *Service) *int { return &s.QueueLimit }).WithDefault("256"),
	schema.Share("caller_share", func(s *Service) *float64 { return &s.CallerShare }).
		WithDefault("0.5").WithUnit(unitPositiveShare).Validated(func(s *Service) error { return checkPositive(s.CallerShare) }),
	schema.Share("long_share", func(s *Service) *float64 { return &s.LongShare }).
		WithDefault("0.25").WithUnit(unitPositiveShare).Validated(func(s *Service) error { return checkPositive(s.LongShare) }),
	schema.Share("retry_share", func(s *Service) *float64 { return &s.RetryShare }).WithDefault("0.1"),
	refusalStatusField(),
	schema.Share("objective", func(s *Service) *float64 { return &s.Objective }).
		WithDefault("0.999").WithUnit("share, below 1").Validated(checkObjective),
	schema.Duration("objective_window", minWindow, maxWindow, func(s *Service) *time.Duration { return &s.ObjectiveWindow }).
		WithDefault("720h"),
	schema.Path("probe_path", func(s *Service) *string { return &s.ProbePath }).WithDefault("/health"),
}

var routeFields = []schema.Field[Route]{
	schema.HostName("host", func(r *Route) *string { return &r.Host }).WithDefault("*").AsFixed(),
	schema.Path("prefix", func(r *Route) *string { return &r.PathPrefix }).WithDefault("/").AsFixed(),
	schema.Name("service", func(r *Route) *string { return &r.Service }).AsRequired().AsFixed(),
	schema.Integer("attempts", "targets", 1, maxAttempts, func(r *Route) *int { return &r.Attempts }).WithDefault("3"),
	schema.Integer("priority", "rank, 0 first", 0, maxPriority, func(r *Route) *int { return &r.Priority }).WithDefault("0"),
	schema.OneOf("idempotency", []Idempotency{IdempotentByMethod, IdempotentAlways, IdempotentNever},
		func(r *Route) *Idempotency { return &r.Idempotency }).WithDefault("method"),
	schema.Duration("timeout", time.Millisecond, maxTimeout, func(r *Route) *time.Duration { return &r.Timeout }).
		WithDefault("10s"),
	schema.Integer("max_request_bytes", "bytes", 0, maxBodyBytes, func(r *Route) *int64 { return &r.MaxRequestBytes }).
		WithDefault("268435456"),
	schema.Integer("max_response_bytes", "bytes", 0, maxBodyBytes, func(r *Route) *int64 { return &r.MaxResponseBytes }).
		WithDefault("1073741824"),
}

var targetFields = []schema.Field[Target]{
	schema.Name("service", func(t *Target) *string { return &t.Service }).AsRequired().AsFixed(),
	schema.RemoteAddress("address", func(t *Target) *string { return &t.Address }).AsRequired().AsFixed(),
	schema.Name("availability_zone", func(t *Target) *string { return &t.AvailabilityZone }).AsRequired().AsFixed(),
	schema.Integer("slots", "requests", 0, maxSlots, func(t *Target) *int { return &t.Slots }).WithDefault("0"),
	schema.Integer("connections", "connections", 0, maxConnections, func(t *Target) *int { return &t.Connections }).
		WithDefault("0"),
}

var exceptionFields = []schema.Field[Exception]{
	schema.Text("scope", func(e *Exception) *string { return &e.Scope }).
		WithUnit("kind and name of a section").AsRequired(),
	schema.Text("key", func(e *Exception) *string { return &e.Key }).AsRequired(),
	schema.Text("value", func(e *Exception) *string { return &e.Value }).AsRequired(),
	schema.Text("reason", func(e *Exception) *string { return &e.Reason }).AsRequired(),
	schema.Text("author", func(e *Exception) *string { return &e.Author }).AsRequired(),
	schema.Timestamp("expires", func(e *Exception) *time.Time { return &e.Expires }),
}

func checkObjective(s *Service) error {
	if s.Objective >= 1 {
		return errors.New("an objective of 1 leaves no error budget")
	}
	return nil
}

// refusalStatusField returns a field that holds a comma-separated list of
// statuses; "none" stands for an empty list.
func refusalStatusField() schema.Field[Service] {
	return schema.Field[Service]{
		Key:     "refusal_status",
		Unit:    "comma list of statuses, or none",
		Default: noStatus,
		Set: func(into *Service, text string) error {
			statuses, err := parseStatuses(text)
			if err != nil {
				return err
			}
			into.RefusalStatus = statuses
			return nil
		},
		Get: func(from *Service) string { return formatStatuses(from.RefusalStatus) },
	}
}

// noStatus is the file's form of an empty list of statuses.
const noStatus = "none"

func parseStatuses(text string) ([]int, error) {
	if text == noStatus {
		return nil, nil
	}
	var statuses []int
	for part := range strings.SplitSeq(text, ",") {
		status, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || status < minStatus || status > maxStatus {
			return nil, errors.Newf("%q is not a status from %d to %d", part, minStatus, maxStatus)
		}
		statuses = append(statuses, status)
	}
	slices.Sort(statuses)
	return slices.Compact(statuses), nil
}

func formatStatuses(statuses []int) string {
	if len(statuses) == 0 {
		return noStatus
	}
	parts := make([]string, 0, len(statuses))
	for _, status := range statuses {
		parts = append(parts, strconv.Itoa(status))
	}
	return strings.Join(parts, ",")
}

// Reference lists all settings of a fleet configuration in the order of the documentation.
func Reference() []source.Setting {
	return slices.Concat(
		schema.Reference("configuration", configurationFields),
		schema.Reference("service NAME", serviceFields),
		schema.Reference("route NAME", routeFields),
		schema.Reference("target NAME", targetFields),
		schema.Reference("exception NAME", exceptionFields),
	)
}
