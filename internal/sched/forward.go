package sched

import (
	"sort"
	"time"
)

// staleSummary is the age beyond which a region's summary is not relied on.
const staleSummary = 5 * time.Second

// hysteresisShare is the share of the margin that keeps an active region
// active.
const hysteresisShare = 0.5

// awayChoice is the best other region for a request.
type awayChoice struct {
	region string
	ttft   float64
	cost   float64
	// held says that a region would have been faster but its budget is spent.
	held bool
}

// bestAway returns the permitted region with the lowest estimate, if any.
func bestAway(o *Options, req *Request, v *View, depth []int, rnd uint64) awayChoice {
	var best awayChoice
	for _, name := range sortedRegions(v) {
		r := v.Regions[name]
		if name == v.Region || !req.PermittedRegions[name] || !usableRegion(v, r, rnd) {
			continue
		}
		if !withinLink(req, v, r) {
			best.held = true
			continue
		}
		for _, group := range req.Groups {
			g, ok := r.Groups[group]
			if !ok || g.Endpoints == 0 || o.RequireFreeRegionSlots && full(v, r, g) {
				continue
			}
			t := estimateAway(req, r, g, cachedAt(depth, r.Ordinal))
			if best.region == "" || t < best.ttft {
				best.region, best.ttft, best.cost = name, t, g.CostPerMillionTokens
			}
		}
	}
	return best
}

// full says that a group of another region has no free place, should the other
// gateways here have sent as many requests there as this one.
func full(v *View, r *RegionView, g GroupSummary) bool {
	return g.FreeSlots <= r.ForwardedSinceSummary*max(v.Gateways, 1)
}

func sortedRegions(v *View) []string {
	names := make([]string, 0, len(v.Regions))
	for name := range v.Regions {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func usableRegion(v *View, r *RegionView, rnd uint64) bool {
	if r.SummaryReceivedAt.IsZero() || v.Now.Sub(r.SummaryReceivedAt) > staleSummary {
		return false
	}
	return r.RecoveryShare >= 1 || float64(mix(rnd, 3)>>11)/(1<<53) < r.RecoveryShare
}

// withinLink says whether the request's bytes fit this gateway's share of the
// link's budget.
func withinLink(req *Request, v *View, r *RegionView) bool {
	if v.Policy.MaxLinkShare <= 0 || r.Link.BytesPerSecond <= 0 {
		return true
	}
	budget := r.Link.BytesPerSecond * v.Policy.MaxLinkShare / float64(max(v.Gateways, 1))
	return r.LinkBytesPerSecond <= budget
}

// margin is the gain in seconds that the region must promise.
func margin(o *Options, v *View, r *RegionView) float64 {
	m := v.Policy.ForwardMargin.Seconds()
	if v.Policy.TailLatencyWeight > 0 {
		m *= 1 + v.Policy.ForwardWeight/v.Policy.TailLatencyWeight
	}
	if o.Hysteresis && r != nil && r.RecentlyUsed {
		m *= hysteresisShare
	}
	return m
}

// withinAwayShare says whether the share of requests sent away is in budget.
func withinAwayShare(v *View) bool {
	return v.Policy.MaxForwardShare <= 0 || v.ForwardShare < v.Policy.MaxForwardShare
}
