package experiment

import (
	"fmt"
	"image/color"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plots.
const (
	plotWidth   = 7 * vg.Inch
	plotHeight  = 3.2 * vg.Inch
	glyphStep   = 0.12
	glyphRadius = vg.Length(3.5)
	lineWidth   = vg.Length(1.2)
	// plotSmoothing is the number of seconds that a point of a series spans.
	plotSmoothing = 5
)

// palette has one colour a policy.
var palette = []color.Color{
	color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
	color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{G: 0x9e, B: 0x73, A: 0xff},
}

// WritePlots draws, for each deployment and number of gateways, the 99th
// percentile of the time to first token by scenario and the goodput over the
// burst, as PNG files in dir.
func WritePlots(dir string, fs []Figures) error {
	for _, set := range sets(fs) {
		name := fmt.Sprintf("%s-%d", set[0].Deployment, set[0].Gateways)
		if err := plotTails(filepath.Join(dir, "ttft-p99-"+name+".png"), set); err != nil {
			return err
		}
		if err := plotBurst(filepath.Join(dir, "burst-goodput-"+name+".png"), set); err != nil {
			return err
		}
	}
	return nil
}

// sets splits the figures by deployment and number of gateways.
func sets(fs []Figures) [][]Figures {
	var out [][]Figures
	for i, f := range fs {
		if i == 0 || f.Deployment != fs[i-1].Deployment || f.Gateways != fs[i-1].Gateways {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], f)
	}
	return out
}

func plotTails(file string, fs []Figures) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Time to first token, p99: %s, %d gateways", fs[0].Deployment, fs[0].Gateways)
	p.Y.Label.Text = "seconds (log)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	scenarios, policies := names(fs)
	for i, policy := range policies {
		points, err := plotter.NewScatter(tailPoints(fs, policy, float64(i-len(policies)/2)*glyphStep))
		if err != nil {
			return errors.Wrap(err, "draw points")
		}
		points.Color, points.Shape, points.Radius = palette[i%len(palette)], plotutil.Shape(i), glyphRadius
		p.Add(points)
		p.Legend.Add(policy, points)
	}
	p.Add(plotter.NewGrid())
	p.NominalX(scenarios...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "write a plot")
}

// tailPoints returns a policy's percentiles, one a scenario, moved sideways.
func tailPoints(fs []Figures, policy string, shift float64) plotter.XYs {
	var out plotter.XYs
	for _, f := range fs {
		if f.Policy == policy {
			out = append(out, plotter.XY{X: float64(len(out)) + shift, Y: max(f.TTFT.P99.Seconds(), 0.01)})
		}
	}
	return out
}

func plotBurst(file string, fs []Figures) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Share of requests answered in time, burst: %s, %d gateways", fs[0].Deployment, fs[0].Gateways)
	p.X.Label.Text, p.Y.Label.Text = "second of arrival", "share"
	p.Y.Min, p.Y.Max = 0, 1.05
	_, policies := names(fs)
	drawn := false
	for i, policy := range policies {
		for _, f := range fs {
			if f.Policy != policy || f.Scenario != "burst" {
				continue
			}
			line, err := plotter.NewLine(smooth(f.Series))
			if err != nil {
				return errors.Wrap(err, "draw a line")
			}
			line.Color, line.Width = palette[i%len(palette)], lineWidth
			p.Add(line)
			p.Legend.Add(policy, line)
			drawn = true
		}
	}
	if !drawn {
		return nil
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "write a plot")
}

// smooth averages a series over the last seconds.
func smooth(series []float64) plotter.XYs {
	out := make(plotter.XYs, 0, len(series))
	for i := plotSmoothing; i < len(series); i++ {
		sum := 0.0
		for _, y := range series[i-plotSmoothing : i] {
			sum += y
		}
		out = append(out, plotter.XY{X: float64(i), Y: sum / plotSmoothing})
	}
	return out
}

// names returns the scenarios and policies in their order.
func names(fs []Figures) (scenarios, policies []string) {
	seen := make(map[string]bool)
	for _, f := range fs {
		if !seen["s"+f.Scenario] {
			seen["s"+f.Scenario] = true
			scenarios = append(scenarios, f.Scenario)
		}
		if !seen["p"+f.Policy] {
			seen["p"+f.Policy] = true
			policies = append(policies, f.Policy)
		}
	}
	return scenarios, policies
}
