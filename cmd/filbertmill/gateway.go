package main

import (
	"context"
	"expvar"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"filbertmill.example/gateway"
	"filbertmill.example/gateway/logs"
	"filbertmill.example/platform"
)

// logCloseTimeout limits how long the end of the process is delayed until the last
// log lines are read.
const logCloseTimeout = 200 * time.Millisecond

// gatewayCommand runs a node, with the settings and the store of the users' platform,
// until SIGTERM or SIGINT.
type gatewayCommand struct {
	LogLevel string `arg:"--log-level" default:"info" help:"trace, debug, info, warn or error"`
}

func (c *gatewayCommand) run() int {
	settings, err := platform.ReadSettings()
	if err != nil {
		return report(err)
	}
	lines := logs.NewWriter(os.Stdout)
	defer lines.Close(logCloseTimeout)
	expvar.Publish("log_lines_dropped", expvar.Func(func() any { return lines.Dropped() }))
	log := hclog.New(&hclog.LoggerOptions{
		Name: "filbertmill", Level: hclog.LevelFromString(c.LogLevel), JSONFormat: true, Output: lines.Output(),
	}).With("node", settings.Name)
	// Signals are handled before New opens the listeners: a signal must not end the
	// process without a drain once it may have callers.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ignoreReload(log)
	limitMemory(settings.Resources)
	n, err := gateway.New(settings, log)
	if err != nil {
		return report(err)
	}
	if err := n.Run(ctx); err != nil {
		return report(err)
	}
	return exitOK
}

// limitMemory sets the Go runtime's memory limit, unless GOMEMLIMIT sets it.
func limitMemory(r platform.Resources) {
	if r.MemoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(gateway.RuntimeMemory(r))
	}
}

// ignoreReload makes a SIGHUP only write a log line. A node uses the settings with
// which it was started until it ends; configuration that changes comes from the store.
func ignoreReload(log hclog.Logger) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			if _, err := platform.ReadSettings(); err != nil {
				log.Error("settings file changed and cannot be read; the old ones stay", "error", err)
				continue
			}
			log.Info("settings file changed; it takes effect at the next start")
		}
	}()
}
