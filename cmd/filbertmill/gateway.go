package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"filbertmill.example/gateway"
	"filbertmill.example/platform"
)

// gatewayCommand runs a node on the users' platform until SIGTERM.
type gatewayCommand struct {
	LogLevel string `arg:"--log-level" default:"info" help:"trace, debug, info, warn or error"`
}

func (c *gatewayCommand) run() int {
	settings, err := platform.ReadSettings()
	if err != nil {
		return report(err)
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name: "filbertmill", Level: hclog.LevelFromString(c.LogLevel), JSONFormat: true, Output: os.Stdout,
	}).With("node", settings.Name)
	n, err := gateway.New(settings, log)
	if err != nil {
		return report(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ignoreReload(log)
	if err := n.Run(ctx); err != nil {
		return report(err)
	}
	return exitOK
}

// ignoreReload logs SIGHUP: the settings that a running node uses stay the same
// for its life, and what changes comes from the store.
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
