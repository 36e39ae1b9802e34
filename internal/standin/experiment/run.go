package experiment

import (
	"golang.org/x/sync/errgroup"
)

// Options select the runs. An empty list of deployments, scenarios or policies
// selects all; Gateways needs at least one number.
type Options struct {
	Deployments []string
	Scenarios   []string
	Policies    []string
	Gateways    []int
	Seed        uint64
	// Parallel is the number of concurrent runs; values below 1 mean 1.
	Parallel int
}

// Run runs every selected combination and returns the results by deployment,
// number of gateways, scenario and policy.
func Run(o Options) []Result { return RunPolicies(o, Policies()) }

// RunPolicies is like Run, with the given policies in place of Policies.
func RunPolicies(o Options, policies []Policy) []Result {
	var runs []func() Result
	for _, d := range Deployments() {
		for _, n := range o.Gateways {
			for _, sc := range Scenarios() {
				for _, p := range policies {
					if !isSelected(o.Deployments, d.Name) || !isSelected(o.Scenarios, sc.Name) || !isSelected(o.Policies, p.Name) {
						continue
					}
					runs = append(runs, func() Result { return newSim(d.withGateways(n), sc, p, o.Seed).run() })
				}
			}
		}
	}
	out := make([]Result, len(runs))
	var g errgroup.Group
	g.SetLimit(max(o.Parallel, 1))
	for i, run := range runs {
		g.Go(func() error {
			out[i] = run()
			return nil
		})
	}
	_ = g.Wait()
	return out
}

func isSelected(list []string, name string) bool {
	if len(list) == 0 {
		return true
	}
	for _, x := range list {
		if x == name {
			return true
		}
	}
	return false
}
