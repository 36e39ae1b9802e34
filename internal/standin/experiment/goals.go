package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of the goals for the product's scheduler.
const (
	// maxTTFTRatio bounds the ratio of TTFT p99 to that of the all-seeing
	// scheduler.
	maxTTFTRatio = 1.15
	// maxOffsetPeakTTFTRatio bounds the ratio of TTFT p99 to that of round robin,
	// in the scenario offset-peak.
	maxOffsetPeakTTFTRatio = 0.5
	// maxForwardedShareRatio bounds the ratio of the forwarded share to that of the
	// all-seeing scheduler, in the deployment whose weights rank it highest.
	maxForwardedShareRatio = 1.1
	// maxRecoverySeconds bounds the time to 95% goodput after the burst.
	maxRecoverySeconds = 30.0
	// maxTTFTP95Seconds and maxTokenIntervalP95Seconds bound the 95th percentiles
	// at the load that the deployment is sized for.
	maxTTFTP95Seconds          = 0.62
	maxTokenIntervalP95Seconds = 0.079
)

// Goal is the value that one run reached for one goal. Run is
// deployment/gateways/scenario; values above Bound miss the goal.
type Goal struct {
	Run   string
	Name  string
	Value float64
	Bound float64
}

// IsMet reports whether the value is within the bound.
func (g Goal) IsMet() bool { return g.Value <= g.Bound }

// EvaluateGoals compares the policy "ours" with the bounds and with the other
// policies of the same deployment, number of gateways and scenario. Goals whose
// policies are missing from results are left out.
func EvaluateGoals(results []Result) []Goal {
	byPolicy := make(map[string]map[string]Result)
	var runs []string
	for _, r := range results {
		run := fmt.Sprintf("%s/%d/%s", r.Deployment, r.Gateways, r.Scenario)
		if byPolicy[run] == nil {
			byPolicy[run] = make(map[string]Result)
			runs = append(runs, run)
		}
		byPolicy[run][r.Policy] = r
	}
	var out []Goal
	for _, run := range runs {
		out = append(out, goalsOfRun(run, byPolicy[run])...)
	}
	return out
}

func goalsOfRun(run string, results map[string]Result) []Goal {
	ours, ok := results["ours"]
	if !ok {
		return nil
	}
	out := []Goal{{run, "low before high priority", float64(ours.SameQueueInversions + ours.OtherQueueInversions), 0}}
	if exact, ok := results["all-seeing"]; ok {
		out = append(out, Goal{run, "ttft p99 / all-seeing", durationRatio(ours.TTFT.P99, exact.TTFT.P99), maxTTFTRatio})
		if ours.Deployment == "tuul" {
			out = append(out, Goal{run, "share away - 1.1 x all-seeing", ours.ForwardedShare - maxForwardedShareRatio*exact.ForwardedShare, 0})
		}
	}
	if robin, ok := results["round-robin"]; ok && ours.Scenario == "offset-peak" {
		out = append(out, Goal{run, "ttft p99 / round robin", durationRatio(ours.TTFT.P99, robin.TTFT.P99), maxOffsetPeakTTFTRatio})
	}
	switch ours.Scenario {
	case "sized":
		out = append(out, Goal{run, "ttft p95 (s)", ours.TTFT.P95.Seconds(), maxTTFTP95Seconds},
			Goal{run, "gap p95 (s)", ours.TokenIntervalP95.Seconds(), maxTokenIntervalP95Seconds})
	case "burst":
		out = append(out, Goal{run, "recovery (s)", recoverySeconds(ours), maxRecoverySeconds})
	}
	return out
}

// recoverySeconds returns the time to recover, or the length of the run if goodput
// didn't recover.
func recoverySeconds(r Result) float64 {
	if r.Recovery < 0 {
		return float64(len(r.GoodputBySecond))
	}
	return r.Recovery.Seconds()
}

// durationRatio returns a/b, or 0 if b is 0.
func durationRatio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// WriteGoals prints each goal with its value, bound and verdict, and the number of
// missed goals.
func WriteGoals(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	missed := 0
	all := EvaluateGoals(results)
	for _, g := range all {
		verdict := "met"
		if !g.IsMet() {
			verdict = "MISSED"
			missed++
		}
		fmt.Fprintf(tw, "%s\t%s\t%.3f\tgoal %.3f\t%s\n", g.Run, g.Name, g.Value, g.Bound, verdict)
	}
	fmt.Fprintf(tw, "%d of %d goals missed\n", missed, len(all))
	return errors.Wrap(tw.Flush(), "write table of goals")
}
