package experiment

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Plot writes the report's figure to a file, whose extension (.svg, .png) selects the
// format. It returns an error if the report has no figure or the file cannot be written.
func (r *Report) Plot(file string) error {
	if r.Figure == nil {
		return errors.Errorf("experiment %s has no figure", r.Experiment)
	}
	p := plot.New()
	p.Title.Text = r.Figure.Title
	p.X.Label.Text = r.Figure.X
	p.Y.Label.Text = r.Figure.Y
	p.Legend.Top = true
	for i, series := range r.Figure.Series {
		line, points, err := plotter.NewLinePoints(pointsOf(series))
		if err != nil {
			return errors.Wrapf(err, "plot %s", series.Name)
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		p.Add(line, points)
		p.Legend.Add(series.Name, line, points)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}

func pointsOf(series Line) plotter.XYs {
	points := make(plotter.XYs, len(series.X))
	for i := range series.X {
		points[i] = plotter.XY{X: series.X[i], Y: series.Y[i]}
	}
	return points
}
