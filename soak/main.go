// Command soak tests the fleet under randomized faults. It runs gateway nodes as
// processes on loopback, with stand-ins for the platform's store and for targets,
// and injects faults from outside the nodes. It checks the fleet's promises against
// what callers and targets observe. A promise is a property that must hold in spite
// of the faults, such as "no request is lost on its connection".
//
// The same seed gives the same schedule of faults; the operating system's timing
// differs from run to run. Exit codes: 0 all promises held, 1 one was broken or the
// run failed, 2 wrong command line.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cloudwego/hertz/pkg/common/hlog"

	"filbertmill.example/testbed/process"
)

// arguments is the parsed command line.
type arguments struct {
	Seed       uint64        `arg:"--seed" default:"1" help:"seed of the first run"`
	Seeds      int           `arg:"--seeds" default:"1" help:"number of runs, with consecutive seeds"`
	Fresh      bool          `arg:"--fresh" help:"draw the first seed from the clock"`
	For        time.Duration `arg:"--for" default:"20s" help:"length of the faults of one run"`
	Nodes      int           `arg:"--nodes" default:"6" help:"number of nodes"`
	Rate       float64       `arg:"--rate" default:"60" help:"requests a second"`
	Planned    bool          `arg:"--planned" help:"planned work only: no request may be lost"`
	Short      bool          `arg:"--short" help:"no long work and none that hangs"`
	Eager      bool          `arg:"--eager" help:"long work varies more and has a short latency objective: nodes send it again as often as their budget allows"`
	Advice     bool          `arg:"--advice" help:"also targets that state in their answers a limit, that they leave, or a pause"`
	Workspaces bool          `arg:"--workspaces" help:"callers have keys of workspaces, one of which sends beyond its quota; lookups are downloads"`
	Hostile    bool          `arg:"--hostile" help:"also callers that hold memory and connections: heads and bodies without their end, bodies beyond the limit, answers that they do not read; nodes have 128 MB"`
	Large      bool          `arg:"--large" help:"configurations that grow to 1 MB, over links of 10 Mbit/s to the store"`
	Mutants    bool          `arg:"--mutants" help:"build faults into the program on purpose; each must be found within the seeds (5 if not set)"`
	Plot       string        `arg:"--plot" help:"draw the latest run to this .svg or .png file: faults over time against answers by outcome"`
	// KnownRed names the promises that are known to be broken.
	KnownRed []string `arg:"--known-red,separate" help:"a promise, by its name, whose breaches are printed and do not fail the run"`
	// Only names the one promise whose breaches fail the run; empty for all.
	Only string `arg:"-"`
	// Pause is the time between the start of the platform and that of the nodes.
	Pause   time.Duration `arg:"-"`
	Dir     string        `arg:"--dir" help:"where logs of failed runs are kept; default: a new temporary directory"`
	Program string        `arg:"--program" help:"the filbertmill program; default: built from this tree"`
}

func main() {
	hlog.SetLevel(hlog.LevelFatal)
	var a arguments
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// run runs the seeds one after another and stops at the first broken promise.
func run(ctx context.Context, a arguments) error {
	var err error
	if a.Dir == "" {
		if a.Dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return err
		}
	}
	if a.Mutants {
		if a.Seeds == 1 {
			a.Seeds = mutantSeeds
		}
		a.Pause = mutantStartDelay
		return runMutants(ctx, a)
	}
	if a.Program == "" {
		if a.Program, err = process.Build(a.Dir); err != nil {
			return err
		}
	}
	if a.Fresh {
		a.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	for i := range a.Seeds {
		broken, err := runSeed(ctx, a, a.Seed+uint64(i))
		if err != nil {
			return err
		}
		if len(broken) > 0 {
			return fmt.Errorf("seed %d broke a promise", a.Seed+uint64(i))
		}
	}
	return nil
}

// mutantSeeds is the default number of seeds within which each mutant must be found.
const mutantSeeds = 5

// mutantStartDelay is longer than the lag of the stand-in's serializable reads. A
// mutant that reads the configuration with that lag needs it to find one at its
// start.
const mutantStartDelay = 5 * time.Second

// maxReported limits the number of broken promises that are printed.
const maxReported = 20

// runSeed runs the schedule of one seed and prints its result.
func runSeed(ctx context.Context, a arguments, seed uint64) ([]breach, error) {
	dir := filepath.Join(a.Dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	drawn := kinds
	if a.Planned {
		drawn = plannedKinds
	}
	if a.Advice {
		drawn = slices.Concat(drawn, slices.Repeat(adviceKinds, adviceWeight))
	}
	schedule := newSchedule(rng, a.For, a.Nodes, drawn)
	w, err := newWorld(ctx, dir, a, rng)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	}
	broken := w.runAndCheck(ctx, schedule)
	w.close()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("seed %d: interrupted; its result was not judged", seed)
	}
	fmt.Printf("seed %d: %s; %d faults\n", seed, w.summary(), len(schedule))
	if a.Plot != "" {
		if err := writePlot(a.Plot, w.snapshot(), schedule, w.start); err != nil {
			return nil, err
		}
	}
	if len(broken) == 0 {
		return nil, os.RemoveAll(dir)
	}
	report(broken, schedule, dir)
	fmt.Printf("logs are in %s; to run it again: go run ./soak --seed %d --for %s --nodes %d --rate %g", dir, seed, a.For, a.Nodes, a.Rate)
	if a.Planned {
		fmt.Print(" --planned")
	}
	if a.Short {
		fmt.Print(" --short")
	}
	if a.Eager {
		fmt.Print(" --eager")
	}
	if a.Advice {
		fmt.Print(" --advice")
	}
	if a.Hostile {
		fmt.Print(" --hostile")
	}
	if a.Large {
		fmt.Print(" --large")
	}
	fmt.Println()
	return broken, nil
}
