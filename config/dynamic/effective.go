package dynamic

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/config/internal/schema"
)

// Active reports whether the exception applies at the given time.
func (e Exception) Active(now time.Time) bool {
	return e.Expires.IsZero() || now.Before(e.Expires)
}

// Effective returns the configuration with all exceptions applied that are
// active at the given time. It does not modify the receiver.
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

// clone returns a copy that shares nothing with the receiver that an exception
// can change.
func (c *Config) clone() *Config {
	copied := *c
	copied.Services = slices.Clone(c.Services)
	copied.Routes = slices.Clone(c.Routes)
	copied.Targets = slices.Clone(c.Targets)
	return &copied
}

// NextExpiry returns the earliest time after now at which an exception ends, and
// so Effective returns another result; the zero time means never.
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

// exceptionProblem is the reason why an exception can't be applied, with the key
// of the exception that is wrong.
type exceptionProblem struct {
	key string
	err error
}

// apply changes the setting that the exception names.
func (c *Config) apply(e Exception) *exceptionProblem {
	kind, name, _ := strings.Cut(e.Scope, " ")
	switch kind {
	case sectionService:
		index := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
		return applyAt(serviceFields, c.Services, index, e)
	case sectionRoute:
		index := slices.IndexFunc(c.Routes, func(r Route) bool { return r.Name == name })
		return applyAt(routeFields, c.Routes, index, e)
	case sectionTarget:
		index := slices.IndexFunc(c.Targets, func(t Target) bool { return t.Name == name })
		return applyAt(targetFields, c.Targets, index, e)
	default:
		return &exceptionProblem{key: "scope", err: errors.Newf("%q is not a service, route or target", e.Scope)}
	}
}

// applyAt sets a field of the list's element at the index. A negative index means
// that the exception's scope does not exist.
func applyAt[T any](fields []schema.Field[T], list []T, index int, e Exception) *exceptionProblem {
	if index < 0 {
		return &exceptionProblem{key: "scope", err: errors.Newf("there is no %s", e.Scope)}
	}
	field := schema.Find(fields, e.Key)
	if field == nil || field.Fixed {
		return &exceptionProblem{key: "key", err: errors.Newf("%s has no key %q that an exception may change", e.Scope, e.Key)}
	}
	if err := field.Set(&list[index], e.Value); err != nil {
		return &exceptionProblem{key: "value", err: err}
	}
	return nil
}
