package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"filbertmill.example/testbed/process"
)

// mutant is a fault built into the program on purpose, to show that the checks find
// it.
type mutant struct {
	name string
	// promise is the promise whose check must find the mutant.
	promise string
	// planned is set if it must be found with planned work as the only faults.
	planned bool
	// advice is set if targets have to state what they accept.
	advice bool
	edits  []edit
}

// edit replaces a text that occurs once in a source file of filbertmill.
type edit struct{ file, from, to string }

var mutants = []mutant{
	{
		name: "work left at the end of a drain holds back the answers behind it", promise: promiseLost, planned: true,
		edits: []edit{{"gateway/drain.go", "\tclose(n.abort)\n", ""}},
	},
	{
		name: "an unsafe request is sent again after a reset", promise: promiseOnce,
		edits: []edit{{"gateway/flight.go", "case !res.notRun && !f.r.idempotent:", "case false:"}},
	},
	{
		name: "a request that ran is refused", promise: promiseRefusals,
		edits: []edit{{
			"gateway/attempt.go", "result:  result{outcome: outcome.New(attempt.Reason(f), f.Error(), 0)},",
			"result:  result{outcome: outcome.New(outcome.ReasonUnreachable, f.Error(), 0)},",
		}, {"gateway/flight.go", "if f.mayHaveRun && f.candidate.outcome.Kind == outcome.NotRun {", "if false {"}},
	},
	{
		name: "a retry token is good for any number of second attempts", promise: promiseBudget,
		edits: []edit{{"retry/bucket.go", "\t\tbt.tokens -= taken\n", ""}},
	},
	{
		name: "a permit is good for any number of requests", promise: promiseLimit, advice: true,
		edits: []edit{{"pool/leastcost_choose.go", "\t\tt.rate.permits.Take(now)\n", ""}},
	},
	{
		name: "a target that leaves by its answers stays in use", promise: promiseToldBy, advice: true,
		edits: []edit{
			{"gateway/homes/limits.go", "\tcase stated.Leaving:\n\t\treturn false\n", ""},
			{"gateway/balance/service.go", " || s.stated(t).Leaving", ""},
		},
	},
	{
		name: "the pause that a target asks for is forgotten", promise: promisePause, advice: true,
		edits: []edit{{"gateway/advice.go", "if res.advice.Pause > 0 {", "if false {"}, {"gateway/flight.go", " && res.advice.Pause == 0", ""}},
	},
	{
		name: "the configuration is taken from a read that lags", promise: promiseApplied,
		edits: []edit{
			{
				"platform/client.go", `q := url.Values{"prefix": {prefix}}`,
				`q := url.Values{"prefix": {prefix}}` + "\n\tif prefix == \"\" {\n\t\tq.Set(\"serializable\", \"1\")\n\t}",
			},
			{
				"platform/listing.go", "l.Revision = p.Revision",
				"l.Revision = p.Revision\n\t\t\tif now, err := c.Range(ctx, \"~\", \"\"); err == nil {\n\t\t\t\tl.Revision = now.Revision\n\t\t\t}",
			},
		},
	},
}

// apply returns the text of the file after the edit.
func (e edit) apply(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, e.file))
	if err != nil {
		return "", err
	}
	if n := strings.Count(string(text), e.from); n != 1 {
		return "", fmt.Errorf("%s: the text to replace occurs %d times: %s", e.file, n, e.from)
	}
	return strings.Replace(string(text), e.from, e.to, 1), nil
}

// overlay writes the edited sources to dir. It returns the overlay file with which
// the compiler uses them in place of those under root.
func (m mutant) overlay(root, dir string) (string, error) {
	replace := make(map[string]string)
	for i, e := range m.edits {
		source := filepath.Join(root, e.file)
		text, err := e.apply(root)
		if earlier := replace[source]; earlier != "" {
			text, err = edit{filepath.Base(earlier), e.from, e.to}.apply(dir)
		}
		if err != nil {
			return "", err
		}
		replace[source] = filepath.Join(dir, fmt.Sprintf("%d.go", i))
		if err := os.WriteFile(replace[source], []byte(text), 0o600); err != nil {
			return "", err
		}
	}
	list, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "overlay.json")
	return file, os.WriteFile(file, list, 0o600)
}

// runMutants builds the program with each mutant and runs seeds until the mutant is
// found.
func runMutants(ctx context.Context, a arguments) error {
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	var missed []error
	for i, m := range mutants {
		fmt.Println("built in:", m.name)
		dir := filepath.Join(a.Dir, fmt.Sprintf("mutant-%d", i))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		overlay, err := m.overlay(root, dir)
		if err != nil {
			return err
		}
		if a.Program, err = process.Build(dir, "-overlay", overlay); err != nil {
			return err
		}
		if err := m.find(ctx, a); err != nil {
			missed = append(missed, err)
		}
	}
	return errors.Join(missed...)
}

// find runs seeds until the mutant is found.
func (m mutant) find(ctx context.Context, a arguments) error {
	a.Planned, a.Advice, a.Only = a.Planned || m.planned, a.Advice || m.advice, m.promise
	for i := range a.Seeds {
		seed := a.Seed + uint64(i)
		broken, err := runSeed(ctx, a, seed)
		if err != nil {
			return err
		}
		for _, b := range broken {
			if b.promise == m.promise {
				fmt.Printf("found with seed %d: %s\n", seed, m.name)
				return nil
			}
		}
	}
	return fmt.Errorf("not found in %d seeds: %s", a.Seeds, m.name)
}
