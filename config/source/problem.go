// Package source reads INI text and keeps track of where each section and key
// stands, so that every fault of a settings file can be named with its line.
//
// gopkg.in/ini.v1 reads the values; it reports no line numbers, so an index of
// the lines is made beside it. Values end with their line: continuation lines
// and multi-line quotes are reported as problems. Quotes and comment signs
// within a value belong to the value.
package source

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	// File is the file's name as it was given.
	File string
	// Line counts from 1; 0 means that the file as a whole is meant.
	Line int
	// Section and Key are where the fault is; either may be empty.
	Section string
	Key     string
	// Text says what is wrong.
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

// SortProblems orders problems by line and drops doubles.
func SortProblems(problems []Problem) []Problem {
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return slices.Compact(problems)
}
