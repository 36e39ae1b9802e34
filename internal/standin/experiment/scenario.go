package experiment

import (
	"math"
	"time"
)

// Scenario describes the load and the faults of a run over time.
type Scenario struct {
	Name string
	// Duration is the time during which requests arrive; WarmUp is the part at its
	// start whose requests aren't measured.
	Duration time.Duration
	WarmUp   time.Duration
	// RateFactor returns the load of a region at t as a multiple of the rate that
	// the deployment is sized for.
	RateFactor func(region int, t time.Duration) float64
	// MaxRateFactor is an upper bound of RateFactor.
	MaxRateFactor float64
	Faults        []Fault
	// BurstEnd is the end of the burst from which recovery is timed; 0 means that
	// there is no burst.
	BurstEnd time.Duration
}

// FaultKind says what a fault affects and how calls notice it.
type FaultKind int

// Kinds of faults.
const (
	// CrashEngines takes engines down; their work and cache are lost and calls
	// fail at once.
	CrashEngines FaultKind = iota
	// SilenceEngines makes engines stop responding; calls time out.
	SilenceEngines
	// SlowEngines runs engines at a fifth of their speed.
	SlowEngines
	// CutRegion cuts all links between a region and the others.
	CutRegion
	// PauseEngines makes engines turn new calls away and ask for no more until the
	// fault ends. They go on with those that they have.
	PauseEngines
)

// Fault is a fault that lasts from From to To, counted from the start of the run.
// It affects the region's first EngineCount engines, or the region's links.
type Fault struct {
	Kind        FaultKind
	Region      int
	EngineCount int
	From        time.Duration
	To          time.Duration
}

func constantRate(f float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return f }
}

// offsetPeakRate returns a sinusoidal load: a day compressed into 180 s, with the
// peaks of the regions a third of it apart.
func offsetPeakRate(mean, amplitude float64) func(int, time.Duration) float64 {
	return func(region int, t time.Duration) float64 {
		phase := 2 * math.Pi * (t.Seconds()/180 - float64(region)/3)
		return mean + amplitude*math.Sin(phase)
	}
}

// Scenarios returns all scenarios in the order in which tables show them.
func Scenarios() []Scenario {
	const warmUp = 30 * time.Second
	return []Scenario{
		{Name: "calm", Duration: 120 * time.Second, WarmUp: warmUp, RateFactor: constantRate(0.6), MaxRateFactor: 0.6},
		{Name: "sized", Duration: 120 * time.Second, WarmUp: warmUp, RateFactor: constantRate(1), MaxRateFactor: 1},
		{Name: "offset-peak", Duration: 210 * time.Second, WarmUp: warmUp, RateFactor: offsetPeakRate(0.85, 0.75), MaxRateFactor: 1.6},
		{
			Name: "capacity-loss", Duration: 180 * time.Second, WarmUp: warmUp, RateFactor: constantRate(0.8), MaxRateFactor: 0.8,
			Faults: []Fault{{Kind: CrashEngines, Region: 0, EngineCount: 5, From: 60 * time.Second, To: 120 * time.Second}},
		},
		{
			Name: "partition", Duration: 210 * time.Second, WarmUp: warmUp, RateFactor: hotRegionRate(0, 1.6, 0.6), MaxRateFactor: 1.6,
			Faults: []Fault{{Kind: CutRegion, Region: 0, From: 60 * time.Second, To: 120 * time.Second}},
		},
		{
			Name: "burst", Duration: 210 * time.Second, WarmUp: warmUp, RateFactor: burstRate(0.7, 3.6, 60*time.Second, 120*time.Second), MaxRateFactor: 3.6,
			BurstEnd: 120 * time.Second,
		},
		{
			Name: "failing", Duration: 150 * time.Second, WarmUp: warmUp, RateFactor: constantRate(0.8), MaxRateFactor: 0.8,
			Faults: []Fault{
				{Kind: SilenceEngines, Region: 0, EngineCount: 1, From: 50 * time.Second, To: 80 * time.Second},
				{Kind: SlowEngines, Region: 1, EngineCount: 1, From: 50 * time.Second, To: 110 * time.Second},
				{Kind: CrashEngines, Region: 2, EngineCount: 1, From: 60 * time.Second, To: 90 * time.Second},
			},
		},
		{
			Name: "turning-away", Duration: 150 * time.Second, WarmUp: warmUp, RateFactor: constantRate(0.8), MaxRateFactor: 0.8,
			Faults: []Fault{
				{Kind: PauseEngines, Region: 0, EngineCount: 3, From: 50 * time.Second, To: 65 * time.Second},
				{Kind: PauseEngines, Region: 1, EngineCount: 2, From: 60 * time.Second, To: 90 * time.Second},
				{Kind: PauseEngines, Region: 0, EngineCount: 3, From: 100 * time.Second, To: 105 * time.Second},
			},
		},
	}
}

func hotRegionRate(hotRegion int, high, low float64) func(int, time.Duration) float64 {
	return func(region int, _ time.Duration) float64 {
		if region == hotRegion {
			return high
		}
		return low
	}
}

func burstRate(base, high float64, from, to time.Duration) func(int, time.Duration) float64 {
	return func(_ int, t time.Duration) float64 {
		if t >= from && t < to {
			return high
		}
		return base
	}
}
