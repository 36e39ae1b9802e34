package experiment

import (
	"math"
	"time"
)

// Scenario is a course of load and faults.
type Scenario struct {
	Name string
	// Length is the time during which requests arrive; Warm is the part at the
	// start that is not measured.
	Length time.Duration
	Warm   time.Duration
	// Rate is the load of a region as a multiple of the sized rate.
	Rate func(region int, t time.Duration) float64
	// Peak bounds Rate.
	Peak   float64
	Faults []Fault
	// BurstEnd is the end of a burst after which recovery is timed.
	BurstEnd time.Duration
}

// FaultKind is the kind of a fault.
type FaultKind int

// The kinds of faults.
const (
	// CrashEngines drops the work and cache of engines; calls fail at once.
	CrashEngines FaultKind = iota
	// SilenceEngines makes engines go silent; calls time out.
	SilenceEngines
	// SlowEngines runs engines at a fifth of their speed.
	SlowEngines
	// CutRegion cuts a region off from the others.
	CutRegion
)

// Fault is a fault from From to To. Engines is the number of engines hit.
type Fault struct {
	Kind    FaultKind
	Region  int
	Engines int
	From    time.Duration
	To      time.Duration
}

func constant(f float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return f }
}

// offsetPeaks is a day pressed into 180 s, with the regions' peaks apart.
func offsetPeaks(mean, swing float64) func(int, time.Duration) float64 {
	return func(region int, t time.Duration) float64 {
		phase := 2 * math.Pi * (t.Seconds()/180 - float64(region)/3)
		return mean + swing*math.Sin(phase)
	}
}

// Scenarios returns the scenarios in the order of the table.
func Scenarios() []Scenario {
	const warm = 30 * time.Second
	return []Scenario{
		{Name: "calm", Length: 120 * time.Second, Warm: warm, Rate: constant(0.6), Peak: 0.6},
		{Name: "sized", Length: 120 * time.Second, Warm: warm, Rate: constant(1), Peak: 1},
		{Name: "offset-peak", Length: 210 * time.Second, Warm: warm, Rate: offsetPeaks(0.85, 0.75), Peak: 1.6},
		{
			Name: "capacity-loss", Length: 180 * time.Second, Warm: warm, Rate: constant(0.8), Peak: 0.8,
			Faults: []Fault{{Kind: CrashEngines, Region: 0, Engines: 5, From: 60 * time.Second, To: 120 * time.Second}},
		},
		{
			Name: "partition", Length: 210 * time.Second, Warm: warm, Rate: peakIn(0, 1.6, 0.6), Peak: 1.6,
			Faults: []Fault{{Kind: CutRegion, Region: 0, From: 60 * time.Second, To: 120 * time.Second}},
		},
		{
			Name: "burst", Length: 210 * time.Second, Warm: warm, Rate: burst(0.7, 3.6, 60*time.Second, 120*time.Second), Peak: 3.6,
			BurstEnd: 120 * time.Second,
		},
		{
			Name: "failing", Length: 150 * time.Second, Warm: warm, Rate: constant(0.8), Peak: 0.8,
			Faults: []Fault{
				{Kind: SilenceEngines, Region: 0, Engines: 1, From: 50 * time.Second, To: 80 * time.Second},
				{Kind: SlowEngines, Region: 1, Engines: 1, From: 50 * time.Second, To: 110 * time.Second},
				{Kind: CrashEngines, Region: 2, Engines: 1, From: 60 * time.Second, To: 90 * time.Second},
			},
		},
	}
}

func peakIn(hot int, high, low float64) func(int, time.Duration) float64 {
	return func(region int, _ time.Duration) float64 {
		if region == hot {
			return high
		}
		return low
	}
}

func burst(base, high float64, from, to time.Duration) func(int, time.Duration) float64 {
	return func(_ int, t time.Duration) float64 {
		if t >= from && t < to {
			return high
		}
		return base
	}
}
