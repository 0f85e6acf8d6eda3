package main

import (
	"os"

	"filbertmill.example/config/check"
)

// checkCommand reports every problem in settings or configuration files.
type checkCommand struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"node settings or fleet configuration, in INI"`
}

func (c *checkCommand) run() int {
	return check.Files(os.Stdout, c.Files...)
}
