package main

import (
	"fmt"
	"os"
	"path/filepath"

	"filbertmill.example/event/saved"
)

// report prints the schedule and the broken promises. For the first breach that
// names a request it also prints what the nodes logged about that request.
func report(broken []breach, schedule []step, dir string) {
	for _, s := range schedule {
		fmt.Println("  ", s)
	}
	request := ""
	for i, b := range broken {
		if i == maxReported {
			fmt.Println("broken:", len(broken)-maxReported, "more")
			break
		}
		fmt.Println("broken:", b)
		if request == "" {
			request = b.request
		}
	}
	if request != "" {
		reportChain(request, dir)
	}
}

// reportChain prints what the saved log lines of the nodes say about a request.
func reportChain(request, dir string) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		fmt.Println("log files not found:", err)
		return
	}
	var lines []saved.Line
	for _, file := range files {
		found, err := readLog(file)
		if err != nil {
			fmt.Println("log not read:", err)
		}
		lines = append(lines, found...)
	}
	for _, l := range saved.Select(lines, saved.Query{Request: request}) {
		fmt.Println("  ", l.Sentence())
	}
}

func readLog(file string) ([]saved.Line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines, problems, err := saved.Read(file, f)
	if len(problems) > 0 {
		fmt.Println("lines not read:", len(problems), "the first is", problems[0])
	}
	return lines, err
}
