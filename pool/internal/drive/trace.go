// Package drive runs pool.Schedulers before scripted targets in virtual time.
//
// A Trace holds the requests that arrive and the conditions that targets are
// in. Run plays it against one of the variants and reports what became of the
// requests and which decisions were taken. Equal inputs give equal reports.
package drive

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind names a condition of a target.
type Kind string

// The conditions that a target can be in.
const (
	// KindSlow multiplies the service time by Value.
	KindSlow Kind = "slow"
	// KindFailing answers the share Value of the requests with a server error.
	KindFailing Kind = "failing"
	// KindTruncating cuts the share Value of the answers short.
	KindTruncating Kind = "truncating"
	// KindHanging never answers the share Value of the requests.
	KindHanging Kind = "hanging"
	// KindRefusing refuses connections, of work and of probes.
	KindRefusing Kind = "refusing"
	// KindShedding runs no more than Value requests at once and refuses others.
	KindShedding Kind = "shedding"
	// KindLink lets the home's connections fail; other zones still get through.
	KindLink Kind = "link"
	// KindLeaving has the target announce its leaving with each answer.
	KindLeaving Kind = "leaving"
	// KindListedLeaving has the platform's list name the target as leaving.
	KindListedLeaving Kind = "listed_leaving"
	// KindUnlisted takes the target off the platform's list.
	KindUnlisted Kind = "unlisted"
	// KindCold makes the target Value times slower at first, and less so with
	// each answer.
	KindCold Kind = "cold"
	// KindDeadProbe has probes fail although the target works.
	KindDeadProbe Kind = "dead_probe"
)

// Duration is a time.Duration that is written as text, for example "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Condition says what a target is like for some time.
type Condition struct {
	// Target is the target's name; "*" means all of them.
	Target string `json:"target"`
	Kind   Kind   `json:"kind"`
	// From and To bound the condition; a zero To means the end of the trace.
	From Duration `json:"from"`
	To   Duration `json:"to,omitzero"`
	// Value is a factor, a share or a number, as the Kind says.
	Value float64 `json:"value,omitzero"`
}

// Arrival is one request.
type Arrival struct {
	// At is when the request arrives, Work how long a healthy target takes.
	At   Duration `json:"at"`
	Work Duration `json:"work"`
	// Timeout is the time until the caller's deadline.
	Timeout    Duration `json:"timeout"`
	Route      string   `json:"route"`
	Caller     string   `json:"caller,omitempty"`
	Idempotent bool     `json:"idempotent,omitempty"`
	// Poison has the request crash the target that runs it.
	Poison bool `json:"poison,omitempty"`
}

// Expect states the outcome of a trace for the home variant.
type Expect struct {
	// MustLeave names the targets that must leave normal service, with the bound on
	// the time from their first condition, and the rule if it is stated.
	MustLeave []Departure `json:"out,omitempty"`
	// NoOtherEjected says that no target but those in Out may be ejected.
	NoOtherEjected bool `json:"never_out,omitempty"`
	// Quiet names the targets that must get no new work later than the given
	// time after their first condition.
	Quiet []Departure `json:"quiet,omitempty"`
	// NoneEjected says that no target may be ejected, whatever its condition.
	NoneEjected bool `json:"none_out,omitempty"`
	// ServingAtEnd names the targets that must be serving at the end.
	ServingAtEnd []string `json:"back,omitempty"`
	// Kinds names kinds of events that must occur.
	Kinds []string `json:"kinds,omitempty"`
	// InTimeShare is the least share of the requests answered in time.
	InTimeShare float64 `json:"in_time_share,omitempty"`
	// MaxEjections bounds the number of ejections, if not zero.
	MaxEjections int `json:"max_ejections,omitempty"`
}

// Departure states that a target leaves normal service in time.
type Departure struct {
	Target string   `json:"target"`
	Within Duration `json:"within"`
	Rule   string   `json:"rule,omitempty"`
}

// Trace is a recording of requests and conditions, with the stated outcome.
type Trace struct {
	Name string `json:"name"`
	Note string `json:"note"`
	// Targets and Slots size the service; FloorSlots is its floor.
	Targets    int         `json:"targets"`
	Slots      int         `json:"slots"`
	FloorSlots int         `json:"floor_slots"`
	Conditions []Condition `json:"conditions"`
	Expect     Expect      `json:"expect"`
	// Absolve has poison requests found out and the targets absolved.
	Absolve bool `json:"absolve,omitempty"`
	// Arrivals follow in the file, one a line.
	Arrivals []Arrival `json:"-"`
}

// TargetName returns the name of the target with the given number.
func TargetName(n int) string { return fmt.Sprintf("t%02d", n) }

// Read reads a trace: JSON values, first the trace and then its arrivals.
// Errors name the file and the number of the value.
func Read(path string) (Trace, error) {
	var tr Trace
	file, err := os.Open(path)
	if err != nil {
		return tr, err
	}
	defer file.Close()
	dec := json.NewDecoder(file)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&tr); err != nil {
		return tr, errors.Wrapf(err, "%s: value 1", filepath.Base(path))
	}
	for dec.More() {
		var a Arrival
		if err := dec.Decode(&a); err != nil {
			return tr, errors.Wrapf(err, "%s: value %d", filepath.Base(path), len(tr.Arrivals)+2)
		}
		tr.Arrivals = append(tr.Arrivals, a)
	}
	return tr, nil
}

// Write writes a trace in the form that Read reads.
func Write(path string, tr Trace) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(file)
	err = enc.Encode(tr)
	for _, a := range tr.Arrivals {
		err = errors.CombineErrors(err, enc.Encode(a))
	}
	return errors.CombineErrors(err, file.Close())
}
