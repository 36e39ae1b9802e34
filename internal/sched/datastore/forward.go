package datastore

import (
	"math"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/sched"
)

// Time constants of the statistics about other regions.
const (
	// shareWindow smooths the share of forwarded requests.
	shareWindow = 30 * time.Second
	// linkWindow smooths the traffic on a link.
	linkWindow = 2 * time.Second
	// recentUseWindow is how long a region counts as recently used after a request
	// was forwarded there.
	recentUseWindow = 10 * time.Second
	// recoveryTime is the time in which the recovery share of a region that was
	// unreachable grows to 1.
	recoveryTime = 20 * time.Second
	// unreachableAfter is the gap between two summaries beyond which the region
	// counts as having been unreachable.
	unreachableAfter = 5 * time.Second
)

// decayingSum is a sum that decays exponentially. The window passed to its methods
// is the time constant.
type decayingSum struct {
	sum       float64
	updatedAt time.Time
}

func (d *decayingSum) add(x float64, window time.Duration, now time.Time) {
	d.sum = d.value(window, now) + x
	d.updatedAt = now
}

func (d *decayingSum) value(window time.Duration, now time.Time) float64 {
	dt := now.Sub(d.updatedAt).Seconds()
	if d.sum == 0 || dt <= 0 {
		return d.sum
	}
	return d.sum * math.Exp(-dt/window.Seconds())
}

// forwarding holds the state of the other regions and the statistics about
// requests forwarded to them.
type forwarding struct {
	mu          sync.Mutex
	regions     map[string]*regionState
	allRequests decayingSum
	forwarded   decayingSum
}

type regionState struct {
	ordinal                     int
	summary                     blackboard.RegionSummary
	reachableAgainAt            time.Time
	linkBytes                   decayingSum
	lastForwardedAt             time.Time
	forwardedSinceSummary       int
	forwardedTokensSinceSummary int
}

func (f *forwarding) init() { f.regions = make(map[string]*regionState) }

// ApplyRegionSummary updates another region from its summary. sum.Heard must be
// set, by this gateway's clock.
func (s *Store) ApplyRegionSummary(sum blackboard.RegionSummary) {
	f := &s.forwarding
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.regions[sum.Region]
	if !ok {
		r = &regionState{ordinal: s.topology.takeOrdinal()}
		f.regions[sum.Region] = r
	}
	if ok && sum.AsOf.Sub(r.summary.AsOf) > unreachableAfter {
		r.reachableAgainAt = sum.AsOf
	}
	r.summary = sum
	r.forwardedSinceSummary, r.forwardedTokensSinceSummary = 0, 0
}

// RecordForwarded is RecordForwardedPrefix for a request without prefix hashes.
func (s *Store) RecordForwarded(region string, promptTokens, bytes int, now time.Time) {
	s.RecordForwardedPrefix(region, promptTokens, nil, bytes, now)
}

// RecordForwardedPrefix records that a request was forwarded to another region.
// bytes is its traffic on the link. The prompt's blocks count as cached in that
// region from then on.
func (s *Store) RecordForwardedPrefix(region string, promptTokens int, prefix []uint64, bytes int, now time.Time) {
	f := &s.forwarding
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allRequests.add(1, shareWindow, now)
	f.forwarded.add(1, shareWindow, now)
	r, ok := f.regions[region]
	if !ok {
		return
	}
	r.linkBytes.add(float64(bytes), linkWindow, now)
	r.lastForwardedAt = now
	r.forwardedSinceSummary++
	r.forwardedTokensSinceSummary += promptTokens
	s.prefixIndex.insert(prefix, r.ordinal)
}

// RecordLocal records that a caller's request, which could have been forwarded,
// stays in this region. The share of forwarded requests is computed over both kinds.
func (s *Store) RecordLocal(now time.Time) {
	s.forwarding.mu.Lock()
	defer s.forwarding.mu.Unlock()
	s.forwarding.allRequests.add(1, shareWindow, now)
}

// minShareRequests is the least number of recent requests that the share of
// forwarded requests is computed over. Otherwise a gateway with little traffic
// would exceed its budget by forwarding a few requests.
const minShareRequests = 20

func (f *forwarding) fillView(v *sched.View, t *topologySnapshot, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := math.Max(f.allRequests.value(shareWindow, now), minShareRequests)
	v.ForwardShare = f.forwarded.value(shareWindow, now) / total
	v.Regions = make(map[string]*sched.RegionView, len(f.regions))
	for name, r := range f.regions {
		v.Regions[name] = r.view(name, v.Region, t, now)
	}
}

func (r *regionState) view(name, localRegion string, t *topologySnapshot, now time.Time) *sched.RegionView {
	rv := &sched.RegionView{
		Region: name, Ordinal: r.ordinal, SummaryReceivedAt: r.summary.AsOf, Link: linkBetween(t.links, localRegion, name),
		LinkBytesPerSecond:    r.linkBytes.value(linkWindow, now) / linkWindow.Seconds(),
		ForwardedSinceSummary: r.forwardedSinceSummary, ForwardedTokensSinceSummary: r.forwardedTokensSinceSummary,
		RecentlyUsed:  !r.lastForwardedAt.IsZero() && now.Sub(r.lastForwardedAt) < recentUseWindow,
		RecoveryShare: 1,
		Groups:        make(map[string]sched.GroupSummary, len(r.summary.Groups)),
	}
	if since := now.Sub(r.reachableAgainAt); !r.reachableAgainAt.IsZero() && since < recoveryTime {
		rv.RecoveryShare = math.Max(0.05, since.Seconds()/recoveryTime.Seconds())
	}
	for group, g := range r.summary.Groups {
		rv.Groups[group] = sched.GroupSummary{
			Endpoints: g.Endpoints, QueuedPrefillTokens: g.QueuedPrefillTokens, PrefillRate: g.PrefillRate,
			FreeSlots: g.FreeSlots, Waiting: g.Waiting, Running: g.Running, CostPerMillionTokens: t.costsPerMillionTokens[group],
		}
	}
	return rv
}

// linkBetween returns the link between two regions, or the default link if there
// is no entry for them.
func linkBetween(links map[string]intent.Link, a, b string) sched.Link {
	if b < a {
		a, b = b, a
	}
	l, ok := links[a+"-"+b]
	if !ok {
		l = links["*"]
	}
	return sched.Link{OneWayDelay: l.OneWayDelay.AsDuration(), BytesPerSecond: l.MegabitsPerSecond * 1e6 / 8}
}

// GroupSummaries returns the total load of each of this region's groups, to be sent
// to the other regions. Leaving and ejected endpoints are left out. The backlog is
// the one estimated at now.
func (s *Store) GroupSummaries(now time.Time) map[string]blackboard.GroupSummary {
	t := s.topology.load()
	out := make(map[string]blackboard.GroupSummary, len(t.groups))
	for name, g := range t.groups {
		out[name] = summarizeGroup(g, now)
	}
	return out
}

func summarizeGroup(g *sched.GroupView, now time.Time) blackboard.GroupSummary {
	var sum blackboard.GroupSummary
	for _, ref := range g.Endpoints {
		e := ref.Load()
		if e.Leaving || e.Health == sched.Ejected {
			continue
		}
		sum.Endpoints++
		sum.Running += e.Running
		sum.Waiting += e.Waiting
		sum.QueuedPrefillTokens += int(e.BacklogTokensAt(now))
		sum.PrefillRate += e.PrefillRate
		sum.FreeSlots += max(e.MaxBatch-e.Occupancy(), 0)
	}
	return sum
}
