package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"filbertmill.example/event/saved"
)

// explainSaved prints the decisions in saved log files instead of querying a node.
// It returns exitPartial if there are lines that cannot be read.
func (c *explainCommand) explainSaved() int {
	var lines []saved.Line
	var problems []saved.Problem
	for _, file := range c.Log {
		l, p, err := readSaved(file)
		if err != nil {
			return report(err)
		}
		lines, problems = append(lines, l...), append(problems, p...)
	}
	found := saved.Select(lines, saved.Query{Target: c.Target, Request: c.Request, Service: c.Service, Since: c.Since})
	if c.JSON {
		if err := printJSON(os.Stdout, found); err != nil {
			return report(err)
		}
	} else {
		for _, l := range found {
			fmt.Println(l.Sentence())
		}
		if len(found) == 0 {
			fmt.Printf("No line matches among the %d that were read.\n", len(lines))
		}
	}
	for _, p := range problems {
		fmt.Fprintf(os.Stderr, "filbertmill: not read: %v\n", p)
	}
	return reportExitCode(len(problems))
}

func readSaved(file string) ([]saved.Line, []saved.Problem, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open saved log lines")
	}
	defer f.Close()
	lines, problems, err := saved.Read(file, f)
	return lines, problems, errors.Wrap(err, "read saved log lines")
}
