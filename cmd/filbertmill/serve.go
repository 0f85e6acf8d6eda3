package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/config/source"
	"filbertmill.example/config/static"
	"filbertmill.example/node"
)

// serveCommand runs a node until SIGTERM or SIGINT, then drains it.
type serveCommand struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"the node's settings, in INI"`
}

func (c *serveCommand) run() int {
	settings, cfg, err := loadFiles(c.Config)
	if err != nil {
		return report(err)
	}
	// Without this, a log line written after the reader of the log closed its pipe
	// would end the process.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(node.RuntimeMemory(settings.MemoryMB))
	}
	n, err := node.New(settings, cfg, newLogger(settings))
	if err != nil {
		return report(err)
	}
	if err := n.Run(ctx); err != nil {
		return report(err)
	}
	return exitOK
}

// loadFiles reads a node's settings and the fleet configuration file that they name,
// if any.
func loadFiles(file string) (*static.Settings, *dynamic.Config, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	settings, problems := static.Parse(file, src)
	if len(problems) > 0 {
		return nil, nil, joinProblems(problems)
	}
	if settings.ConfigFile == "" {
		return settings, &dynamic.Config{}, nil
	}
	src, err = os.ReadFile(settings.ConfigFile)
	if err != nil {
		return nil, nil, err
	}
	cfg, problems := dynamic.Parse(settings.ConfigFile, src)
	if len(problems) > 0 {
		return nil, nil, joinProblems(problems)
	}
	return settings, cfg, nil
}

// joinProblems returns one error with a line for each problem.
func joinProblems(problems []source.Problem) error {
	errs := make([]error, len(problems))
	for i, p := range problems {
		errs[i] = p
	}
	return errors.Newf("%s", fmt.Sprint(errors.Join(errs...)))
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(s *static.Settings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "filbertmill",
		Level:      hclog.LevelFromString(s.LogLevel),
		JSONFormat: true,
		Output:     os.Stderr,
	}).With("node", s.Name)
}
