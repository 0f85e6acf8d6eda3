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
	// binTime is the width of a point of the answers.
	binTime = 500 * time.Millisecond
	// faultRow is the height of a fault's row, as a share of the highest count.
	faultRow = 0.06
	lineWide = 1.5
)

// outcomes are the ends of requests in the order of the legend, with colors that
// people who see few colors tell apart.
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

// writePlot draws the answers of a run by outcome over the time at which they
// were asked for, with the faults in rows above. The file's ending says how.
func writePlot(file string, h *history, schedule []step, start time.Time) error {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = fmt.Sprintf("requests in %s, by outcome", binTime)
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	top := 0.0
	for _, o := range outcomes {
		points := counts(h.calls, start, o.is)
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("draw %s: %w", o.name, err)
		}
		line.Color, line.Width = o.color, vg.Points(lineWide)
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

// counts counts the calls with an outcome by the time at which they were sent.
func counts(calls []call, start time.Time, is func(int) bool) plotter.XYs {
	last := 0
	bins := make(map[int]int)
	for _, c := range calls {
		bin := int(c.sent.Sub(start) / binTime)
		last = max(last, bin)
		if is(c.status) {
			bins[bin]++
		}
	}
	points := make(plotter.XYs, last+1)
	for i := range points {
		points[i] = plotter.XY{X: float64(i) * binTime.Seconds(), Y: float64(bins[i])}
	}
	return points
}

// addFaults draws each fault as a bar with its name, in rows above the answers.
func addFaults(p *plot.Plot, schedule []step, top float64) error {
	const rows = 8
	row := math.Max(1, top) * faultRow
	var labels plotter.XYLabels
	for i, s := range schedule {
		y := top + row*float64(1+i%rows)
		from := plotter.XY{X: s.at.Seconds(), Y: y}
		line, err := plotter.NewLine(plotter.XYs{from, {X: (s.at + s.lasts).Seconds(), Y: y}})
		if err != nil {
			return fmt.Errorf("draw the fault %s: %w", s, err)
		}
		line.Width = vg.Points(2 * lineWide)
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
