package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// point is one measurement: cost Y at size X.
type point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// fit is the least-squares line through a series.
type fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the root mean square deviation from the line, in units of Y.
	Residual float64 `json:"residual"`
}

// series is a quantity Y measured at several values of a quantity X.
type series struct {
	Name string `json:"name"`
	// X and Y name the quantities with their units.
	X      string  `json:"x"`
	Y      string  `json:"y"`
	Points []point `json:"points"`
	Fit    fit     `json:"fit"`
}

// fitLine returns the least-squares line; its slope is 0 when all X are equal.
func fitLine(ps []point) fit {
	n := float64(len(ps))
	if n == 0 {
		return fit{}
	}
	var mx, my, sxx, sxy float64
	for _, p := range ps {
		mx += p.X / n
		my += p.Y / n
	}
	for _, p := range ps {
		sxx += (p.X - mx) * (p.X - mx)
		sxy += (p.X - mx) * (p.Y - my)
	}
	f := fit{Intercept: my}
	if sxx > 0 {
		f.Slope = sxy / sxx
		f.Intercept = my - f.Slope*mx
	}
	var sum float64
	for _, p := range ps {
		d := p.Y - f.Intercept - f.Slope*p.X
		sum += d * d
	}
	f.Residual = math.Sqrt(sum / n)
	return f
}

// report collects the series, in the order of their first points.
type report struct {
	// LoadBefore and LoadAfter are the host's one-minute load averages.
	LoadBefore string    `json:"loadBefore"`
	LoadAfter  string    `json:"loadAfter"`
	Series     []*series `json:"series"`
}

func (r *report) add(name, x, y string, xv, yv float64) {
	for _, s := range r.Series {
		if s.Name == name {
			s.Points = append(s.Points, point{xv, yv})
			return
		}
	}
	r.Series = append(r.Series, &series{Name: name, X: x, Y: y, Points: []point{{xv, yv}}})
}

func (r *report) fit() {
	for _, s := range r.Series {
		s.Fit = fitLine(s.Points)
	}
}

func (r *report) writeJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(r))
}

func (r *report) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "slope\tagainst\tunit\tintercept\tslope\tresidual\tpoints")
	for _, s := range r.Series {
		points := ""
		for _, p := range s.Points {
			points += number(p.X) + ":" + number(p.Y) + " "
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			s.Name, s.X, s.Y, number(s.Fit.Intercept), number(s.Fit.Slope), number(s.Fit.Residual), points)
	}
	_, _ = fmt.Fprintf(t, "load average\t\t\t%s\t%s\n", r.LoadBefore, r.LoadAfter)
	return trace.Wrap(t.Flush())
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
