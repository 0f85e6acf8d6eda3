package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/gateway"
	"filbertmill.example/platform"
)

// whereCommand prints where a request would go now, and why, without sending it.
type whereCommand struct {
	Node   string `arg:"--node,required" placeholder:"ADDRESS" help:"readiness address of a gateway node, as IP:port"`
	Host   string `arg:"--host,required" placeholder:"NAME" help:"host of the request"`
	Path   string `arg:"--path,required" placeholder:"PATH" help:"path of the request"`
	Method string `arg:"--method" default:"GET" help:"method of the request"`
	Key    string `arg:"--key,env:FILBERTMILL_KEY" placeholder:"KEY" help:"key of the caller's workspace"`
	JSON   bool   `arg:"--json" help:"print JSON in place of sentences"`
}

// whereTimeout limits the time for the node's answer, which may ask a home.
const whereTimeout = 5 * time.Second

func (c *whereCommand) run() int {
	query := url.Values{"host": {c.Host}, "path": {c.Path}, "method": {c.Method}}
	r, err := http.NewRequest(http.MethodGet, "http://"+c.Node+gateway.WherePath+"?"+query.Encode(), nil)
	if err != nil {
		return report(errors.Wrap(err, "--node"))
	}
	if c.Key != "" {
		r.Header.Set(platform.HeaderKey, c.Key)
	}
	resp, err := (&http.Client{Timeout: whereTimeout}).Do(r)
	if err != nil {
		return report(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report(errors.Newf("%s answers %s", c.Node, resp.Status))
	}
	var w gateway.Where
	if err := json.NewDecoder(resp.Body).Decode(&w); err != nil {
		return report(err)
	}
	if c.JSON {
		if err := printJSON(os.Stdout, w); err != nil {
			return report(err)
		}
	} else {
		writeWhere(os.Stdout, &w)
	}
	return exitOK
}

// writeWhere writes where a request would go in sentences.
func writeWhere(out io.Writer, w *gateway.Where) {
	fmt.Fprintf(out, "%s, version %d, copy %d ms old\n", w.Node, w.Version, w.CopyAgeMS)
	if w.Refused != "" {
		fmt.Fprintf(out, "refused by the node: %s\n", w.Refused)
		return
	}
	repeat := "may run once only"
	if w.Idempotent {
		repeat = "may be repeated"
	}
	fmt.Fprintf(out, "route %s, priority %d, %s\n", w.Route, w.Priority, repeat)
	switch {
	case w.Quota != nil:
		fmt.Fprintf(out, "workspace %s: %g a second and %g at once, kept by %s\n", w.Workspace, w.Quota.Rate, w.Quota.Burst, orNobody(w.QuotaHome))
	case w.Workspace != "":
		fmt.Fprintf(out, "workspace %s, without a quota\n", w.Workspace)
	}
	for _, s := range w.Services {
		fmt.Fprintf(out, "service %s, weight %d, home %s, %d waiting\n", s.Service, s.Weight, orNobody(s.Home), s.Decision.Queued)
		if s.Decision.Target != "" {
			fmt.Fprintf(out, "  goes to %s: %s\n", s.Decision.Target, s.Decision.Why)
		} else {
			fmt.Fprintf(out, "  %s\n", s.Decision.Why)
		}
		for _, t := range s.Decision.Candidates {
			fmt.Fprintf(out, "  %-24s %-12s %-10s %d of %d slots free, risk %.3f, cost %s, of it for the zone %s\n",
				t.Name, t.AvailabilityZone, t.State, t.Free, t.Slots, t.Risk, t.Cost.Round(time.Millisecond), t.ZoneCost.Round(time.Millisecond))
		}
		if more := s.Decision.Targets - len(s.Decision.Candidates); more > 0 {
			fmt.Fprintf(out, "  and %d more\n", more)
		}
	}
}

// orNobody returns the name of a home, or that the node decides alone.
func orNobody(home string) string {
	if home == "" {
		return "none (the node decides alone)"
	}
	return home
}
