// Command caserun runs the script cases of the third independent review: it starts nodes as
// separate processes on loopback addresses, with stand-ins for the platform, the backends and
// the clients, and checks one rule by what these have seen.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// caseLimit ends a case that does not end by itself.
const caseLimit = 110 * time.Second

// cases are the cases by name.
var cases = map[string]func(*fleet) bool{
	"floor":     runFloor,
	"keys":      runKeys,
	"links":     runLinks,
	"midanswer": runMidAnswer,
	"recover":   runRecover,
	"restarts":  runRestarts,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: caserun CASE DIRECTORY")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs one case, which records in dir what happened, and returns the exit code.
func runCase(check func(*fleet) bool, dir string) int {
	f, err := newFleet(dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "caserun:", err)
		return exitNotRun
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- judge(f, check) }()
	code := exitNotRun
	select {
	case code = <-result:
	case <-interrupted:
		f.note("interrupted")
	case <-time.After(caseLimit):
		f.note("the case did not end in %s", caseLimit)
	}
	f.note("exit code %d", code)
	return code
}

// judge runs the check. A case that cannot run panics with a notRun.
func judge(f *fleet, check func(*fleet) bool) (code int) {
	defer func() {
		if v := recover(); v != nil {
			n, ok := v.(notRun)
			if !ok {
				panic(v)
			}
			f.note("the case could not run: %s", n)
			code = exitNotRun
		}
	}()
	if check(f) {
		return exitHeld
	}
	return exitBroken
}

// notRun is why a case could not run.
type notRun string

// must ends the case if it cannot run on.
func must(err error, doing string) {
	if err != nil {
		panic(notRun(doing + ": " + err.Error()))
	}
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Fprintln(r.out, line)
}
