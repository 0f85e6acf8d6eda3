package dynamic

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/config/internal/schema"
)

// Active reports whether the exception holds at the given time.
func (e Exception) Active(now time.Time) bool {
	return e.Expires.IsZero() || now.Before(e.Expires)
}

// Effective returns the configuration with all exceptions applied that hold
// at the given time. The receiver stays as it is.
func (c *Config) Effective(now time.Time) *Config {
	copied := c.clone()
	for _, e := range c.Exceptions {
		if e.Active(now) {
			// Parse has reported the exceptions that can't be applied.
			_ = copied.apply(e)
		}
	}
	return copied
}

// clone copies all that exceptions can change.
func (c *Config) clone() *Config {
	copied := *c
	copied.Services = slices.Clone(c.Services)
	copied.Routes = slices.Clone(c.Routes)
	copied.Targets = slices.Clone(c.Targets)
	return &copied
}

// NextExpiry returns when the next exception ends after the given time, so
// that Effective gives another result; the zero time means never.
func (c *Config) NextExpiry(now time.Time) time.Time {
	var next time.Time
	for _, e := range c.Exceptions {
		if e.Expires.IsZero() || !now.Before(e.Expires) {
			continue
		}
		if next.IsZero() || e.Expires.Before(next) {
			next = e.Expires
		}
	}
	return next
}

// exceptionFault says which key of an exception prevents its application.
type exceptionFault struct {
	key string
	err error
}

// apply changes the setting that the exception names.
func (c *Config) apply(e Exception) *exceptionFault {
	kind, name, _ := strings.Cut(e.Scope, " ")
	switch kind {
	case sectionService:
		at := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
		return applyAt(serviceFields, c.Services, at, e)
	case sectionRoute:
		at := slices.IndexFunc(c.Routes, func(r Route) bool { return r.Name == name })
		return applyAt(routeFields, c.Routes, at, e)
	case sectionTarget:
		at := slices.IndexFunc(c.Targets, func(t Target) bool { return t.Name == name })
		return applyAt(targetFields, c.Targets, at, e)
	default:
		return &exceptionFault{key: "scope", err: errors.Newf("%q is not a service, route or target", e.Scope)}
	}
}

// applyAt sets a field of the element at an index; the index is negative if
// the scope names nothing.
func applyAt[T any](fields []schema.Field[T], list []T, at int, e Exception) *exceptionFault {
	if at < 0 {
		return &exceptionFault{key: "scope", err: errors.Newf("there is no %s", e.Scope)}
	}
	field := schema.Find(fields, e.Key)
	if field == nil || field.Fixed {
		return &exceptionFault{key: "key", err: errors.Newf("%s has no key %q that an exception may change", e.Scope, e.Key)}
	}
	if err := field.Set(&list[at], e.Value); err != nil {
		return &exceptionFault{key: "value", err: err}
	}
	return nil
}
