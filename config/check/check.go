// Package check implements "filbertmill check": it reports the problems of
// settings files, both node settings and fleet configurations.
package check

import (
	"fmt"
	"io"
	"os"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/config/source"
	"filbertmill.example/config/static"
)

// Exit codes of a check.
const (
	// ExitOK means that no problem was found.
	ExitOK = 0
	// ExitProblem means that a file has a problem or can't be read.
	ExitProblem = 1
)

// Files checks each file, writes every problem on a line of its own, and
// returns the exit code.
func Files(out io.Writer, files ...string) int {
	code := ExitOK
	for _, file := range files {
		problems := File(file)
		for _, p := range problems {
			fmt.Fprintln(out, p.Error())
			code = ExitProblem
		}
		if len(problems) == 0 {
			fmt.Fprintf(out, "%s: no problem\n", file)
		}
	}
	return code
}

// File checks one file and returns its problems.
func File(file string) []source.Problem {
	src, err := os.ReadFile(file)
	if err != nil {
		return []source.Problem{{File: file, Text: "can't be read: " + err.Error()}}
	}
	return Source(file, src)
}

// Source checks the text src of the file and returns its problems. The sections
// of the text determine whether it is a node's settings or a fleet configuration.
func Source(file string, src []byte) []source.Problem {
	switch source.KindOf(src) {
	case source.KindNode:
		_, problems := static.Parse(file, src)
		return problems
	case source.KindFleet:
		_, problems := dynamic.Parse(file, src)
		return problems
	default:
		return unknownKind(file, src)
	}
}

// unknownKind returns the problems of a text without any known section.
func unknownKind(file string, src []byte) []source.Problem {
	doc, problems := source.Read(file, src)
	for _, s := range doc.Sections {
		problems = append(problems, s.Problem("", "unknown section"))
	}
	text := "neither a node's settings nor a fleet configuration"
	problems = append(problems, source.Problem{File: file, Line: 1, Text: text})
	return source.SortProblems(problems)
}
