package schema

import (
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxNameBytes bounds the names of nodes, services, routes and targets.
const maxNameBytes = 64

var (
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	hostNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
)

// CheckName returns an error if the text can't name a node, service, route or target.
func CheckName(text string) error {
	if len(text) > maxNameBytes || !namePattern.MatchString(text) {
		return errors.Newf("%q is not a name: letters, digits, dots, underscores and hyphens, at most %d", text, maxNameBytes)
	}
	return nil
}

// Text is a field of any text that is not empty.
func Text[T any](key string, at func(*T) *string) Field[T] {
	return checked(key, "text", at, func(text string) (string, error) { return text, notEmpty(text) })
}

// Name is a field that holds a name.
func Name[T any](key string, at func(*T) *string) Field[T] {
	return checked(key, "name", at, func(text string) (string, error) { return text, CheckName(text) })
}

// HostName is a field that holds a host name, or * for all, in lower case.
func HostName[T any](key string, at func(*T) *string) Field[T] {
	return checked(key, "host name", at, parseHostName)
}

func parseHostName(text string) (string, error) {
	host := strings.ToLower(text)
	if host != "*" && !hostNamePattern.MatchString(host) {
		return "", errors.Newf("%q is not a host name without a port, nor *", text)
	}
	return host, nil
}

// Path is a field that holds an absolute path; a slash at its end is dropped.
func Path[T any](key string, at func(*T) *string) Field[T] {
	return checked(key, "path", at, parsePath)
}

func parsePath(text string) (string, error) {
	if !strings.HasPrefix(text, "/") || strings.ContainsAny(text, "?# \t") {
		return "", errors.Newf("%q is not a path that begins with a slash", text)
	}
	path := strings.TrimRight(text, "/")
	if path == "" {
		path = "/"
	}
	return path, nil
}

// URL is a field that holds an HTTP URL.
func URL[T any](key string, at func(*T) *string) Field[T] {
	return checked(key, "URL", at, func(text string) (string, error) { return text, checkURL(text) })
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.Newf("%q is not an http or https URL with a host", text)
	}
	return nil
}

// ListenAddress is a field that holds an IP address and a port to listen on;
// port 0 takes any free port.
func ListenAddress[T any](key string, at func(*T) *string) Field[T] {
	return checked(key, "IP:port", at, func(text string) (string, error) {
		_, err := ParseAddress(text)
		return text, err
	})
}

// OwnAddress is a ListenAddress that other nodes are told, so that it can't
// stand for all of the host's addresses.
func OwnAddress[T any](key string, at func(*T) *string) Field[T] {
	return checked(key, "IP:port", at, func(text string) (string, error) {
		address, err := ParseAddress(text)
		if err == nil && address.Addr().IsUnspecified() {
			err = errors.Newf("%q must be an address that other nodes can reach", text)
		}
		return text, err
	})
}

// RemoteAddress is a field that holds an IP address and a port to connect to.
func RemoteAddress[T any](key string, at func(*T) *string) Field[T] {
	return checked(key, "IP:port", at, func(text string) (string, error) { return text, CheckRemote(text) })
}

// CheckRemote returns an error unless the text is an address to connect to.
func CheckRemote(text string) error {
	address, err := ParseAddress(text)
	if err != nil {
		return err
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		return errors.Newf("%q is not an address to connect to", text)
	}
	return nil
}

// ParseAddress reads an IP address and a port.
func ParseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, errors.Newf("%q is not an IP address with a port", text)
	}
	return address, nil
}

// OneOf is a field that holds one of the given words.
func OneOf[T any, V ~string](key string, words []V, at func(*T) *V) Field[T] {
	names := make([]string, 0, len(words))
	for _, w := range words {
		names = append(names, string(w))
	}
	unit := strings.Join(names, ", ")
	return checked(key, unit, at, func(text string) (V, error) {
		if !slices.Contains(words, V(text)) {
			return "", errors.Newf("%q is not one of %s", text, unit)
		}
		return V(text), nil
	})
}

// Duration is a field that holds a time from low to high.
func Duration[T any](key string, low, high time.Duration, at func(*T) *time.Duration) Field[T] {
	return Field[T]{
		Key:  key,
		Unit: "duration",
		Set: func(into *T, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return errors.Newf("%q is not a duration such as 250ms or 10s", text)
			}
			if d < low || d > high {
				return errors.Newf("%s is not between %s and %s", text, low, high)
			}
			*at(into) = d
			return nil
		},
		Get: func(from *T) string { return at(from).String() },
	}
}

// Share is a field that holds a number from 0 to 1.
func Share[T any](key string, at func(*T) *float64) Field[T] {
	return Field[T]{
		Key:  key,
		Unit: "share, 0 to 1",
		Set: func(into *T, text string) error {
			share, err := strconv.ParseFloat(text, 64)
			if err != nil || !(share >= 0 && share <= 1) {
				return errors.Newf("%q is not a number from 0 to 1", text)
			}
			*at(into) = share
			return nil
		},
		Get: func(from *T) string { return strconv.FormatFloat(*at(from), 'g', -1, 64) },
	}
}

// Integer is a field that holds a whole number from low to high.
func Integer[T any, V ~int | ~int64](key, unit string, low, high V, at func(*T) *V) Field[T] {
	return Field[T]{
		Key:  key,
		Unit: unit,
		Set: func(into *T, text string) error {
			number, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return errors.Newf("%q is not a whole number", text)
			}
			if number < int64(low) || number > int64(high) {
				return errors.Newf("%d is not between %d and %d", number, low, high)
			}
			*at(into) = V(number)
			return nil
		},
		Get: func(from *T) string { return strconv.FormatInt(int64(*at(from)), 10) },
	}
}

// Moment is a field that holds a point in time by RFC 3339, kept in UTC.
func Moment[T any](key string, at func(*T) *time.Time) Field[T] {
	return Field[T]{
		Key:  key,
		Unit: "RFC 3339 time",
		Set: func(into *T, text string) error {
			moment, err := time.Parse(time.RFC3339, text)
			if err != nil {
				return errors.Newf("%q is not a time such as 2030-01-31T12:00:00Z", text)
			}
			*at(into) = moment.UTC()
			return nil
		},
		Get: func(from *T) string {
			if at(from).IsZero() {
				return ""
			}
			return at(from).Format(time.RFC3339Nano)
		},
	}
}

// checked is a field whose text is read by parse and is its own written form.
func checked[T any, V ~string](key, unit string, at func(*T) *V, parse func(string) (V, error)) Field[T] {
	return Field[T]{
		Key:  key,
		Unit: unit,
		Set: func(into *T, text string) error {
			value, err := parse(text)
			if err != nil {
				return err
			}
			*at(into) = value
			return nil
		},
		Get: func(from *T) string { return string(*at(from)) },
	}
}

func notEmpty(text string) error {
	if text == "" {
		return errors.New("the value is empty")
	}
	return nil
}
