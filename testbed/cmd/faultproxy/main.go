// Command faultproxy runs one fault-injecting TCP proxy, for tests and experiments.
package main

import (
	"net/http"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/testbed/faultproxy"
)

type args struct {
	Upstream string `arg:"required" help:"address to pass connections on to"`
	Listen   string `default:"127.0.0.1:0" help:"address for connections"`
	Admin    string `default:"127.0.0.1:0" help:"address for faults, release, cut and refuse"`
}

func main() {
	var a args
	arg.MustParse(&a)
	log := hclog.New(&hclog.LoggerOptions{Name: "faultproxy", JSONFormat: true})
	p, err := faultproxy.Listen(a.Listen, a.Upstream)
	if err != nil {
		log.Error("start", "error", err)
		os.Exit(1)
	}
	log.Info("serving", "address", p.Address(), "upstream", a.Upstream, "admin", a.Admin)
	log.Error("admin", "error", http.ListenAndServe(a.Admin, p.Admin()))
	os.Exit(1)
}
