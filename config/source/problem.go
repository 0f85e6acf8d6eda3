// Package source reads INI text and records the line of each section and key,
// so that every problem of a settings file can be reported with its line.
//
// gopkg.in/ini.v1 reads the values. It reports no line numbers, so a separate
// scan indexes the lines. A value ends with its line: continuation lines and
// multi-line quotes are reported as problems. Quotes and comment characters
// within a value belong to the value.
package source

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one problem of a settings file.
type Problem struct {
	// File is the file's name as it was given.
	File string
	// Line counts from 1; 0 means that the problem concerns the whole file.
	Line int
	// Section and Key are where the problem is; either may be empty.
	Section string
	Key     string
	// Text describes the problem.
	Text string
}

// Error returns "file:line: [section] key: text" without the empty parts.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(":")
	if p.Section != "" {
		fmt.Fprintf(&b, " [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s:", p.Key)
	}
	b.WriteString(" ")
	b.WriteString(p.Text)
	return b.String()
}

// SortProblems orders problems by line and drops adjacent duplicates.
func SortProblems(problems []Problem) []Problem {
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return slices.Compact(problems)
}
