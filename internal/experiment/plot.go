package experiment

import (
	"image/color"
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot. Many marks widen it, so that their texts stay apart.
const (
	plotWidth    = 18 * vg.Centimeter
	plotHeight   = 11 * vg.Centimeter
	maxPlotWidth = 120 * vg.Centimeter
	markWidth    = 0.45 * vg.Centimeter
	markFontSize = 6 // points
)

// Plot writes the report's figure to a file, whose extension (.svg, .png) selects the
// format. It returns an error if the report has no figure or the file cannot be written.
func (r *Report) Plot(file string) error {
	if r.Figure == nil {
		return errors.Errorf("experiment %s has no figure", r.Experiment)
	}
	return r.Figure.Plot(file)
}

// Plot writes the figure to a file, whose extension (.svg, .png) selects the format.
func (f *Figure) Plot(file string) error {
	p := plot.New()
	p.Title.Text = f.Title
	p.X.Label.Text = f.X
	p.Y.Label.Text = f.Y
	p.Legend.Top = true
	for i, series := range f.Series {
		line, points, err := plotter.NewLinePoints(pointsOf(series))
		if err != nil {
			return errors.Wrapf(err, "plot %s", series.Name)
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		p.Add(line, points)
		p.Legend.Add(series.Name, line, points)
	}
	if err := f.addMarks(p); err != nil {
		return err
	}
	width := min(max(plotWidth, markWidth*vg.Length(len(f.Marks))), maxPlotWidth)
	return errors.Wrap(p.Save(width, plotHeight, file), "save plot")
}

// addMarks draws the marks over the whole height of the plot.
func (f *Figure) addMarks(p *plot.Plot) error {
	bottom, top := p.Y.Min, p.Y.Max
	for _, mark := range f.Marks {
		line, err := plotter.NewLine(plotter.XYs{{X: mark.X, Y: bottom}, {X: mark.X, Y: top}})
		if err != nil {
			return errors.Wrapf(err, "plot mark %q", mark.Text)
		}
		line.Color = color.Gray{Y: 0x99}
		line.Dashes = plotutil.Dashes(1)
		text, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: mark.X, Y: bottom}}, Labels: []string{mark.Text}})
		if err != nil {
			return errors.Wrapf(err, "plot mark %q", mark.Text)
		}
		text.Offset.X = markFontSize
		text.TextStyle[0].Rotation = math.Pi / 2
		text.TextStyle[0].Font.Size = markFontSize
		p.Add(line, text)
	}
	return nil
}

func pointsOf(series Line) plotter.XYs {
	points := make(plotter.XYs, len(series.X))
	for i := range series.X {
		points[i] = plotter.XY{X: series.X[i], Y: series.Y[i]}
	}
	return points
}
