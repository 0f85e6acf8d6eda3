// Package page writes a burn report as one HTML page that needs no network:
// its plots are part of the page.
package page

import (
	"bytes"
	"image/color"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"filbertmill.example/burn"
)

// Size of a plot on the page.
const (
	plotWidth  = 17 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	lineWidth  = 1.5
	maxBar     = 18
)

// legendPadding keeps the lines of the legend apart, and legendRoom is how
// much higher than the highest bar the plot is, so that the legend is above.
const (
	legendPadding = 2
	legendRoom    = 1.6
)

const (
	// rateShown is the length of the axis of the plot of the burn rate.
	rateShown = time.Hour
	// rateRoom is how much higher than the highest rate its plot is.
	rateRoom = 1.1
	// hoursShown is the number of hours on the axis of the plot of failures.
	hoursShown = 72
)

// causeColors tell the causes apart, also for people who see few colors.
var causeColors = map[burn.Cause]color.Color{
	burn.CauseTarget: color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	burn.CauseCrest:  color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
	burn.CausePoison: color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	burn.CauseOwn:    color.RGBA{G: 0x72, B: 0xb2, A: 0xff},
}

// failingCauses is the order in which the causes are stacked.
var failingCauses = []burn.Cause{burn.CauseTarget, burn.CauseCrest, burn.CausePoison, burn.CauseOwn}

// ratePlot draws the burn rate by minute. Minutes without requests leave a gap.
func ratePlot(s burn.ServiceReport, now time.Time) ([]byte, error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TickerFunc(minuteTicks)
	p.Add(plotter.NewGrid())
	objective := burn.Objective{Share: s.Objective}
	for _, stretch := range stretches(s.Minutes, objective) {
		line, points, err := plotter.NewLinePoints(stretch)
		if err != nil {
			return nil, errors.Wrap(err, "draw the burn rate")
		}
		line.Width = lineWidth
		line.Color = causeColors[burn.CauseOwn]
		points.Shape = draw.CircleGlyph{}
		points.Radius = lineWidth
		points.Color = line.Color
		p.Add(line, points)
	}
	p.X.Max = float64(now.Unix())
	p.X.Min = float64(now.Add(-rateShown).Unix())
	p.Y.Max = max(p.Y.Max, 1) * rateRoom
	return render(p)
}

// stretches returns the burn rates of unbroken runs of minutes with requests.
func stretches(minutes []burn.Point, o burn.Objective) []plotter.XYs {
	var all []plotter.XYs
	var present plotter.XYs
	for _, m := range minutes {
		if m.Counts.Total() == 0 {
			if len(present) > 0 {
				all = append(all, present)
			}
			present = nil
			continue
		}
		present = append(present, plotter.XY{X: float64(m.Start.Unix()), Y: o.Rate(m.Counts)})
	}
	if len(present) > 0 {
		all = append(all, present)
	}
	return all
}

// failurePlot draws the failed requests by hour, stacked by cause.
func failurePlot(s burn.ServiceReport, now time.Time) ([]byte, error) {
	p := plot.New()
	p.Y.Label.Text = "failed requests an hour"
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.Padding = legendPadding
	grid := plotter.NewGrid()
	grid.Vertical.Width = 0
	p.Add(grid)
	var below *plotter.BarChart
	for _, cause := range failingCauses {
		bars, err := plotter.NewBarChart(values(s.Hours, cause), min(maxBar, plotWidth*0.7/hoursShown))
		if err != nil {
			return nil, errors.Wrap(err, "draw the failures")
		}
		bars.Color = causeColors[cause]
		bars.LineStyle.Width = 0
		bars.XMin = hourNumber(s.Hours[0].Start)
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(cause.String(), bars)
	}
	p.X.Max = hourNumber(now)
	p.X.Min = p.X.Max - hoursShown
	p.X.Tick.Marker = plot.TickerFunc(hourTicks)
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 1) * legendRoom
	return render(p)
}

// values returns the counts of one cause over time.
func values(points []burn.Point, cause burn.Cause) plotter.Values {
	v := make(plotter.Values, 0, len(points))
	for _, p := range points {
		v = append(v, float64(p.Counts.Of(cause)))
	}
	return v
}

// hourNumber counts hours since 1970.
func hourNumber(t time.Time) float64 {
	return float64(t.Unix() / int64(time.Hour/time.Second))
}

// Distances of the labels on the axes.
const (
	secondsBetweenTicks = 600
	hoursBetweenTicks   = 12
)

// minuteTicks labels every tenth minute of an axis of Unix seconds.
func minuteTicks(low, high float64) []plot.Tick {
	return ticksEvery(secondsBetweenTicks, low, high, time.Second, "15:04")
}

// hourTicks labels every twelfth hour of an axis of hour numbers.
func hourTicks(low, high float64) []plot.Tick {
	return ticksEvery(hoursBetweenTicks, low, high, time.Hour, "2 Jan 15:04")
}

// ticksEvery labels the multiples of a step with their times.
func ticksEvery(step int64, low, high float64, unit time.Duration, format string) []plot.Tick {
	var ticks []plot.Tick
	first := (int64(low) + step - 1) / step * step
	for at := first; at <= int64(high); at += step {
		start := time.Unix(0, at*int64(unit)).UTC()
		ticks = append(ticks, plot.Tick{Value: float64(at), Label: start.Format(format)})
	}
	return ticks
}

// render returns the plot as an SVG element.
func render(p *plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, errors.Wrap(err, "write the plot")
	}
	at := bytes.Index(b.Bytes(), []byte("<svg"))
	if at < 0 {
		return nil, errors.AssertionFailedf("the plot is not SVG")
	}
	return b.Bytes()[at:], nil
}
