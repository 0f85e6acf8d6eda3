package main

import (
	"fmt"
	"net/url"
	"os"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/node"
)

// explainCommand prints the decisions of all nodes on a target, a request or a
// service. At least one of Target, Request and Service is required; if several are
// given, a decision must match all of them.
type explainCommand struct {
	Target  string        `arg:"--target" placeholder:"NAME" help:"decisions on this target"`
	Request string        `arg:"--request" placeholder:"ID" help:"decisions on the request with this id"`
	Service string        `arg:"--service" placeholder:"NAME" help:"decisions on this service"`
	Since   time.Duration `arg:"--since" placeholder:"DURATION" help:"how far to look back, for example 10m [default: as far as is kept]"`
	JSON    bool          `arg:"--json" help:"print JSON in place of sentences"`
	Admin   string        `arg:"--admin,env:FILBERTMILL_ADMIN" placeholder:"ADDRESS" help:"admin address of any node, as IP:port"`
	Log     []string      `arg:"--log" placeholder:"FILE" help:"read the log lines saved in these files and ask no node"`
}

func (c *explainCommand) run() int {
	if c.Target == "" && c.Request == "" && c.Service == "" {
		fmt.Fprintln(os.Stderr, "filbertmill: name at least one of --target, --request and --service")
		return exitUsage
	}
	if c.Since < 0 {
		fmt.Fprintln(os.Stderr, "filbertmill: --since must not be negative")
		return exitUsage
	}
	if len(c.Log) > 0 {
		return c.explainSaved()
	}
	if c.Admin == "" {
		fmt.Fprintln(os.Stderr, "filbertmill: name a node with --admin or saved logs with --log")
		return exitUsage
	}
	var explanation event.Explanation
	if err := queryNode(c.Admin, node.ExplainPath, c.query(), &explanation); err != nil {
		return report(err)
	}
	if c.JSON {
		if err := printJSON(os.Stdout, explanation); err != nil {
			return report(err)
		}
	} else {
		explanation.WriteText(os.Stdout)
	}
	return reportExitCode(len(explanation.Silent))
}

// query returns the URL parameters of the request to the node.
func (c *explainCommand) query() url.Values {
	q := url.Values{}
	for name, value := range map[string]string{"target": c.Target, "request": c.Request, "service": c.Service} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if c.Since > 0 {
		q.Set("since", c.Since.String())
	}
	return q
}
