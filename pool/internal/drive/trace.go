// Package drive runs pool.Schedulers with simulated targets in virtual time.
//
// A Trace holds the requests that arrive and the conditions that targets are in.
// Run runs it with one of the variants, home or direct, and reports the outcomes of
// the requests and the decisions taken. Equal inputs give equal reports.
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
	// KindTruncating truncates the share Value of the answers.
	KindTruncating Kind = "truncating"
	// KindHanging leaves the share Value of the requests without an answer.
	KindHanging Kind = "hanging"
	// KindResetting resets the share Value of the requests as soon as they arrive.
	KindResetting Kind = "resetting"
	// KindRefusing refuses connections for requests and for probes.
	KindRefusing Kind = "refusing"
	// KindShedding runs no more than Value requests concurrently and refuses others.
	KindShedding Kind = "shedding"
	// KindLink lets the home's connections fail; other zones can still connect.
	KindLink Kind = "link"
	// KindLeaving has the target announce with each answer that it is leaving.
	KindLeaving Kind = "leaving"
	// KindListedLeaving has the platform's list name the target as leaving.
	KindListedLeaving Kind = "listed_leaving"
	// KindUnlisted removes the target from the platform's list.
	KindUnlisted Kind = "unlisted"
	// KindCold makes the target Value times slower at first; the factor falls with
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

// Condition is a fault or another state of a target during some time.
type Condition struct {
	// Target is the target's name; "*" means all of them.
	Target string `json:"target"`
	Kind   Kind   `json:"kind"`
	// From and To are the times of the start and the end of the condition. A zero To
	// means the end of the trace.
	From Duration `json:"from"`
	To   Duration `json:"to,omitzero"`
	// Value is a factor, a share or a number, depending on Kind.
	Value float64 `json:"value,omitzero"`
}

// Arrival is one request.
type Arrival struct {
	// At is when the request arrives; Work is the service time of a healthy target.
	At   Duration `json:"at"`
	Work Duration `json:"work"`
	// Timeout is the time from the arrival to the caller's deadline.
	Timeout    Duration `json:"timeout"`
	Route      string   `json:"route"`
	Caller     string   `json:"caller,omitempty"`
	Idempotent bool     `json:"idempotent,omitempty"`
	// Poison is set if the request crashes the target that runs it.
	Poison bool `json:"poison,omitempty"`
}

// Expect states the expected results of a trace with the home variant.
type Expect struct {
	// MustLeave names the targets that must leave normal service, with the maximum
	// time since their first condition, and the rule if it is to be checked.
	MustLeave []Departure `json:"out,omitempty"`
	// NoOtherEjected is set if no target except those in MustLeave may be ejected.
	NoOtherEjected bool `json:"never_out,omitempty"`
	// Quiet names the targets that must get no new requests later than the given
	// time after their first condition.
	Quiet []Departure `json:"quiet,omitempty"`
	// NoneEjected is set if no target may be ejected, regardless of its condition.
	NoneEjected bool `json:"none_out,omitempty"`
	// ServingAtEnd names the targets that must be serving at the end.
	ServingAtEnd []string `json:"back,omitempty"`
	// Kinds names kinds of events that must occur.
	Kinds []string `json:"kinds,omitempty"`
	// InTimeShare is the minimum share of the requests that are answered in time.
	InTimeShare float64 `json:"in_time_share,omitempty"`
	// MaxEjections is the maximum number of ejections; zero means no limit.
	MaxEjections int `json:"max_ejections,omitempty"`
}

// Departure states that a target leaves normal service, or gets no new requests,
// within a time after its first condition.
type Departure struct {
	Target string   `json:"target"`
	Within Duration `json:"within"`
	Rule   string   `json:"rule,omitempty"`
}

// Trace is a recording of requests and conditions, with the expected results.
type Trace struct {
	Name string `json:"name"`
	Note string `json:"note"`
	// Targets is the number of targets, Slots the number of slots of each of them.
	// FloorSlots is the floor: the number of healthy slots below which no target is
	// ejected.
	Targets    int         `json:"targets"`
	Slots      int         `json:"slots"`
	FloorSlots int         `json:"floor_slots"`
	Conditions []Condition `json:"conditions"`
	Expect     Expect      `json:"expect"`
	// Absolve has the targets that poison requests crash absolved.
	Absolve bool `json:"absolve,omitempty"`
	// Arrivals follow the trace in the file, one on each line.
	Arrivals []Arrival `json:"-"`
}

// TargetName returns the name of the target with the given number.
func TargetName(n int) string { return fmt.Sprintf("t%02d", n) }

// Read reads a trace from a file of JSON values: first the trace, then its
// arrivals. Errors name the file and the number of the value.
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

// Write writes a trace to a file in the format of Read.
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
