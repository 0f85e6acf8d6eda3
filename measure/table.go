package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// row is one measure of one scenario, with the value of each variant.
type row struct {
	scenario, measure, unit string
	bound                   *float64
	values                  map[string]Figure
}

// rows groups figures by scenario and measure, in the order in which they were
// added.
func rows(figures []Figure) []*row {
	var out []*row
	index := make(map[string]*row)
	for _, f := range figures {
		key := f.Scenario + " " + f.Measure
		r := index[key]
		if r == nil {
			r = &row{scenario: f.Scenario, measure: f.Measure, unit: f.Unit, bound: f.Bound, values: make(map[string]Figure)}
			index[key] = r
			out = append(out, r)
		}
		r.values[f.Variant] = f
	}
	return out
}

// cells returns the columns of a row.
func (r *row) cells() []string {
	limit := ""
	if r.bound != nil {
		limit = fmt.Sprintf("%g", *r.bound)
	}
	return []string{r.scenario, r.measure, r.unit, r.value(variantDirect), r.value(variantHome), limit, r.verdict()}
}

func (r *row) value(variant string) string {
	f, ok := r.values[variant]
	if !ok {
		return ""
	}
	return fmt.Sprintf("%.3g", f.Value)
}

// verdict returns whether the home variant is within the bound; the direct variant
// is only the baseline.
func (r *row) verdict() string {
	f, ok := r.values[variantHome]
	switch {
	case !ok || r.bound == nil:
		return ""
	case f.OK:
		return "ok"
	default:
		return "RED"
	}
}

// header returns the column titles of a table.
func header() []string {
	return []string{"scenario", "measure", "unit", variantDirect, variantHome, "bound", "home"}
}

// writeTable writes the figures as an aligned text table.
func writeTable(w io.Writer, figures []Figure) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(header(), "\t"))
	for _, r := range rows(figures) {
		fmt.Fprintln(t, strings.Join(r.cells(), "\t"))
	}
	t.Flush()
}

// commandLine returns the arguments. The names of files and directories of this
// machine are replaced.
func commandLine() string {
	hidden := map[string]string{"--out": "FILE", "--logs": "DIR"}
	line := slices.Clone(os.Args[1:])
	for i, a := range line {
		name, _, joined := strings.Cut(a, "=")
		switch place, ok := hidden[name]; {
		case ok && joined:
			line[i] = name + "=" + place
		case ok && i+1 < len(line):
			line[i+1] = place
		}
	}
	return strings.Join(line, " ")
}

// record appends a section with the command, the seed and the table to a file.
func record(file string, o options, figures []Figure) error {
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(f, "\n## %s\n\n", time.Now().UTC().Format("2006-01-02 15:04 UTC"))
	fmt.Fprintf(f, "Command: `go run ./measure %s`, seed %d, %d nodes.\n\n", commandLine(), o.seed, o.nodes)
	fmt.Fprintf(f, "| %s |\n|%s\n", strings.Join(header(), " | "), strings.Repeat(" --- |", len(header())))
	for _, r := range rows(figures) {
		fmt.Fprintf(f, "| %s |\n", strings.Join(r.cells(), " | "))
	}
	return nil
}
