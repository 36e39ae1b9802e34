package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// The goals for the product's scheduler.
const (
	// maxTailRatio bounds ttft p99 against the all-seeing scheduler's.
	maxTailRatio = 1.15
	// maxPeakRatio bounds ttft p99 at the offset peak against round robin's.
	maxPeakRatio = 0.5
	// maxAwayRatio bounds the share sent away against the all-seeing
	// scheduler's, under weights that care most for it.
	maxAwayRatio = 1.1
	// maxRecovery bounds the time to 95% goodput after the burst, in seconds.
	maxRecovery = 30.0
	// maxTTFT and maxGap bound the 95th percentiles at the sized load, in
	// seconds.
	maxTTFT    = 0.62
	maxGapTime = 0.079
)

// Goal is one goal in one run.
type Goal struct {
	Run   string
	Name  string
	Value float64
	Bound float64
}

// Met says whether the goal is met.
func (g Goal) Met() bool { return g.Value <= g.Bound }

// Goals judges the policy "ours" by the other policies of the same runs.
func Goals(fs []Figures) []Goal {
	byPolicy := make(map[string]map[string]Figures)
	var runs []string
	for _, f := range fs {
		run := fmt.Sprintf("%s/%d/%s", f.Deployment, f.Gateways, f.Scenario)
		if byPolicy[run] == nil {
			byPolicy[run] = make(map[string]Figures)
			runs = append(runs, run)
		}
		byPolicy[run][f.Policy] = f
	}
	var out []Goal
	for _, run := range runs {
		out = append(out, goalsOf(run, byPolicy[run])...)
	}
	return out
}

func goalsOf(run string, fs map[string]Figures) []Goal {
	ours, ok := fs["ours"]
	if !ok {
		return nil
	}
	out := []Goal{{run, "low before high priority", float64(ours.OwnInversions + ours.OtherInversions), 0}}
	if exact, ok := fs["all-seeing"]; ok {
		out = append(out, Goal{run, "ttft p99 / all-seeing", over(ours.TTFT.P99, exact.TTFT.P99), maxTailRatio})
		if ours.Deployment == "tuul" {
			out = append(out, Goal{run, "share away - 1.1 x all-seeing", ours.Away - maxAwayRatio*exact.Away, 0})
		}
	}
	if robin, ok := fs["round-robin"]; ok && ours.Scenario == "offset-peak" {
		out = append(out, Goal{run, "ttft p99 / round robin", over(ours.TTFT.P99, robin.TTFT.P99), maxPeakRatio})
	}
	switch ours.Scenario {
	case "sized":
		out = append(out, Goal{run, "ttft p95 (s)", ours.TTFT.P95.Seconds(), maxTTFT}, Goal{run, "gap p95 (s)", ours.Gap95.Seconds(), maxGapTime})
	case "burst":
		out = append(out, Goal{run, "recovery (s)", recoverySeconds(ours), maxRecovery})
	}
	return out
}

// recoverySeconds is the time to recover; a run that never did counts as its
// length.
func recoverySeconds(f Figures) float64 {
	if f.Recovery < 0 {
		return float64(len(f.Series))
	}
	return f.Recovery.Seconds()
}

func over(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// WriteGoals prints the goals, met and missed.
func WriteGoals(w io.Writer, fs []Figures) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	missed := 0
	all := Goals(fs)
	for _, g := range all {
		verdict := "met"
		if !g.Met() {
			verdict = "MISSED"
			missed++
		}
		fmt.Fprintf(tw, "%s\t%s\t%.3f\tgoal %.3f\t%s\n", g.Run, g.Name, g.Value, g.Bound, verdict)
	}
	fmt.Fprintf(tw, "%d of %d goals missed\n", missed, len(all))
	return errors.Wrap(tw.Flush(), "write the goals")
}
