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

// Dimensions of the plots.
const (
	plotWidth   = 7 * vg.Inch
	plotHeight  = 3.2 * vg.Inch
	glyphStep   = 0.12
	glyphRadius = vg.Length(3.5)
	lineWidth   = vg.Length(1.2)
	// movingAverageSeconds is the window of the moving average.
	movingAverageSeconds = 5
)

// policyColors has one colour per policy, in the order of Policies.
var policyColors = []color.Color{
	color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
	color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{G: 0x9e, B: 0x73, A: 0xff},
}

// WritePlots writes PNG files to dir, for each deployment and number of gateways:
// the 99th percentile of the time to first token by scenario, and the goodput over
// time in the scenario burst, if it was run.
func WritePlots(dir string, results []Result) error {
	for _, set := range splitByDeploymentSize(results) {
		name := fmt.Sprintf("%s-%d", set[0].Deployment, set[0].Gateways)
		if err := plotTTFT(filepath.Join(dir, "ttft-p99-"+name+".png"), set); err != nil {
			return err
		}
		if err := plotBurst(filepath.Join(dir, "burst-goodput-"+name+".png"), set); err != nil {
			return err
		}
	}
	return nil
}

// splitByDeploymentSize groups consecutive results of the same deployment and
// number of gateways.
func splitByDeploymentSize(results []Result) [][]Result {
	var out [][]Result
	for i, r := range results {
		if i == 0 || r.Deployment != results[i-1].Deployment || r.Gateways != results[i-1].Gateways {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], r)
	}
	return out
}

func plotTTFT(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Time to first token, p99: %s, %d gateways", results[0].Deployment, results[0].Gateways)
	p.Y.Label.Text = "seconds (log)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	scenarios, policies := scenarioAndPolicyNames(results)
	for i, policy := range policies {
		points, err := plotter.NewScatter(ttftPoints(results, policy, float64(i-len(policies)/2)*glyphStep))
		if err != nil {
			return errors.Wrap(err, "plot TTFT p99 of a policy")
		}
		points.Color, points.Shape, points.Radius = policyColors[i%len(policyColors)], plotutil.Shape(i), glyphRadius
		p.Add(points)
		p.Legend.Add(policy, points)
	}
	p.Add(plotter.NewGrid())
	p.NominalX(scenarios...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save TTFT plot")
}

// ttftPoints returns a policy's 99th percentiles in seconds, one per scenario,
// shifted along the x axis so that policies don't cover each other. Values are at
// least 0.01 because the axis is logarithmic.
func ttftPoints(results []Result, policy string, shift float64) plotter.XYs {
	var out plotter.XYs
	for _, r := range results {
		if r.Policy == policy {
			out = append(out, plotter.XY{X: float64(len(out)) + shift, Y: max(r.TTFT.P99.Seconds(), 0.01)})
		}
	}
	return out
}

func plotBurst(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Share of requests answered in time, burst: %s, %d gateways", results[0].Deployment, results[0].Gateways)
	p.X.Label.Text, p.Y.Label.Text = "second of arrival", "share"
	p.Y.Min, p.Y.Max = 0, 1.05
	_, policies := scenarioAndPolicyNames(results)
	drawn := false
	for i, policy := range policies {
		for _, r := range results {
			if r.Policy != policy || r.Scenario != "burst" {
				continue
			}
			line, err := plotter.NewLine(movingAverage(r.GoodputBySecond))
			if err != nil {
				return errors.Wrap(err, "plot goodput of a policy")
			}
			line.Color, line.Width = policyColors[i%len(policyColors)], lineWidth
			p.Add(line)
			p.Legend.Add(policy, line)
			drawn = true
		}
	}
	if !drawn {
		return nil
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save burst plot")
}

// movingAverage averages a series of values per second over the preceding
// movingAverageSeconds.
func movingAverage(series []float64) plotter.XYs {
	out := make(plotter.XYs, 0, len(series))
	for i := movingAverageSeconds; i < len(series); i++ {
		sum := 0.0
		for _, y := range series[i-movingAverageSeconds : i] {
			sum += y
		}
		out = append(out, plotter.XY{X: float64(i), Y: sum / movingAverageSeconds})
	}
	return out
}

// scenarioAndPolicyNames returns the distinct scenarios and policies in order of
// first appearance.
func scenarioAndPolicyNames(results []Result) (scenarios, policies []string) {
	seen := make(map[string]bool)
	for _, r := range results {
		if !seen["s"+r.Scenario] {
			seen["s"+r.Scenario] = true
			scenarios = append(scenarios, r.Scenario)
		}
		if !seen["p"+r.Policy] {
			seen["p"+r.Policy] = true
			policies = append(policies, r.Policy)
		}
	}
	return scenarios, policies
}
