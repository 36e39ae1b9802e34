package experiment

import (
	"golang.org/x/sync/errgroup"
)

// Options choose what to run. Empty lists mean all.
type Options struct {
	Deployments []string
	Scenarios   []string
	Policies    []string
	Gateways    []int
	Seed        uint64
	// Parallel bounds the runs at the same time.
	Parallel int
}

// Run plays every chosen combination and returns the figures in a fixed order.
func Run(o Options) []Figures { return RunPolicies(o, Policies()) }

// RunPolicies is Run with the given policies.
func RunPolicies(o Options, policies []Policy) []Figures {
	var sims []func() Figures
	for _, d := range Deployments() {
		for _, n := range o.Gateways {
			for _, sc := range Scenarios() {
				for _, p := range policies {
					if !chosen(o.Deployments, d.Name) || !chosen(o.Scenarios, sc.Name) || !chosen(o.Policies, p.Name) {
						continue
					}
					sims = append(sims, func() Figures { return newSim(d.withGateways(n), sc, p, o.Seed).run() })
				}
			}
		}
	}
	out := make([]Figures, len(sims))
	var g errgroup.Group
	g.SetLimit(max(o.Parallel, 1))
	for i, run := range sims {
		g.Go(func() error {
			out[i] = run()
			return nil
		})
	}
	_ = g.Wait()
	return out
}

func chosen(list []string, name string) bool {
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
