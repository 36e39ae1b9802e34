package placement

import (
	"math"
	"time"
)

// Peaks move between regions: one region has more demand than its engines can serve well,
// while those of the others are mostly idle. Filling the own region up to its limits first
// makes its streams pause and its queues grow long before anything is sent elsewhere.
// SpillShare therefore sends a share of a region's own demand away as soon as its
// utilization is above that of all regions together, so that about the same utilization
// results everywhere.
//
// The share follows from the region's demand, not from its utilization alone: as soon as
// requests are sent away the utilization falls, and a share that followed it would swing.

// RegionLoad is the load of the engines of one region.
type RegionLoad struct {
	Region string
	// Endpoints is the number of engines, Utilization their mean prefill utilization.
	Endpoints   int
	Utilization float64
}

// Spill is the share of a region's own demand that is sent to other regions.
type Spill struct {
	// Share is from 0 to maxSpillShare.
	Share float64
	// recentShare is the average of Share with the time constant of the utilization, which
	// the utilization of now results from.
	recentShare float64
	updatedAt   time.Time
}

const (
	// spillFloor is the utilization below which a region keeps all of its demand: its
	// streams seldom pause there, and a forward costs a round trip and bytes on the link.
	spillFloor = 0.15
	// spillMargin is the utilization that a region keeps, relative to the mean. What a region
	// serves for others looks like demand of its own: without the margin, regions send such
	// requests back and forth.
	spillMargin = 1.25
	// maxSpillShare leaves some demand in the region, from which its demand is estimated.
	maxSpillShare = 0.75
	// spillMemory is the time after which an earlier share says nothing of the utilization.
	spillMemory = 5 * utilizationTimeConstant
)

// Next returns the share after a look at the loads of the local and the other regions.
func (s Spill) Next(local RegionLoad, remote []RegionLoad, now time.Time) Spill {
	elapsed := now.Sub(s.updatedAt)
	if s.updatedAt.IsZero() || elapsed > spillMemory {
		s, elapsed = Spill{}, 0
	}
	s.recentShare += (1 - math.Exp(-elapsed.Seconds()/utilizationTimeConstant.Seconds())) * (s.Share - s.recentShare)
	s.updatedAt = now
	s.Share = 0
	if local.Endpoints == 0 {
		return s
	}
	demand := local.Utilization / (1 - s.recentShare)
	if target := max(spillMargin*meanUtilization(local, remote), spillFloor); demand > target {
		s.Share = min(1-target/demand, maxSpillShare)
	}
	return s
}

// meanUtilization returns the mean over all engines. It does not change when requests are
// served in another region.
func meanUtilization(local RegionLoad, remote []RegionLoad) float64 {
	sum, engines := local.Utilization*float64(local.Endpoints), local.Endpoints
	for _, r := range remote {
		sum += r.Utilization * float64(r.Endpoints)
		engines += r.Endpoints
	}
	return sum / float64(engines)
}

// Sends reports whether a request with the given fraction (0 to 1) is sent away. The
// fraction is the same for requests that share a prompt prefix.
func (s Spill) Sends(fraction float64) bool { return fraction < s.Share }

// SpillRegion chooses one of the regions that are less utilized than the local one, by
// their spare engines. fraction is from 0 to 1. It returns false if there is none.
func SpillRegion(local RegionLoad, remote []RegionLoad, fraction float64) (string, bool) {
	spare := func(r RegionLoad) float64 {
		return max(local.Utilization-r.Utilization, 0) * float64(r.Endpoints)
	}
	sum := 0.0
	for _, r := range remote {
		sum += spare(r)
	}
	left := fraction * sum
	for _, r := range remote {
		if left -= spare(r); left < 0 {
			return r.Region, true
		}
	}
	return "", false
}
