package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"filbertmill.example/fleet"
)

// statusCommand prints the state of the fleet as one node reports it.
type statusCommand struct {
	Admin string `arg:"--admin,required,env:FILBERTMILL_ADMIN" placeholder:"ADDRESS" help:"admin address of any node"`
	JSON  bool   `arg:"--json" help:"print JSON"`
}

func (c *statusCommand) run() int {
	s, err := fleetStatus(context.Background(), c.Admin)
	if err != nil {
		return report(err)
	}
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(s); err != nil {
			return report(err)
		}
		return exitOK
	}
	printStatus(os.Stdout, s)
	return exitOK
}

func printStatus(out io.Writer, s fleet.Status) {
	lagging, silent := 0, 0
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tZONE\tREGION\tSTATE\tREVISION\tNOTE")
	for _, m := range s.Members {
		if m.Lagging {
			lagging++
		}
		revision := "-"
		if m.Node == nil {
			silent++
		} else {
			revision = fmt.Sprint(m.Node.InForce.Revision)
		}
		p := m.Member.Peer
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", p.Name, p.AvailabilityZone, p.Region, m.State, revision, memberNote(m))
	}
	_ = w.Flush()
	fmt.Fprintln(out)
	fmt.Fprintln(w, "SERVICE\tHOME\tSUCCESSORS")
	for _, h := range s.Homes {
		fmt.Fprintf(w, "%s\t%s\t%s\n", h.Service, h.Home, strings.Join(h.Successors, " "))
	}
	_ = w.Flush()
	fmt.Fprintf(out, "\nnewest revision %s; %d members, %d lagging, %d silent; seen from %s\n",
		s.Newest, len(s.Members), lagging, silent, s.Reporter)
}

// memberNote returns remarks on a member that needs attention or watches the store,
// otherwise an empty string.
func memberNote(m fleet.MemberStatus) string {
	if m.Node == nil {
		return "does not answer"
	}
	var notes []string
	if m.Lagging {
		notes = append(notes, "lagging")
	}
	if !m.Node.Readiness.Ready {
		notes = append(notes, "not ready: "+m.Node.Readiness.Reason)
	}
	if m.Node.Watching {
		notes = append(notes, "watches the store")
	}
	if len(m.Node.Avoided) > 0 {
		notes = append(notes, "avoids "+strings.Join(m.Node.Avoided, " "))
	}
	return strings.Join(notes, "; ")
}
