package main

import (
	"fmt"
	"net/url"
	"os"

	"github.com/cockroachdb/errors"

	"filbertmill.example/burn"
	"filbertmill.example/burn/page"
	"filbertmill.example/node"
)

// reportCommand prints reports on the fleet.
type reportCommand struct {
	Burn *burnCommand `arg:"subcommand:burn" help:"error budgets of the services, how fast they burn and on what"`
}

func (c *reportCommand) run() int {
	fmt.Fprintln(os.Stderr, "filbertmill: name a report: burn")
	return exitUsage
}

// burnCommand prints the report on how fast the services use up their error budgets.
type burnCommand struct {
	Service string `arg:"--service" placeholder:"NAME" help:"report on this service only"`
	JSON    bool   `arg:"--json" help:"print JSON in place of tables"`
	HTML    string `arg:"--html" placeholder:"FILE" help:"write an HTML page with plots to this file"`
	Admin   string `arg:"--admin,required,env:FILBERTMILL_ADMIN" placeholder:"ADDRESS" help:"admin address of any node, as IP:port"`
}

func (c *burnCommand) run() int {
	if c.JSON && c.HTML != "" {
		fmt.Fprintln(os.Stderr, "filbertmill: --json and --html exclude each other")
		return exitUsage
	}
	query := url.Values{}
	if c.Service != "" {
		query.Set("service", c.Service)
	}
	var r burn.Report
	if err := queryNode(c.Admin, node.BurnPath, query, &r); err != nil {
		return report(err)
	}
	if c.Service != "" && len(r.Services) == 0 {
		return report(errors.Newf("there is no service %q", c.Service))
	}
	if err := c.print(&r); err != nil {
		return report(err)
	}
	return reportExitCode(len(r.Silent))
}

// print writes the report in the requested format.
func (c *burnCommand) print(r *burn.Report) error {
	switch {
	case c.JSON:
		return printJSON(os.Stdout, r)
	case c.HTML != "":
		return writePage(c.HTML, r)
	default:
		return r.WriteText(os.Stdout)
	}
}

// writePage writes the HTML page to a file.
func writePage(file string, r *burn.Report) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := page.Write(out, r); err != nil {
		return errors.CombineErrors(err, out.Close())
	}
	return out.Close()
}
