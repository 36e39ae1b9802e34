package sched

import (
	"sort"
	"time"
)

// maxSummaryAge is the age beyond which no request is forwarded to a region on the
// basis of its summary.
const maxSummaryAge = 5 * time.Second

// hysteresisFactor scales the forwarding margin of regions that were used
// recently.
const hysteresisFactor = 0.5

// forwardTarget is the best other region for a request; region is empty if there
// is none.
type forwardTarget struct {
	region               string
	ttftSeconds          float64
	costPerMillionTokens float64
	// linkBudgetSpent reports that a region was skipped because the budget of its
	// link is spent.
	linkBudgetSpent bool
}

// bestRegion returns the permitted region with the lowest estimated time to first
// token, if any.
func bestRegion(o *Options, req *Request, v *View, matchedBlocks []int, rnd uint64) forwardTarget {
	var best forwardTarget
	for _, name := range sortedRegions(v) {
		r := v.Regions[name]
		if name == v.Region || !req.PermittedRegions[name] || !isRegionUsable(v, r, rnd) {
			continue
		}
		if !withinLinkBudget(req, v, r) {
			best.linkBudgetSpent = true
			continue
		}
		for _, group := range req.Groups {
			g, ok := r.Groups[group]
			if !ok || g.Endpoints == 0 || o.RequireFreeRegionSlots && isFull(v, r, g) {
				continue
			}
			ttftSeconds := estimateRemoteTTFT(req, r, g, cachedTokensAt(matchedBlocks, r.Ordinal))
			if best.region == "" || ttftSeconds < best.ttftSeconds {
				best.region, best.ttftSeconds, best.costPerMillionTokens = name, ttftSeconds, g.CostPerMillionTokens
			}
		}
	}
	return best
}

// isFull reports whether a group of another region has no free slot left, assuming
// that every gateway of this region has forwarded as many requests there as this
// one since the region's last summary.
func isFull(v *View, r *RegionView, g GroupSummary) bool {
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

// isRegionUsable reports whether the region's summary is fresh and, for a region
// that was unreachable, whether rnd falls into its recovery share.
func isRegionUsable(v *View, r *RegionView, rnd uint64) bool {
	if r.SummaryReceivedAt.IsZero() || v.Now.Sub(r.SummaryReceivedAt) > maxSummaryAge {
		return false
	}
	return r.RecoveryShare >= 1 || float64(mix64(rnd, 3)>>11)/(1<<53) < r.RecoveryShare
}

// withinLinkBudget reports whether this gateway's traffic on the link is within its
// share of the link's budget.
func withinLinkBudget(req *Request, v *View, r *RegionView) bool {
	if v.Policy.MaxLinkShare <= 0 || r.Link.BytesPerSecond <= 0 {
		return true
	}
	budget := r.Link.BytesPerSecond * v.Policy.MaxLinkShare / float64(max(v.Gateways, 1))
	return r.LinkBytesPerSecond <= budget
}

// forwardMarginSeconds returns the least gain in the estimate that justifies
// forwarding to region r. It grows with the operators' weight of forwarding relative
// to tail latency.
func forwardMarginSeconds(o *Options, v *View, r *RegionView) float64 {
	marginSeconds := v.Policy.ForwardMargin.Seconds()
	if v.Policy.TailLatencyWeight > 0 {
		marginSeconds *= 1 + v.Policy.ForwardWeight/v.Policy.TailLatencyWeight
	}
	if o.Hysteresis && r != nil && r.RecentlyUsed {
		marginSeconds *= hysteresisFactor
	}
	return marginSeconds
}

// withinForwardShare reports whether the share of forwarded requests is within the
// operators' budget.
func withinForwardShare(v *View) bool {
	return v.Policy.MaxForwardShare <= 0 || v.ForwardShare < v.Policy.MaxForwardShare
}
