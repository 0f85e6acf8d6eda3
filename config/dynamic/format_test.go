package dynamic

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	qt "github.com/frankban/quicktest"
)

// drawConfig returns a random valid configuration.
func drawConfig(t *rapid.T) *Config {
	c := &Config{Revision: Revision(rapid.Int64Range(0, 1<<62).Draw(t, "revision"))}
	c.ChangeID = rapid.StringMatching(`[a-z0-9]{0,8}`).Draw(t, "change")
	share := rapid.Float64Range(0, 1)
	positive := share.Filter(func(s float64) bool { return s > 0 })
	for i := range rapid.IntRange(0, 4).Draw(t, "services") {
		c.Services = append(c.Services, Service{
			Name:            fmt.Sprintf("s%d", i),
			Variant:         rapid.SampledFrom([]Variant{VariantHome, VariantDirect}).Draw(t, "variant"),
			Slots:           rapid.IntRange(1, maxSlots).Draw(t, "slots"),
			Connections:     rapid.IntRange(1, maxConnections).Draw(t, "connections"),
			FloorShare:      share.Draw(t, "floor"),
			QueueLimit:      rapid.IntRange(1, maxQueue).Draw(t, "queue"),
			CallerShare:     positive.Draw(t, "caller"),
			LongShare:       positive.Draw(t, "long"),
			RetryShare:      share.Draw(t, "retry"),
			RefusalStatus:   rapid.SampledFrom([][]int{nil, {503}, {429, 503}}).Draw(t, "refusal"),
			Objective:       rapid.Float64Range(0, 0.9999999).Draw(t, "objective"),
			ObjectiveWindow: time.Duration(rapid.Int64Range(int64(minWindow), int64(maxWindow)).Draw(t, "window")),
			ProbePath:       rapid.StringMatching(`/[a-z=;"]{0,5}`).Draw(t, "probe"),
		})
		c.Routes = append(c.Routes, Route{
			Name:             fmt.Sprintf("r%d", i),
			Host:             rapid.SampledFrom([]string{"*", "ices.example"}).Draw(t, "host"),
			PathPrefix:       fmt.Sprintf("/p%d", i),
			Service:          fmt.Sprintf("s%d", i),
			Attempts:         rapid.IntRange(1, maxAttempts).Draw(t, "attempts"),
			Priority:         rapid.IntRange(0, maxPriority).Draw(t, "priority"),
			Idempotency:      rapid.SampledFrom([]Idempotency{IdempotentByMethod, IdempotentAlways, IdempotentNever}).Draw(t, "idem"),
			Timeout:          time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(maxTimeout)).Draw(t, "timeout")),
			MaxRequestBytes:  rapid.Int64Range(0, maxBodyBytes).Draw(t, "request bytes"),
			MaxResponseBytes: rapid.Int64Range(0, maxBodyBytes).Draw(t, "response bytes"),
		})
		c.Targets = append(c.Targets, Target{
			Name:             fmt.Sprintf("t%d", i),
			Service:          fmt.Sprintf("s%d", i),
			Address:          fmt.Sprintf("127.0.0.1:%d", 9000+i),
			AvailabilityZone: "oadby",
			Slots:            rapid.IntRange(0, maxSlots).Draw(t, "target slots"),
			Connections:      rapid.IntRange(0, maxConnections).Draw(t, "target connections"),
		})
		c.Exceptions = append(c.Exceptions, Exception{
			Name:    fmt.Sprintf("e%d", i),
			Scope:   fmt.Sprintf("service s%d", i),
			Key:     "slots",
			Value:   "7",
			Reason:  rapid.StringMatching(`[a-z"'#;=\[\]\\]([ -~]{0,20}[a-z"'#;=\[\]\\])?`).Filter(noTripleQuote).Draw(t, "reason"),
			Author:  "å.author",
			Expires: time.Unix(rapid.Int64Range(1, 1<<33).Draw(t, "expires"), 0).UTC(),
		})
	}
	return c
}

// noTripleQuote reports whether the text does not begin a multi-line quote,
// which Parse rejects.
func noTripleQuote(text string) bool { return !strings.HasPrefix(text, `"""`) }

func TestFormatParsesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawConfig(t)
		text := Format(want)
		got, problems := Parse("formatted", text)
		if len(problems) > 0 {
			t.Fatalf("%v\n%s", problems, text)
		}
		if diff := qt.DeepEquals.Check(got, []any{want}, func(string, any) {}); diff != nil {
			t.Fatalf("not the same after a round trip: %#v, want %#v\n%s", got, want, text)
		}
	})
}

func TestFormatDoesNotApplyExceptions(t *testing.T) {
	want := mustParse(t, valid)
	got := mustParse(t, string(Format(want)))
	qt.Assert(t, got, qt.DeepEquals, want)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[service a]\nslots=1\n[DEFAULT]\nx=%(x)s\n"))
	f.Add([]byte("\x00\xff"))
	f.Fuzz(func(t *testing.T, src []byte) {
		c, problems := Parse("f", src)
		for _, p := range problems {
			if p.Line < 1 || p.Text == "" {
				t.Fatalf("problem without a place: %#v", p)
			}
		}
		if len(problems) > 0 {
			return
		}
		again, problems := Parse("f", Format(c))
		if len(problems) > 0 {
			t.Fatalf("a valid configuration does not parse again: %v", problems)
		}
		if diff := qt.DeepEquals.Check(again, []any{c}, func(string, any) {}); diff != nil {
			t.Fatalf("not the same after a round trip: %#v, want %#v", again, c)
		}
	})
}
