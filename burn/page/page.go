package page

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"filbertmill.example/burn"
)

//go:embed page.html
var templateText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": burn.FormatPercent,
	"span":    burn.FormatSeconds,
	"rate":    burn.FormatRate,
	"moment":  func(t time.Time) string { return t.UTC().Format("2 January 2006 15:04:05 UTC") },
}).Parse(templateText))

// service is a service's report with its plots.
type service struct {
	burn.ServiceReport
	RatePlot    template.HTML
	FailurePlot template.HTML
}

// content is the data of pageTemplate.
type content struct {
	*burn.Report
	Drawn []service
}

// Write writes the report as one HTML page.
func Write(out io.Writer, r *burn.Report) error {
	c := content{Report: r}
	for _, s := range r.Services {
		drawn, err := drawService(s, r.Time)
		if err != nil {
			return err
		}
		c.Drawn = append(c.Drawn, drawn)
	}
	return pageTemplate.Execute(out, c)
}

// drawService draws the plots of a service. A plot is left out if there are no
// counts to draw.
func drawService(s burn.ServiceReport, now time.Time) (service, error) {
	drawn := service{ServiceReport: s}
	if len(s.Minutes) > 0 {
		svg, err := ratePlot(s, now)
		if err != nil {
			return drawn, err
		}
		drawn.RatePlot = template.HTML(svg)
	}
	if len(s.Hours) > 0 {
		svg, err := failurePlot(s, now)
		if err != nil {
			return drawn, err
		}
		drawn.FailurePlot = template.HTML(svg)
	}
	return drawn, nil
}
