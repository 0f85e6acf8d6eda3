package main

import (
	"context"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/fleet/publish"
	"filbertmill.example/testbed/standin"
)

// startPlatform starts the platform's stand-in and publishes the configuration in
// its store, as an operator would.
func (d *demo) startPlatform(ctx context.Context, cfg *dynamic.Config) error {
	var err error
	if d.platform, err = standin.Start("127.0.0.1:0"); err != nil {
		return err
	}
	p := publish.Publisher{Store: d.platform.Store}
	_, err = p.Apply(ctx, publish.Change{
		File: "demo.ini", Text: dynamic.Format(cfg), Author: "demo", Note: "first configuration",
	})
	return err
}
