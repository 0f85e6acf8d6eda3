package once_test

import (
	"flag"
	"os"
	"testing"
)

// modelRuns holds the default settings of the model test. They are fixed, so that
// each run has the same result. Flags on the command line override them.
var modelRuns = map[string]string{
	"rapid.seed":   "1",
	"rapid.checks": "3000",
	"rapid.steps":  "60",
}

func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range modelRuns {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
