// Package experiment measures the product's scheduler, data layer and
// admission against other policies, in virtual time. Engines are modelled by
// package model, links as a delay and a shared bandwidth, and gateways as the
// product's own pure code, each with its own lagged state. The same options
// give the same result.
package experiment

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// group is the one group of engines.
const group = "engines"

// Deployment is one user's system.
type Deployment struct {
	Name    string
	Regions []RegionSize
	Link    intent.Link
	Routing intent.Routing
	Engine  model.Config
	// MaxConcurrent bounds the requests at one engine.
	MaxConcurrent int
	Mix           Mix
	// SizedRate is the requests a second for each engine that the deployment
	// is sized for.
	SizedRate float64
}

// RegionSize is a region and what stands in it.
type RegionSize struct {
	Name     string
	Engines  int
	Gateways int
}

// Mix describes the requests of a deployment.
type Mix struct {
	// LongShare is the share of long requests, 0 to 1.
	LongShare float64
	// Documents is the number of shared prefixes in a region.
	Documents int
	// DocumentTokens and LongOutput are ranges in tokens.
	DocumentTokens [2]int
	LongOutput     [2]int
	ShortPrompt    [2]int
	ShortOutput    [2]int
	// HomeBound is the share of requests that may not leave their region.
	HomeBound float64
	// LongDeadline and ShortDeadline bound the whole answer.
	LongDeadline  time.Duration
	ShortDeadline time.Duration
}

// Deployments returns the two deployments of today's users.
func Deployments() []Deployment { return []Deployment{luftvard(), tuul()} }

func luftvard() Deployment {
	return Deployment{
		Name:    "luftvard",
		Regions: []RegionSize{{"svealand", 8, 3}, {"norrland", 5, 2}, {"gotaland", 7, 3}},
		Link:    intent.Link{OneWayDelay: intent.Duration(55 * time.Millisecond), MegabitsPerSecond: 2000},
		Routing: intent.Routing{
			Weights:         intent.Weights{TailLatency: 1, ForwardShare: 0.2, Cost: 0.1},
			ForwardMargin:   intent.Duration(100 * time.Millisecond),
			MaxForwardShare: 0.7, MaxLinkShare: 0.3, RetryRatio: 0.1,
			TTFTTarget: intent.Duration(620 * time.Millisecond),
		},
		Engine:        model.DefaultConfig(),
		MaxConcurrent: 64,
		SizedRate:     4.5,
		Mix: Mix{
			LongShare: 0.4, Documents: 150, DocumentTokens: [2]int{2000, 6000}, LongOutput: [2]int{150, 350},
			ShortPrompt: [2]int{50, 300}, ShortOutput: [2]int{20, 80}, HomeBound: 0.37,
			LongDeadline: 30 * time.Second, ShortDeadline: 12 * time.Second,
		},
	}
}

func tuul() Deployment {
	d := luftvard()
	d.Name = "tuul"
	d.Regions = []RegionSize{{"selenge", 7, 3}, {"tuul", 8, 3}, {"kherlen", 5, 2}}
	d.Link.MegabitsPerSecond = 140
	d.Routing.Weights = intent.Weights{TailLatency: 0.3, ForwardShare: 1, Cost: 0.1}
	d.Routing.ForwardMargin = intent.Duration(200 * time.Millisecond)
	d.Routing.MaxForwardShare, d.Routing.MaxLinkShare = 0.7, 0.2
	d.SizedRate = 2.6
	d.Mix.LongShare = 0.5
	d.Mix.Documents = 80
	d.Mix.DocumentTokens = [2]int{4000, 10000}
	d.Mix.LongOutput = [2]int{250, 500}
	d.Mix.LongDeadline = 60 * time.Second
	return d
}

// withGateways returns d with n gateways spread over its regions.
func (d Deployment) withGateways(n int) Deployment {
	regions := append([]RegionSize(nil), d.Regions...)
	for i := range regions {
		regions[i].Gateways = (n + i) / len(regions)
	}
	d.Regions = regions
	return d
}

// Intent returns the intent that the gateways run under.
func (d Deployment) Intent() *intent.Intent {
	return &intent.Intent{
		Links:   map[string]intent.Link{"*": d.Link},
		Groups:  map[string]intent.Group{group: {Kind: intent.KindEngine, MaxConcurrent: d.MaxConcurrent, CostPerMillionTokens: 1}},
		Routing: d.Routing,
	}
}
