package experimenter

import (
	"bytes"
	"html/template"
	"io"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// plottedOutcomes are the outcomes that have a plot each.
var plottedOutcomes = []Outcome{OutcomeOnTime, OutcomeLate, OutcomeRefused, OutcomeFailed}

// pageTemplate is the report as HTML; this program draws the plots, so they contain no text from outside.
var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html><head><meta charset="utf-8"><title>{{.Report.Scenario}}</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}td:first-child,th:first-child{text-align:left}</style>
</head><body><h1>{{.Report.Scenario}}</h1>
<table><tr><th>policy</th><th>served</th><th>on time</th><th>refused</th><th>failed</th><th>first p50 ms</th><th>first p99 ms</th></tr>
{{range .Report.Means}}<tr><td>{{.Policy}}</td><td>{{printf "%.3f" .Served}}</td><td>{{printf "%.3f" .OnTime}}</td>
<td>{{printf "%.1f" .Refused}}</td><td>{{printf "%.1f" .Failed}}</td><td>{{printf "%.0f" .FirstP50}}</td><td>{{printf "%.0f" .FirstP99}}</td></tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
</body></html>
`))

type outcomePlot struct {
	Title Outcome
	SVG   template.HTML
}

// WriteHTML writes the report as an HTML page with a plot of each outcome over time.
func (r *Report) WriteHTML(w io.Writer) error {
	var plots []outcomePlot
	for _, o := range plottedOutcomes {
		svg, err := r.drawOutcome(o)
		if err != nil {
			return errors.Wrapf(err, "draw plot of %s", o)
		}
		plots = append(plots, outcomePlot{Title: o, SVG: template.HTML(svg)}) //nolint:gosec // drawn by this program
	}
	return pageTemplate.Execute(w, struct {
		Report *Report
		Plots  []outcomePlot
	}{r, plots})
}

// drawOutcome returns an SVG plot of the requests per second with an outcome, as the mean over the seeds of each policy.
func (r *Report) drawOutcome(o Outcome) (string, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "second", "requests"
	p.Legend.Top = true
	for i, policy := range r.policies() {
		line, err := plotter.NewLine(r.series(policy, o))
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(policy, line)
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := writer.WriteTo(&b); err != nil {
		return "", err
	}
	// An HTML page must contain only the element, without the XML header.
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i >= 0 {
		text = text[i:]
	}
	return string(text), nil
}

func (r *Report) policies() []string {
	var out []string
	for _, m := range r.Means() {
		out = append(out, m.Policy)
	}
	return out
}

func (r *Report) series(policy string, o Outcome) plotter.XYs {
	var sums []float64
	runs := 0.0
	for _, result := range r.Results {
		if result.Policy != policy {
			continue
		}
		runs++
		for i, s := range result.Seconds {
			if i == len(sums) {
				sums = append(sums, 0)
			}
			sums[i] += float64(s[o])
		}
	}
	out := make(plotter.XYs, len(sums))
	for i, n := range sums {
		out[i].X, out[i].Y = float64(i), n/runs
	}
	return out
}
