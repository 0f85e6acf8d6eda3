// Command standin serves an in-memory stand-in of the platform over HTTP, for tests
// and demonstrations.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"filbertmill.example/testbed/standin"
)

type args struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address to serve on"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	s, err := standin.Start(a.Listen)
	if err != nil {
		return err
	}
	fmt.Println(s.URL())
	return s.Wait()
}
