package main

import (
	"bytes"
	"fmt"
	"html/template"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// write writes the table of all sites and a page with a plot for each.
func write(folder string, results []*result) error {
	text := table(results)
	fmt.Print(text)
	if err := os.WriteFile(filepath.Join(folder, "table.md"), []byte(text), 0o600); err != nil {
		return err
	}
	for _, r := range results {
		page, err := r.page()
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, name(r.site)+".html"), page, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// table returns the least degrees, and what was seen there.
func table(results []*result) string {
	var out strings.Builder
	out.WriteString("| site | trouble | breaks a rule from | rules | serves a tenth less from | served there, calm |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range results {
		for i, t := range r.troubles {
			breaks, drops := r.breaks[i], r.drops[i]
			served := ""
			if drops.found {
				served = fmt.Sprintf("%.3f, %.3f", drops.harmful.served, r.calm.served)
			}
			fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %s |\n", name(r.site), t.Name, breaks, strings.Join(breaks.harmful.broken, " "), drops, served)
		}
	}
	return out.String()
}

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// draw plots what is served at each degree played, with a ring where a rule was broken.
func (r *result) draw() ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = name(r.site), "degree", "served"
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, 1, 0, 1
	p.Legend.Top = false
	for i, t := range r.troubles {
		points := r.points[t.Name]
		line, rings := plotter.XYs{{X: 0, Y: r.calm.served}}, plotter.XYs(nil)
		for _, degree := range slices.Sorted(maps.Keys(points)) {
			at := plotter.XY{X: degree, Y: points[degree].served}
			line = append(line, at)
			if len(points[degree].broken) > 0 {
				rings = append(rings, at)
			}
		}
		served, err := plotter.NewLine(line)
		if err != nil {
			return nil, err
		}
		served.Color, served.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
		p.Add(served)
		p.Legend.Add(t.Name, served)
		if len(rings) == 0 {
			continue
		}
		broken, err := plotter.NewScatter(rings)
		if err != nil {
			return nil, err
		}
		broken.Color, broken.Radius = plotutil.Color(i), vg.Points(5)
		p.Add(broken)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, err := canvas.WriteTo(&out)
	return out.Bytes(), err
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title></head>
<body><h1>{{.Title}}</h1>
<p>Served by the degree of each trouble; a ring where a rule was broken.</p>
{{.Plot}}
<pre>{{.Table}}</pre>
</body></html>
`))

// page returns a page that needs no other file.
func (r *result) page() ([]byte, error) {
	svg, err := r.draw()
	if err != nil {
		return nil, err
	}
	// A page cannot hold the declaration of an XML file.
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	var out bytes.Buffer
	err = pageTemplate.Execute(&out, struct {
		Title, Table string
		Plot         template.HTML
	}{"Degrees of trouble, " + name(r.site), table([]*result{r}), template.HTML(svg)})
	return out.Bytes(), err
}
