// Command filbertmill runs and operates a proxy fleet for targets that are
// licensed per copy.
//
// Exit codes: 0 success; 1 the command found a problem or failed; 2 the
// command line is wrong; 3 some nodes of the fleet did not answer.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/cloudwego/hertz/pkg/common/hlog"
)

// Exit codes of all commands.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// arguments are the commands of the program.
type arguments struct {
	Gateway *gatewayCommand `arg:"subcommand:gateway" help:"run a node on the platform, with the settings file that FILBERTMILL_SETTINGS names"`
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run a node until it is told to stop"`
	Check   *checkCommand   `arg:"subcommand:check" help:"report every problem in settings or configuration files"`
	Explain *explainCommand `arg:"subcommand:explain" help:"say why the fleet took its decisions on a target, a request or a service"`
	Where   *whereCommand   `arg:"subcommand:where" help:"say where a request would go now, and why, without sending it"`
	Report  *reportCommand  `arg:"subcommand:report" help:"print a report on the fleet"`
	Poison  *poisonCommand  `arg:"subcommand:poison" help:"list or release the requests that crash targets"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"run three nodes and stand-in targets in one process"`
	Config  *configCommand  `arg:"subcommand:config" help:"read and change the fleet configuration in the store"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show members, homes, revisions in force and laggards"`
	Version *versionCommand `arg:"subcommand:version" help:"print the version"`
}

// Description is printed above the help.
func (arguments) Description() string {
	return "filbertmill is a proxy fleet for targets that are licensed per copy."
}

// Epilogue is printed below the help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 success, 1 a problem was found or the command failed, " +
		"2 wrong command line, 3 some nodes of the fleet did not answer."
}

// runner is a command; run returns the exit code.
type runner interface {
	run() int
}

func main() {
	hlog.SetLevel(hlog.LevelFatal) // hertz's own log lines are not JSON
	os.Exit(run(os.Args[1:]))
}

// run executes the command line and returns the exit code.
func run(line []string) int {
	var args arguments
	p, err := arg.NewParser(arg.Config{Program: "filbertmill"}, &args)
	if err != nil {
		panic("invalid declaration of the command line: " + err.Error())
	}
	switch err := p.Parse(line); {
	case err == arg.ErrHelp:
		_ = p.WriteHelpForSubcommand(os.Stdout, p.SubcommandNames()...)
		return exitOK
	case err != nil:
		fmt.Fprintln(os.Stderr, "filbertmill:", err)
		return exitUsage
	}
	cmd, ok := p.Subcommand().(runner)
	if !ok {
		p.WriteHelp(os.Stderr)
		return exitUsage
	}
	return cmd.run()
}

// report prints an error and returns the exit code for it.
func report(err error) int {
	fmt.Fprintln(os.Stderr, "filbertmill:", err)
	return exitError
}
