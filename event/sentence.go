package event

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// timeFormat is the format of times in sentences, in UTC.
const timeFormat = "2006-01-02T15:04:05.000Z"

// FormatTime returns the time as sentences write it.
func FormatTime(t time.Time) string { return t.UTC().Format(timeFormat) }

// Sentence renders the event for people: the time, the node, the decision, the
// reason and the evidence.
func (e Event) Sentence() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s, because %s.", FormatTime(e.Time), e.Node, e.decision(), Reason(e.Rule))
	if evidence := e.Evidence.String(); evidence != "" {
		fmt.Fprintf(&b, " Evidence: %s.", evidence)
	}
	if detail := strings.TrimSpace(e.Evidence.Detail); detail != "" {
		fmt.Fprintf(&b, " %s", asSentence(detail))
	}
	return b.String()
}

// decision returns a clause that states what was decided.
func (e Event) decision() string {
	switch e.Kind {
	case KindEjection:
		return e.target() + " was taken out of service" + e.change()
	case KindReturn:
		return e.target() + " came back into service" + e.change()
	case KindTargetState:
		return e.target() + " changed its state" + e.change()
	case KindFloorHeld:
		return e.target() + " was kept in service at the floor" + e.change()
	case KindCommonCause:
		return e.target() + " was kept in service" + e.change()
	case KindRefusal:
		return e.request() + " was refused before it ran"
	case KindShed:
		return "target " + e.Target + " declined " + e.request()
	case KindRetry:
		return e.request() + " was tried again" + prefixed(" after target ", e.Target)
	case KindFailover:
		return e.request() + " went past a node that did not serve it" + e.change()
	case KindHomeMove:
		return e.movedHome() + " moved" + e.change()
	case KindConfiguration:
		return "a decision on " + e.configuration() + " was taken" + e.change()
	case KindPoison:
		return e.request() + " was judged by its fingerprint" + e.change()
	default:
		return fmt.Sprintf("a decision of the kind %q was taken on %s", e.Kind, e.subject()) + e.change()
	}
}

// subject names the most specific thing that the event concerns: the request,
// else the target, else the service.
func (e Event) subject() string {
	switch {
	case e.Request != "":
		return e.request()
	case e.Target != "":
		return e.target()
	default:
		return e.service()
	}
}

func (e Event) target() string {
	if e.Target == "" {
		return ""
	}
	return "target " + e.Target + prefixed(" of service ", e.Service)
}

func (e Event) request() string {
	if e.Request == "" {
		return "a request" + prefixed(" for service ", e.Service)
	}
	return "request " + e.Request + prefixed(" for service ", e.Service)
}

// movedHome names the home that moved; without a service, several may have moved.
func (e Event) movedHome() string {
	if e.Service == "" {
		return "homes"
	}
	return "the home of service " + e.Service
}

// configuration names the configuration, with its revision if that is known.
func (e Event) configuration() string {
	if e.Evidence.Revision == 0 {
		return "the configuration"
	}
	return fmt.Sprintf("configuration revision %d", e.Evidence.Revision)
}

func (e Event) service() string {
	if e.Service == "" {
		return "the node"
	}
	return "service " + e.Service
}

// change names the states before and after in parentheses, where they are known.
func (e Event) change() string {
	switch {
	case e.From != "" && e.To != "":
		return fmt.Sprintf(" (from %s to %s)", e.From, e.To)
	case e.From != "":
		return fmt.Sprintf(" (from %s)", e.From)
	case e.To != "":
		return fmt.Sprintf(" (to %s)", e.To)
	default:
		return ""
	}
}

// prefixed returns prefix followed by text, or "" if text is empty.
func prefixed(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}

// asSentence returns the text with a capital letter first and a full stop last.
func asSentence(text string) string {
	first, size := utf8.DecodeRuneInString(text)
	text = string(unicode.ToUpper(first)) + text[size:]
	if strings.HasSuffix(text, ".") {
		return text
	}
	return text + "."
}

// round rounds a duration for people: to two decimals of its unit, seconds or
// milliseconds.
func round(d time.Duration) time.Duration {
	switch {
	case d >= time.Second:
		return d.Round(10 * time.Millisecond)
	case d >= time.Millisecond:
		return d.Round(10 * time.Microsecond)
	default:
		return d
	}
}
