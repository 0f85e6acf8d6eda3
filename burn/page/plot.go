// Package page writes a burn report as one HTML page that loads nothing over the
// network: its plots are part of the page.
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

// Sizes in a plot on the page; those without a unit are in points.
const (
	plotWidth   = 17 * vg.Centimeter
	plotHeight  = 6 * vg.Centimeter
	lineWidth   = 1.5
	maxBarWidth = 18
)

const (
	// legendPadding is the distance between the lines of the legend, in points.
	legendPadding = 2
	// legendHeadroom is the ratio of the Y axis to the highest bar, so that the
	// legend fits above the bars.
	legendHeadroom = 1.6
)

const (
	// rateAxisLength is the time that the plot of the burn rate covers.
	rateAxisLength = time.Hour
	// rateHeadroom is the ratio of the Y axis to the highest burn rate.
	rateHeadroom = 1.1
	// failureAxisHours is the time that the plot of failures covers, in hours.
	failureAxisHours = 72
)

// causeColors are colors that people with a color vision deficiency can tell
// apart, too.
var causeColors = map[burn.Cause]color.Color{
	burn.CauseTarget:   color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	burn.CauseOverload: color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
	burn.CausePoison:   color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	burn.CauseProxy:    color.RGBA{G: 0x72, B: 0xb2, A: 0xff},
}

// failingCauses lists the causes in the order in which the bars are stacked.
var failingCauses = []burn.Cause{burn.CauseTarget, burn.CauseOverload, burn.CausePoison, burn.CauseProxy}

// ratePlot draws the burn rate by minute. Minutes without requests leave a gap.
func ratePlot(s burn.ServiceReport, now time.Time) ([]byte, error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TickerFunc(minuteTicks)
	p.Add(plotter.NewGrid())
	objective := burn.Objective{Share: s.Objective}
	for _, run := range rateRuns(s.Minutes, objective) {
		line, points, err := plotter.NewLinePoints(run)
		if err != nil {
			return nil, errors.Wrap(err, "draw the burn rate")
		}
		line.Width = lineWidth
		line.Color = causeColors[burn.CauseProxy]
		points.Shape = draw.CircleGlyph{}
		points.Radius = lineWidth
		points.Color = line.Color
		p.Add(line, points)
	}
	p.X.Max = float64(now.Unix())
	p.X.Min = float64(now.Add(-rateAxisLength).Unix())
	p.Y.Max = max(p.Y.Max, 1) * rateHeadroom
	return render(p)
}

// rateRuns returns the burn rates of each run of consecutive minutes with requests.
func rateRuns(minutes []burn.Point, o burn.Objective) []plotter.XYs {
	var runs []plotter.XYs
	var current plotter.XYs
	for _, m := range minutes {
		if m.Counts.Total() == 0 {
			if len(current) > 0 {
				runs = append(runs, current)
			}
			current = nil
			continue
		}
		current = append(current, plotter.XY{X: float64(m.Start.Unix()), Y: o.Rate(m.Counts)})
	}
	if len(current) > 0 {
		runs = append(runs, current)
	}
	return runs
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
		bars, err := plotter.NewBarChart(values(s.Hours, cause), min(maxBarWidth, plotWidth*0.7/failureAxisHours))
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
	p.X.Min = p.X.Max - failureAxisHours
	p.X.Tick.Marker = plot.TickerFunc(hourTicks)
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 1) * legendHeadroom
	return render(p)
}

// values returns the counts of one cause over time.
func values(points []burn.Point, cause burn.Cause) plotter.Values {
	v := make(plotter.Values, 0, len(points))
	for _, p := range points {
		v = append(v, float64(p.Counts.ByCause(cause)))
	}
	return v
}

// hourNumber returns the number of whole hours since 1970.
func hourNumber(t time.Time) float64 {
	return float64(t.Unix() / int64(time.Hour/time.Second))
}

// Distances between the labels on the axes.
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

// ticksEvery returns ticks at the multiples of a step, given in units of the axis,
// labeled with their times.
func ticksEvery(step int64, low, high float64, unit time.Duration, format string) []plot.Tick {
	var ticks []plot.Tick
	first := (int64(low) + step - 1) / step * step
	for value := first; value <= int64(high); value += step {
		start := time.Unix(0, value*int64(unit)).UTC()
		ticks = append(ticks, plot.Tick{Value: float64(value), Label: start.Format(format)})
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
	start := bytes.Index(b.Bytes(), []byte("<svg"))
	if start < 0 {
		return nil, errors.AssertionFailedf("the plot is not SVG")
	}
	return b.Bytes()[start:], nil
}
