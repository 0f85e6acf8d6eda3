// Command target runs one stand-in target, for tests and experiments.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/testbed/target"
)

type args struct {
	Name     string        `arg:"required" help:"name of the target"`
	Listen   string        `default:"127.0.0.1:0" help:"address for work and probes"`
	Admin    string        `default:"127.0.0.1:0" help:"address for behavior, schedule, leave, crash and runs"`
	Slots    int           `default:"2" help:"requests run at once"`
	Overflow string        `default:"shed" help:"what becomes of more: shed or queue"`
	Work     time.Duration `default:"20ms" help:"service time of a request that names none"`
	Cold     time.Duration `default:"0s" help:"time for which the target is cold after a start"`
	CrashFor time.Duration `default:"2s" help:"time for which a crashed target refuses connections"`
	Seed     uint64        `default:"1" help:"seed of the draws"`
}

// coldFactor is the factor by which service times are longer while a target is cold.
const coldFactor = 3

func main() {
	var a args
	arg.MustParse(&a)
	log := hclog.New(&hclog.LoggerOptions{Name: "target", JSONFormat: true})
	t, err := target.Start(target.Config{
		Name:        a.Name,
		Address:     a.Listen,
		Slots:       a.Slots,
		Overflow:    target.Overflow(a.Overflow),
		Work:        a.Work,
		ProbeTime:   target.DefaultProbeTime,
		ConnectTime: target.DefaultConnectTime,
		ColdFor:     a.Cold,
		ColdFactor:  coldFactor,
		CrashFor:    a.CrashFor,
		Seed:        a.Seed,
	})
	if err != nil {
		log.Error("start", "error", err)
		os.Exit(1)
	}
	log.Info("serving", "address", t.Address(), "admin", a.Admin)
	log.Error("admin", "error", http.ListenAndServe(a.Admin, t.Admin()))
	os.Exit(1)
}
