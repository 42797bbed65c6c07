package main

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// write writes the table and a page with a plot.
func write(folder string, results []result) error {
	text := table(results)
	fmt.Print(text)
	if err := os.WriteFile(filepath.Join(folder, "table.md"), []byte(text), 0o600); err != nil {
		return err
	}
	page, err := page(results)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, "restarts.html"), page, 0o600)
}

// table returns one line a case.
func table(results []result) string {
	var out strings.Builder
	out.WriteString("| row | change | end | store | away | routers | seed | asked | kept | of them retried | refused | slowest refusal | failed | broken | reads, writes a router before | since | notes |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range results {
		notes := r.notes
		for _, v := range r.violations[:min(len(r.violations), 1)] {
			notes += "; " + v
		}
		if r.err != nil {
			notes = strings.Join(strings.Fields(r.err.Error()), " ")
		}
		refusal := ""
		if r.slowest > 0 {
			refusal = r.slowest.Round(time.Millisecond).String()
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %d | %d | %d | %d | %d | %d | %s | %d | %d | %d, %d | %d, %d | %s |\n",
			r.row.name(), r.change, r.end, r.store, r.absence, r.size, r.seed, r.asked, r.kept, r.retried, r.refused, refusal, r.failed, r.broken,
			r.before.reads, r.before.writes, r.since.reads, r.since.writes, notes)
	}
	return out.String()
}

const (
	plotWidth = 26 * vg.Centimeter
	// barHeight is the height of a case, plotEdge that around all of them.
	barHeight = 0.5 * vg.Centimeter
	plotEdge  = 3 * vg.Centimeter
)

// drawn are the parts of a case, in the order in which they are stacked.
var drawn = []struct {
	name  string
	count func(outcome) int
	color color.Color
}{
	{"kept", func(o outcome) int { return o.kept }, color.RGBA{R: 90, G: 160, B: 90, A: 255}},
	{"refused", func(o outcome) int { return o.refused }, color.RGBA{R: 230, G: 190, B: 80, A: 255}},
	{"failed", func(o outcome) int { return o.failed }, color.RGBA{R: 150, G: 150, B: 150, A: 255}},
	{"broken", func(o outcome) int { return o.broken }, color.RGBA{R: 200, G: 60, B: 60, A: 255}},
}

// drawing plots one bar a case, the first at the top.
func drawing(results []result) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "What went on after routers had ended", "of those tried"
	p.X.Min = 0
	names := make([]string, len(results))
	for i, r := range results {
		names[len(results)-1-i] = fmt.Sprintf("%s, %s, %s, %s, %s, %d, %d", r.row.name(), r.change, r.end, r.store, r.absence, r.size, r.seed)
	}
	var below *plotter.BarChart
	for _, part := range drawn {
		values := make(plotter.Values, len(results))
		for i, r := range results {
			values[len(results)-1-i] = float64(part.count(r.outcome))
		}
		bars, err := plotter.NewBarChart(values, barHeight*2/3)
		if err != nil {
			return nil, err
		}
		bars.Horizontal, bars.Color, bars.LineStyle.Width = true, part.color, 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(part.name, bars)
	}
	p.NominalY(names...)
	canvas := vgsvg.New(plotWidth, plotEdge+vg.Length(len(results))*barHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, err := canvas.WriteTo(&out)
	return out.Bytes(), err
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Restarts</title></head>
<body><h1>Restarts</h1>
<p>Each bar is a case: row, change, end, store, absence, routers, seed.</p>
{{.Plot}}
<pre>{{.Table}}</pre>
</body></html>
`))

// page returns a page that needs no other file.
func page(results []result) ([]byte, error) {
	var svg []byte
	if len(results) > 0 {
		var err error
		if svg, err = drawing(results); err != nil {
			return nil, err
		}
	}
	// A page cannot hold the declaration of an XML file.
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	var out bytes.Buffer
	err := pageTemplate.Execute(&out, struct {
		Table string
		Plot  template.HTML
	}{table(results), template.HTML(svg)})
	return out.Bytes(), err
}
