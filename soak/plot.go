package main

import (
	"fmt"
	"image/color"
	"math"
	"net/http"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	// binWidth is the time between two points of the plotted answers.
	binWidth = 500 * time.Millisecond
	// faultRowHeight is the height of a row of faults, as a share of the highest
	// count.
	faultRowHeight = 0.06
	lineWidth      = 1.5
)

// outcomes are the ends of requests in the order of the legend. The colors can be
// told apart by people with color vision deficiency.
var outcomes = []struct {
	name  string
	color color.Color
	is    func(status int) bool
}{
	{"answered", color.RGBA{G: 0x72, B: 0xb2, A: 0xff}, func(s int) bool { return s >= 200 && s < 300 }},
	{"refused", color.RGBA{R: 0xe6, G: 0x9f, A: 0xff}, func(s int) bool {
		return s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests
	}},
	{"failed", color.RGBA{R: 0xd5, G: 0x5e, A: 0xff}, func(s int) bool { return s >= 500 && s != http.StatusServiceUnavailable }},
	{"no answer", color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff}, func(s int) bool { return s == 0 }},
}

// writePlot draws the number of requests by outcome over the time at which they were
// sent, with the faults in rows above. The extension of the file name selects the
// format.
func writePlot(file string, h *history, schedule []step, start time.Time) error {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = fmt.Sprintf("requests in %s, by outcome", binWidth)
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	top := 0.0
	for _, o := range outcomes {
		points := countByTime(h.calls, start, o.is)
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("draw %s: %w", o.name, err)
		}
		line.Color, line.Width = o.color, vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(o.name, line)
		for _, point := range points {
			top = max(top, point.Y)
		}
	}
	if err := addFaults(p, schedule, top); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

// countByTime counts the calls with an outcome by the time at which they were sent.
func countByTime(calls []call, start time.Time, is func(int) bool) plotter.XYs {
	last := 0
	bins := make(map[int]int)
	for _, c := range calls {
		bin := int(c.sent.Sub(start) / binWidth)
		last = max(last, bin)
		if is(c.status) {
			bins[bin]++
		}
	}
	points := make(plotter.XYs, last+1)
	for i := range points {
		points[i] = plotter.XY{X: float64(i) * binWidth.Seconds(), Y: float64(bins[i])}
	}
	return points
}

// addFaults draws each fault as a bar with its name, in rows above the answers.
func addFaults(p *plot.Plot, schedule []step, top float64) error {
	const rows = 8
	row := math.Max(1, top) * faultRowHeight
	var labels plotter.XYLabels
	for i, s := range schedule {
		y := top + row*float64(1+i%rows)
		from := plotter.XY{X: s.at.Seconds(), Y: y}
		line, err := plotter.NewLine(plotter.XYs{from, {X: (s.at + s.duration).Seconds(), Y: y}})
		if err != nil {
			return fmt.Errorf("draw the fault %s: %w", s, err)
		}
		line.Width = vg.Points(2 * lineWidth)
		p.Add(line)
		labels.XYs, labels.Labels = append(labels.XYs, from), append(labels.Labels, string(s.kind))
	}
	if len(schedule) == 0 {
		return nil
	}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return fmt.Errorf("name the faults: %w", err)
	}
	for i := range names.TextStyle {
		names.TextStyle[i].Font.Size = vg.Points(7)
	}
	p.Add(names)
	p.Y.Max = top + row*(rows+2)
	return nil
}
