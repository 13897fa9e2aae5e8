package load

import (
	"image/color"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// PlotRatio writes the distribution of response time over ideal by kind to a
// file whose suffix, .svg or .png, gives the format.
func (r Result) PlotRatio(file string) error {
	p := newPlot(r, "response time / ideal", "share of complete work")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Min, p.X.Max = 1, 2 // a log scale needs a range above 0
	return r.saveLines(p, file, func(k KindResult) plotter.XYs {
		var xy plotter.XYs
		for _, pt := range k.CDF {
			xy = append(xy, plotter.XY{X: max(pt.Value, 1e-3), Y: pt.Share})
		}
		return xy
	})
}

// PlotGoodput writes the complete work a second over time by kind to a file.
func (r Result) PlotGoodput(file string) error {
	p := newPlot(r, "time (s)", "complete (1/s)")
	return r.saveLines(p, file, func(k KindResult) plotter.XYs {
		var xy plotter.XYs
		for i, n := range k.Series {
			xy = append(xy, plotter.XY{X: float64(i), Y: float64(n)})
		}
		return xy
	})
}

func newPlot(r Result, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = r.Run, x, y
	p.BackgroundColor = color.White
	p.Legend.Top = false
	return p
}

func (r Result) saveLines(p *plot.Plot, file string, points func(KindResult) plotter.XYs) error {
	for i, k := range r.Kinds {
		xy := points(k)
		if len(xy) < 2 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return trace.Wrap(err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(k.Name, line)
	}
	return trace.Wrap(p.Save(plotWidth, plotHeight, file))
}
