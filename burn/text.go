package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// timeFormat is the format of times in reports, in UTC.
const timeFormat = "2006-01-02 15:04:05 UTC"

// WriteText writes the report as plain text for a terminal.
func (r *Report) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "Service-level burn at %s, counted since %s by %d nodes\n",
		r.Time.Format(timeFormat), r.Since.Format(timeFormat), len(r.Nodes))
	for _, s := range r.Silent {
		fmt.Fprintf(out, "No answer from node %s: %s\n", s.Node, s.Error)
	}
	fmt.Fprintln(out)
	if err := r.writeBudgets(out); err != nil {
		return err
	}
	fmt.Fprintln(out)
	if err := r.writeRates(out); err != nil {
		return err
	}
	r.writeAlerts(out)
	return nil
}

func (r *Report) writeBudgets(out io.Writer) error {
	w := newTable(out)
	fmt.Fprint(w, "SERVICE\tOBJECTIVE\tWINDOW\tREQUESTS\tGOOD")
	for cause := CauseTarget; cause < causeCount; cause++ {
		fmt.Fprintf(w, "\t%s", strings.ToUpper(cause.String()))
	}
	fmt.Fprintln(w, "\tBUDGET LEFT\t")
	for _, s := range r.Services {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d", s.Service, FormatPercent(s.Objective), FormatSeconds(s.WindowSeconds), s.Total, s.Counts.Good)
		for cause := CauseTarget; cause < causeCount; cause++ {
			fmt.Fprintf(w, "\t%d", s.Counts.ByCause(cause))
		}
		fmt.Fprintf(w, "\t%s\t\n", FormatPercent(s.BudgetLeft))
	}
	return w.Flush()
}

func (r *Report) writeRates(out io.Writer) error {
	w := newTable(out)
	fmt.Fprint(w, "BURN RATE OVER")
	for _, window := range reportedWindows {
		fmt.Fprintf(w, "\t%s", FormatSeconds(window.Seconds()))
	}
	fmt.Fprintln(w, "\t")
	for _, s := range r.Services {
		fmt.Fprint(w, s.Service)
		for _, rate := range s.Rates {
			fmt.Fprintf(w, "\t%s", FormatRate(rate))
		}
		fmt.Fprintln(w, "\t")
	}
	return w.Flush()
}

func (r *Report) writeAlerts(out io.Writer) {
	prefix := "\n"
	for _, s := range r.Services {
		for _, a := range s.Alerts {
			fmt.Fprintf(out, "%s%s: %s: %s\n", prefix, a.Severity, s.Service, a)
			prefix = ""
		}
	}
}

// String returns the figures for which the alert fires.
func (a Alert) String() string {
	return fmt.Sprintf("burn rate %.1f over %s and %.1f over %s, above %.1f",
		a.LongRate, FormatSeconds(a.LongSeconds), a.ShortRate, FormatSeconds(a.ShortSeconds), a.Threshold)
}

// newTable returns a writer of a table whose columns are aligned to the right.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
}

// FormatPercent returns a share as a percentage, with up to four significant digits.
func FormatPercent(share float64) string {
	return fmt.Sprintf("%.4g%%", share*100)
}

// FormatRate returns a burn rate with two decimals, or "-" for a window without
// requests.
func FormatRate(r Rate) string {
	if r.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", r.Rate)
}

// FormatSeconds returns a duration, given in seconds, in the largest unit of which
// it is a whole number.
func FormatSeconds(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	units := []struct {
		length time.Duration
		name   string
	}{{24 * time.Hour, "d"}, {time.Hour, "h"}, {time.Minute, "m"}}
	for _, u := range units {
		if d >= u.length && d%u.length == 0 {
			return fmt.Sprintf("%d%s", d/u.length, u.name)
		}
	}
	return d.String()
}
