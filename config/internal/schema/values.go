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

// maxNameBytes is the maximum length of the names of nodes, services, routes and targets.
const maxNameBytes = 64

var (
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	hostNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
)

// CheckName returns an error unless the text is a valid name of a node, service,
// route or target.
func CheckName(text string) error {
	if len(text) > maxNameBytes || !namePattern.MatchString(text) {
		return errors.Newf("%q is not a name: letters, digits, dots, underscores and hyphens, at most %d", text, maxNameBytes)
	}
	return nil
}

// Text returns a field that holds any text that is not empty. As in the other
// functions of this file, fieldOf returns the address of the part of a T that the
// key sets.
func Text[T any](key string, fieldOf func(*T) *string) Field[T] {
	return parsedText(key, "text", fieldOf, func(text string) (string, error) { return text, checkNotEmpty(text) })
}

// Name returns a field that holds a name.
func Name[T any](key string, fieldOf func(*T) *string) Field[T] {
	return parsedText(key, "name", fieldOf, func(text string) (string, error) { return text, CheckName(text) })
}

// HostName returns a field that holds a host name, in lower case, or * for all.
func HostName[T any](key string, fieldOf func(*T) *string) Field[T] {
	return parsedText(key, "host name", fieldOf, parseHostName)
}

func parseHostName(text string) (string, error) {
	host := strings.ToLower(text)
	if host != "*" && !hostNamePattern.MatchString(host) {
		return "", errors.Newf("%q is not a host name without a port, nor *", text)
	}
	return host, nil
}

// Path returns a field that holds an absolute path; trailing slashes are dropped.
func Path[T any](key string, fieldOf func(*T) *string) Field[T] {
	return parsedText(key, "path", fieldOf, parsePath)
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

// URL returns a field that holds an HTTP or HTTPS URL.
func URL[T any](key string, fieldOf func(*T) *string) Field[T] {
	return parsedText(key, "URL", fieldOf, func(text string) (string, error) { return text, checkURL(text) })
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.Newf("%q is not an http or https URL with a host", text)
	}
	return nil
}

// ListenAddress returns a field that holds an IP address and a port to listen
// on; port 0 stands for any free port.
func ListenAddress[T any](key string, fieldOf func(*T) *string) Field[T] {
	return parsedText(key, "IP:port", fieldOf, func(text string) (string, error) {
		_, err := parseAddress(text)
		return text, err
	})
}

// NodeAddress returns a ListenAddress field whose address is also advertised to
// other nodes, so that the unspecified address (0.0.0.0 or ::) is invalid.
func NodeAddress[T any](key string, fieldOf func(*T) *string) Field[T] {
	return parsedText(key, "IP:port", fieldOf, func(text string) (string, error) {
		address, err := parseAddress(text)
		if err == nil && address.Addr().IsUnspecified() {
			err = errors.Newf("%q must be an address that other nodes can reach", text)
		}
		return text, err
	})
}

// RemoteAddress returns a field that holds an IP address and a port to connect to.
func RemoteAddress[T any](key string, fieldOf func(*T) *string) Field[T] {
	return parsedText(key, "IP:port", fieldOf, func(text string) (string, error) { return text, CheckRemoteAddress(text) })
}

// CheckRemoteAddress returns an error unless the text is an IP address and a port to
// connect to.
func CheckRemoteAddress(text string) error {
	address, err := parseAddress(text)
	if err != nil {
		return err
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		return errors.Newf("%q is not an address to connect to", text)
	}
	return nil
}

// parseAddress parses an IP address and a port.
func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, errors.Newf("%q is not an IP address with a port", text)
	}
	return address, nil
}

// OneOf returns a field that holds one of the given words.
func OneOf[T any, V ~string](key string, words []V, fieldOf func(*T) *V) Field[T] {
	names := make([]string, 0, len(words))
	for _, w := range words {
		names = append(names, string(w))
	}
	unit := strings.Join(names, ", ")
	return parsedText(key, unit, fieldOf, func(text string) (V, error) {
		if !slices.Contains(words, V(text)) {
			return "", errors.Newf("%q is not one of %s", text, unit)
		}
		return V(text), nil
	})
}

// Duration returns a field that holds a duration from low to high.
func Duration[T any](key string, low, high time.Duration, fieldOf func(*T) *time.Duration) Field[T] {
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
			*fieldOf(into) = d
			return nil
		},
		Get: func(from *T) string { return fieldOf(from).String() },
	}
}

// Share returns a field that holds a number from 0 to 1.
func Share[T any](key string, fieldOf func(*T) *float64) Field[T] {
	return Field[T]{
		Key:  key,
		Unit: "share, 0 to 1",
		Set: func(into *T, text string) error {
			share, err := strconv.ParseFloat(text, 64)
			if err != nil || !(share >= 0 && share <= 1) {
				return errors.Newf("%q is not a number from 0 to 1", text)
			}
			*fieldOf(into) = share
			return nil
		},
		Get: func(from *T) string { return strconv.FormatFloat(*fieldOf(from), 'g', -1, 64) },
	}
}

// Integer returns a field that holds a whole number from low to high.
func Integer[T any, V ~int | ~int64](key, unit string, low, high V, fieldOf func(*T) *V) Field[T] {
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
			*fieldOf(into) = V(number)
			return nil
		},
		Get: func(from *T) string { return strconv.FormatInt(int64(*fieldOf(from)), 10) },
	}
}

// Timestamp returns a field that holds a point in time, written as in RFC 3339 and
// kept in UTC.
func Timestamp[T any](key string, fieldOf func(*T) *time.Time) Field[T] {
	return Field[T]{
		Key:  key,
		Unit: "RFC 3339 time",
		Set: func(into *T, text string) error {
			parsed, err := time.Parse(time.RFC3339, text)
			if err != nil {
				return errors.Newf("%q is not a time such as 2030-01-31T12:00:00Z", text)
			}
			*fieldOf(into) = parsed.UTC()
			return nil
		},
		Get: func(from *T) string {
			if fieldOf(from).IsZero() {
				return ""
			}
			return fieldOf(from).Format(time.RFC3339Nano)
		},
	}
}

// parsedText returns a field that holds a string: parse checks and normalizes
// the text of the file, and the file's form of the value is the value itself.
func parsedText[T any, V ~string](key, unit string, fieldOf func(*T) *V, parse func(string) (V, error)) Field[T] {
	return Field[T]{
		Key:  key,
		Unit: unit,
		Set: func(into *T, text string) error {
			value, err := parse(text)
			if err != nil {
				return err
			}
			*fieldOf(into) = value
			return nil
		},
		Get: func(from *T) string { return string(*fieldOf(from)) },
	}
}

func checkNotEmpty(text string) error {
	if text == "" {
		return errors.New("the value is empty")
	}
	return nil
}
