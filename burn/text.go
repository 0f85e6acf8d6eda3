package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// timeFormat is how reports write times, in UTC.
const timeFormat = "2006-01-02 15:04:05 UTC"

// WriteText writes the report for a terminal.
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d", s.Service, Percent(s.Objective), Span(s.WindowSeconds), s.Total, s.Counts.Good)
		for cause := CauseTarget; cause < causeCount; cause++ {
			fmt.Fprintf(w, "\t%d", s.Counts.Of(cause))
		}
		fmt.Fprintf(w, "\t%s\t\n", Percent(s.BudgetLeft))
	}
	return w.Flush()
}

func (r *Report) writeRates(out io.Writer) error {
	w := newTable(out)
	fmt.Fprint(w, "BURN RATE OVER")
	for _, window := range reportedWindows {
		fmt.Fprintf(w, "\t%s", Span(window.Seconds()))
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
	lead := "\n"
	for _, s := range r.Services {
		for _, a := range s.Alerts {
			fmt.Fprintf(out, "%s%s: %s: %s\n", lead, a.Severity, s.Service, a)
			lead = ""
		}
	}
}

// String says why the alert fires.
func (a Alert) String() string {
	return fmt.Sprintf("burn rate %.1f over %s and %.1f over %s, above %.1f",
		a.LongRate, Span(a.LongSeconds), a.ShortRate, Span(a.ShortSeconds), a.Threshold)
}

// newTable aligns columns to the right.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
}

// Percent writes a share with as many digits as it needs.
func Percent(share float64) string {
	return fmt.Sprintf("%.4g%%", share*100)
}

// FormatRate writes a burn rate; a window without requests has none.
func FormatRate(r Rate) string {
	if r.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", r.Rate)
}

// Span writes a length of time, given in seconds, in the largest whole unit.
func Span(s float64) string {
	d := time.Duration(s * float64(time.Second))
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
