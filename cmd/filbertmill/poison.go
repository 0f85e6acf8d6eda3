package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/node"
	"filbertmill.example/poison"
)

// poisonCommand lists and ends quarantines in the whole fleet. A quarantine is the
// time during which requests like one that crashed targets are refused.
type poisonCommand struct {
	List    *poisonList    `arg:"subcommand:list" help:"list the requests in quarantine"`
	Release *poisonRelease `arg:"subcommand:release" help:"end a quarantine before its time"`
}

// poisonList prints the quarantines.
type poisonList struct {
	JSON  bool   `arg:"--json" help:"print JSON in place of a table"`
	Admin string `arg:"--admin,required,env:FILBERTMILL_ADMIN" placeholder:"ADDRESS" help:"admin address of any node, as IP:port"`
}

// poisonRelease ends a quarantine.
type poisonRelease struct {
	Fingerprint string `arg:"positional,required" placeholder:"FINGERPRINT" help:"the fingerprint as list prints it"`
	Admin       string `arg:"--admin,required,env:FILBERTMILL_ADMIN" placeholder:"ADDRESS" help:"admin address of any node, as IP:port"`
}

func (c *poisonCommand) run() int {
	switch {
	case c.List != nil:
		return c.List.run()
	case c.Release != nil:
		return c.Release.run()
	}
	fmt.Fprintln(os.Stderr, "filbertmill: poison needs list or release")
	return exitUsage
}

func (c *poisonList) run() int {
	var r node.PoisonReport
	if err := queryNode(c.Admin, node.PoisonPath, nil, &r); err != nil {
		return report(err)
	}
	if c.JSON {
		if err := printJSON(os.Stdout, r); err != nil {
			return report(err)
		}
	} else {
		writeEntries(os.Stdout, r.Entries)
	}
	writeSilent(os.Stderr, r.Silent)
	return reportExitCode(len(r.Silent))
}

// writeEntries prints a table of quarantines.
func writeEntries(out io.Writer, entries []poison.Entry) {
	if len(entries) == 0 {
		fmt.Fprintln(out, "no request is in quarantine")
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FINGERPRINT\tSERVICE\tROUTE\tLAST REQUEST\tCRASHED\tREFUSED\tUNTIL")
	for _, e := range entries {
		targets := make([]string, len(e.Crashes))
		for i, crash := range e.Crashes {
			targets[i] = crash.Target
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", e.Fingerprint, e.Service, e.Route, e.Request,
			strings.Join(targets, ","), e.Refused, e.Until.UTC().Format(time.RFC3339))
	}
	_ = w.Flush()
}

// writeSilent prints the nodes that did not answer.
func writeSilent(out io.Writer, nodes []node.SilentNode) {
	for _, s := range nodes {
		fmt.Fprintf(out, "filbertmill: no answer from %s: %s\n", s.Node, s.Error)
	}
}

func (c *poisonRelease) run() int {
	if _, err := poison.ParseFingerprint(c.Fingerprint); err != nil {
		fmt.Fprintf(os.Stderr, "filbertmill: %q is not a fingerprint: 16 hexadecimal digits are wanted\n", c.Fingerprint)
		return exitUsage
	}
	r, err := releaseFingerprint(c.Admin, c.Fingerprint)
	if err != nil {
		return report(err)
	}
	writeSilent(os.Stderr, r.Silent)
	if !r.Released {
		fmt.Fprintf(os.Stderr, "filbertmill: no node that answered has %s in quarantine\n", c.Fingerprint)
		return exitError
	}
	fmt.Println("released", c.Fingerprint)
	return reportExitCode(len(r.Silent))
}

// releaseFingerprint asks a node to end a quarantine on all nodes.
func releaseFingerprint(admin, fingerprint string) (node.PoisonReport, error) {
	var r node.PoisonReport
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	address := url.URL{Scheme: "http", Host: admin, Path: node.PoisonPath}
	address.RawQuery = url.Values{"fingerprint": {fingerprint}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, address.String(), nil)
	if err != nil {
		return r, errors.Wrap(err, "admin address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return r, errors.Wrap(err, "query the node")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, errors.Newf("the node returned %s", resp.Status)
	}
	return r, errors.Wrap(json.NewDecoder(resp.Body).Decode(&r), "read the node's answer")
}
