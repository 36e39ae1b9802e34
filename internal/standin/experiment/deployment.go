// Package experiment compares the product's scheduler, data store and admission
// with other policies in a discrete-event simulation in virtual time. Engines are
// modelled by package model, links by a delay and a shared bandwidth. Gateways
// run the product's own code without its network layer, each with its own stale
// state. The same options give the same results.
package experiment

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// groupName is the name of the only group of endpoints.
const groupName = "engines"

// Deployment describes the simulated system of one user.
type Deployment struct {
	Name    string
	Regions []RegionSize
	Link    intent.Link
	Routing intent.Routing
	Engine  model.Config
	// MaxConcurrent is the limit on concurrent requests at one engine.
	MaxConcurrent int
	Mix           Mix
	// DesignRatePerEngine is the load that the deployment is sized for, in
	// requests per second and engine.
	DesignRatePerEngine float64
}

// RegionSize holds the numbers of engines and gateways of a region.
type RegionSize struct {
	Name     string
	Engines  int
	Gateways int
}

// Mix describes the distribution of a deployment's requests. Long requests start
// with a shared document, short ones share no prefix.
type Mix struct {
	// LongShare is the share of long requests, from 0 to 1.
	LongShare float64
	// Documents is the number of documents that long requests of a region share
	// as prefixes.
	Documents int
	// Inclusive ranges, in tokens, from which lengths are drawn uniformly.
	DocumentTokens    [2]int
	LongOutputTokens  [2]int
	ShortPromptTokens [2]int
	ShortOutputTokens [2]int
	// RegionBoundShare is the share of requests that may not leave their region,
	// from 0 to 1.
	RegionBoundShare float64
	// LongDeadline and ShortDeadline bound the time from a request's arrival to
	// its complete response.
	LongDeadline  time.Duration
	ShortDeadline time.Duration
}

// Deployments returns the deployments of the two current users.
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
		Engine:              model.DefaultConfig(),
		MaxConcurrent:       64,
		DesignRatePerEngine: 4.5,
		Mix: Mix{
			LongShare: 0.4, Documents: 150, DocumentTokens: [2]int{2000, 6000}, LongOutputTokens: [2]int{150, 350},
			ShortPromptTokens: [2]int{50, 300}, ShortOutputTokens: [2]int{20, 80}, RegionBoundShare: 0.37,
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
	d.DesignRatePerEngine = 2.6
	d.Mix.LongShare = 0.5
	d.Mix.Documents = 80
	d.Mix.DocumentTokens = [2]int{4000, 10000}
	d.Mix.LongOutputTokens = [2]int{250, 500}
	d.Mix.LongDeadline = 60 * time.Second
	return d
}

// withGateways returns a copy of d with n gateways spread evenly over its
// regions.
func (d Deployment) withGateways(n int) Deployment {
	regions := append([]RegionSize(nil), d.Regions...)
	for i := range regions {
		regions[i].Gateways = (n + i) / len(regions)
	}
	d.Regions = regions
	return d
}

// Intent returns the configuration that the control plane would give the
// gateways.
func (d Deployment) Intent() *intent.Intent {
	return &intent.Intent{
		Links:   map[string]intent.Link{"*": d.Link},
		Groups:  map[string]intent.Group{groupName: {Kind: intent.KindEngine, MaxConcurrent: d.MaxConcurrent, CostPerMillionTokens: 1}},
		Routing: d.Routing,
	}
}
