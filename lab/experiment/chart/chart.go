// Package chart draws the time lines of an experiment: for each policy the
// demand, the engines by role, the goodput and the role changes.
package chart

import (
	"fmt"
	"image/color"
	"io"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/landingtrail/landingtrail/lab/emulator"
	"github.com/landingtrail/landingtrail/lab/experiment"
)

// ErrNoRuns is returned for a report without runs.
var ErrNoRuns = errors.New("report has no runs to draw")

const (
	columnWidth = 3.6 * vg.Inch
	rowHeight   = 1.9 * vg.Inch
	tilePad     = 0.12 * vg.Inch
	lineWidth   = vg.Length(1.2)
	// smoothing is how many samples make one point of a rate.
	smoothing = 3
	// outputScale brings output tokens to the height of prompt tokens.
	outputScale = 5
)

var (
	blue   = color.RGBA{R: 31, G: 95, B: 180, A: 255}
	orange = color.RGBA{R: 214, G: 106, B: 18, A: 255}
	green  = color.RGBA{R: 36, G: 140, B: 60, A: 255}
	gray   = color.RGBA{R: 150, G: 150, B: 150, A: 255}
)

// line is one curve of a panel.
type line struct {
	name  string
	color color.Color
	steps bool
	value func(run *experiment.PolicyRun) plotter.XYs
}

// panel is one row of the chart, the same for each policy.
type panel struct {
	label string
	lines []line
}

var panels = []panel{
	{"offered tokens/s", []line{
		{"prompt", blue, false, rate(func(s emulator.Sample) float64 { return float64(s.PromptTokens) })},
		{fmt.Sprintf("output x%d", outputScale), orange, false, rate(func(s emulator.Sample) float64 { return outputScale * float64(s.OutputTokens) })},
	}},
	{"serving engines", []line{
		{"prefill", blue, true, engines(func(s emulator.Sample) int { return s.Split.Prefill })},
		{"decode", orange, true, engines(func(s emulator.Sample) int { return s.Split.Decode })},
		{"mixed", green, true, engines(func(s emulator.Sample) int { return s.Split.Mixed })},
	}},
	{"goodput, tokens/s", []line{
		{"offered", gray, false, rate(func(s emulator.Sample) float64 { return float64(s.PromptTokens + s.OutputTokens) })},
		{"in deadline", green, false, rate(func(s emulator.Sample) float64 { return float64(s.UsefulTokens) })},
	}},
	{"role changes so far", []line{{"changes", blue, true, changes}}},
}

// WriteSVG draws a report, a column for each policy and a row for each panel.
// Axes of a row have the same range, so that columns can be compared. It
// returns ErrNoRuns for a report without runs.
func WriteSVG(to io.Writer, report *experiment.Report) error {
	if len(report.Runs) == 0 {
		return ErrNoRuns
	}
	plots := make([][]*plot.Plot, len(panels))
	for row, drawn := range panels {
		for column := range report.Runs {
			made, err := drawn.plot(&report.Runs[column], row == 0)
			if err != nil {
				return err
			}
			plots[row] = append(plots[row], made)
		}
		shareRange(plots[row])
	}
	width, height := columnWidth*vg.Length(len(report.Runs)), rowHeight*vg.Length(len(panels))
	image := vgsvg.New(width, height)
	tiles := draw.Tiles{
		Rows: len(panels), Cols: len(report.Runs),
		PadX: tilePad, PadY: tilePad, PadTop: tilePad, PadBottom: tilePad, PadLeft: tilePad, PadRight: tilePad,
	}
	canvases := plot.Align(plots, tiles, draw.New(image))
	for row := range plots {
		for column, one := range plots[row] {
			one.Draw(canvases[row][column])
		}
	}
	_, err := image.WriteTo(to)
	return errors.Wrap(err, "write SVG")
}

func (p panel) plot(run *experiment.PolicyRun, first bool) (*plot.Plot, error) {
	made := plot.New()
	if first {
		made.Title.Text = fmt.Sprintf("%s: %.0f tokens/s, %d changes", run.Policy, run.Goodput, run.RoleChanges)
	}
	made.Y.Label.Text = p.label
	made.X.Label.Text = "minutes"
	made.X.Min, made.X.Max = 0, minutes(run.Result.Duration)
	made.Y.Min = 0
	made.Legend.Top = true
	for _, one := range p.lines {
		drawn, err := plotter.NewLine(one.value(run))
		if err != nil {
			return nil, errors.Wrap(err, p.label)
		}
		drawn.Color, drawn.Width = one.color, lineWidth
		if one.steps {
			drawn.StepStyle = plotter.PostStep
		}
		made.Add(drawn)
		made.Legend.Add(one.name, drawn)
	}
	return made, nil
}

// shareRange gives the plots of a row the same vertical axis, with room for the legend.
func shareRange(row []*plot.Plot) {
	const legendRoom = 1.35
	highest := 1.0
	for _, one := range row {
		highest = max(highest, one.Y.Max)
	}
	for _, one := range row {
		one.Y.Min, one.Y.Max = 0, highest*legendRoom
	}
}

func minutes(at time.Duration) float64 { return at.Minutes() }

// rate turns counts of samples into rates a second, averaged over some samples.
func rate(count func(emulator.Sample) float64) func(*experiment.PolicyRun) plotter.XYs {
	return func(run *experiment.PolicyRun) plotter.XYs {
		samples := run.Result.Samples
		var points plotter.XYs
		for first := 0; first+smoothing <= len(samples); first += smoothing {
			sum := 0.0
			for _, sample := range samples[first : first+smoothing] {
				sum += count(sample)
			}
			span := smoothing * emulator.DefaultSampleInterval
			middle := samples[first].At + span/2
			points = append(points, plotter.XY{X: minutes(middle), Y: sum / span.Seconds()})
		}
		return points
	}
}

func engines(count func(emulator.Sample) int) func(*experiment.PolicyRun) plotter.XYs {
	return func(run *experiment.PolicyRun) plotter.XYs {
		var points plotter.XYs
		for _, sample := range run.Result.Samples {
			points = append(points, plotter.XY{X: minutes(sample.At), Y: float64(count(sample))})
		}
		return points
	}
}

func changes(run *experiment.PolicyRun) plotter.XYs {
	points := plotter.XYs{{}}
	for i, change := range run.Result.Changes {
		points = append(points, plotter.XY{X: minutes(change.At), Y: float64(i + 1)})
	}
	return append(points, plotter.XY{X: minutes(run.Result.Duration), Y: float64(len(run.Result.Changes))})
}
