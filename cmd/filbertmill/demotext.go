package main

import (
	"fmt"
	"io"
)

// print writes the addresses of all that runs, and commands to try.
func (d *demo) print(w io.Writer) {
	for i, s := range demoTargets() {
		fmt.Fprintf(w, "target %-14s %s  %s\n", d.targets[i].Name(), d.targets[i].Address(), s.note)
	}
	fmt.Fprintf(w, "\nplatform (store and host list) %s\n", d.platform.URL())
	for i, n := range d.nodes {
		fmt.Fprintf(w, "node-%d  callers http://%s  operators http://%s\n", i+1, n.CallerAddress(), n.AdminAddress())
	}
	fmt.Fprintln(w, "\nTry:")
	for _, line := range d.suggestions() {
		fmt.Fprintf(w, "  %s\n", line)
	}
	fmt.Fprintln(w, "Stop with Ctrl-C.")
}

// suggestions returns command lines to try, in an order that works.
func (d *demo) suggestions() []string {
	first, second := d.nodes[0], d.nodes[1]
	operators, store := first.AdminAddress(), d.platform.URL()
	return []string{
		fmt.Sprintf("curl -i http://%s/status/van-7", first.CallerAddress()),
		fmt.Sprintf("curl -i -X POST -d 'rug 12' http://%s/bookings", second.CallerAddress()),
		fmt.Sprintf("curl -s http://%s/pools", operators),
		fmt.Sprintf("filbertmill status --admin %s", operators),
		fmt.Sprintf("filbertmill explain --service bookings --since 10m --admin %s", operators),
		fmt.Sprintf("filbertmill report burn --admin %s", operators),
		fmt.Sprintf("filbertmill config show --store %s > demo.ini", store),
		fmt.Sprintf("filbertmill config apply demo.ini --author me --note trial --admin %s --store %s", operators, store),
		fmt.Sprintf("filbertmill config history --store %s", store),
	}
}
