// Command measure measures a fleet of real node processes on loopback, with stand-in
// targets, fault proxies and an open-loop load.
//
// Exit codes: 0 every figure of the home variant is within its bound; 1 the run
// failed; 2 the command line is wrong; 3 a figure misses its bound.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"filbertmill.example/testbed/process"
)

// Exit codes.
const (
	exitFailed      = 1
	exitBoundMissed = 3
)

// Variants measured.
const (
	variantDirect = "direct"
	variantHome   = "home"
)

// Faults injected on purpose, to show that a measure detects them.
const (
	// faultNoFloor gives the nodes a floor of 0.
	faultNoFloor = "no_floor"
	// faultRetryBookings configures bookings as idempotent.
	faultRetryBookings = "retry_bookings"
)

// Numbers of nodes.
const (
	quickNodes = 12
	fullNodes  = 32
)

type args struct {
	Out      string `arg:"required" help:"file for the figures, one JSON line each"`
	Scenario string `help:"run only scenarios whose name contains this, as in lk-central/crest"`
	Variant  string `help:"run only this variant: direct or home"`
	Seed     uint64 `default:"1" help:"seed of arrivals, service times and draws"`
	Quick    bool   `help:"fewer nodes and shorter runs, at most 5 minutes for all"`
	Nodes    int    `help:"number of nodes [default: 32, with --quick 12]"`
	Record   string `help:"Markdown file to which the command and the table are added"`
	Logs     string `help:"directory in which the nodes' settings and logs are kept"`
	Fault    string `help:"fault put in on purpose: no_floor or retry_bookings"`
}

// options are the settings of a whole run.
type options struct {
	seed   uint64
	quick  bool
	nodes  int
	binary string
	fault  string
	logs   string
}

// quickOrFull returns the first of two values in a quick run, else the second.
func quickOrFull[T any](o options, quick, full T) T {
	if o.quick {
		return quick
	}
	return full
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	missed, err := run(ctx, a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(exitFailed)
	}
	if missed > 0 {
		os.Exit(exitBoundMissed)
	}
}

// run measures and returns the number of figures of the home variant that miss their
// bounds.
func run(ctx context.Context, a args) (int, error) {
	dir, err := os.MkdirTemp("", "measure-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	o := options{seed: a.Seed, quick: a.Quick, nodes: a.Nodes, fault: a.Fault, logs: a.Logs}
	if o.nodes == 0 {
		o.nodes = quickOrFull(o, quickNodes, fullNodes)
	}
	if o.binary, err = process.Build(dir); err != nil {
		return 0, err
	}
	out, err := os.Create(a.Out)
	if err != nil {
		return 0, err
	}
	defer out.Close()
	r := &report{out: out}
	start := time.Now()
	if err := runAll(ctx, a, o, r); err != nil {
		return 0, err
	}
	writeTable(os.Stdout, r.figures)
	fmt.Printf("took %s\n", time.Since(start).Round(time.Second))
	if a.Record != "" {
		err = record(a.Record, o, r.figures)
	}
	return len(r.missed(variantHome)), err
}

// runAll runs the selected scenarios, and the variants of each one after the other.
func runAll(ctx context.Context, a args, o options, r *report) error {
	for _, d := range deployments() {
		for _, s := range scenarios() {
			if !strings.Contains(d.name+"/"+s.name, a.Scenario) || (o.quick && s.quickOnce && d.name != deployments()[0].name) {
				continue
			}
			for _, v := range []string{variantDirect, variantHome} {
				if a.Variant != "" && a.Variant != v {
					continue
				}
				if err := runOne(ctx, o, d, s, v, r); err != nil {
					return errors.Wrapf(err, "%s/%s, %s", d.name, s.name, v)
				}
			}
		}
	}
	return nil
}

func runOne(ctx context.Context, o options, d deployment, s scenario, variant string, r *report) error {
	fmt.Fprintf(os.Stderr, "%s %s/%s %s\n", time.Now().Format(time.TimeOnly), d.name, s.name, variant)
	if s.runNodesOnly != nil {
		if variant != variantHome {
			return nil
		}
		return s.runNodesOnly(ctx, o, d, label{scenario: d.name + "/" + s.name, variant: variant, seed: o.seed}, r)
	}
	b, err := newBench(ctx, o, d, variant, s.name)
	defer b.close()
	if err != nil {
		return err
	}
	if err := s.run(ctx, b, r); err != nil {
		return err
	}
	r.add(b.label, floorViolations, float64(b.floorViolations()))
	return ctx.Err()
}
