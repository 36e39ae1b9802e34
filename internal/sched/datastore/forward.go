package datastore

import (
	"math"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/sched"
)

// Time constants of the away accounts.
const (
	shareWindow = 30 * time.Second
	linkWindow  = 2 * time.Second
	// activeWindow is how long a region stays active after a request.
	activeWindow = 10 * time.Second
	// returnTime is how long a region's share grows after it was unreachable.
	returnTime = 20 * time.Second
	// lostAfter is the gap between summaries that counts as unreachable.
	lostAfter = 5 * time.Second
)

// decaying is a sum that decays by a time constant.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) add(x float64, window time.Duration, now time.Time) {
	d.sum = d.value(window, now) + x
	d.at = now
}

func (d *decaying) value(window time.Duration, now time.Time) float64 {
	dt := now.Sub(d.at).Seconds()
	if d.sum == 0 || dt <= 0 {
		return d.sum
	}
	return d.sum * math.Exp(-dt/window.Seconds())
}

// away keeps the accounts of what goes to other regions.
type away struct {
	mu      sync.Mutex
	regions map[string]*regionState
	all     decaying
	sent    decaying
}

type regionState struct {
	index      int
	summary    blackboard.RegionSummary
	backAt     time.Time
	link       decaying
	last       time.Time
	sentSince  int
	sentTokens int
}

func (a *away) init() { a.regions = make(map[string]*regionState) }

// ApplyRegionSummary takes in another region's summary; Heard must be set.
func (s *Store) ApplyRegionSummary(sum blackboard.RegionSummary) {
	a := &s.away
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.regions[sum.Region]
	if !ok {
		r = &regionState{index: s.layout.takeIndex()}
		a.regions[sum.Region] = r
	}
	if ok && sum.Heard.Sub(r.summary.Heard) > lostAfter {
		r.backAt = sum.Heard
	}
	r.summary = sum
	r.sentSince, r.sentTokens = 0, 0
}

// RecordForwarded is SentAwayPrefix for a request without a prefix.
func (s *Store) RecordForwarded(region string, promptTokens, bytes int, now time.Time) {
	s.RecordForwardedPrefix(region, promptTokens, nil, bytes, now)
}

// RecordForwardedPrefix notes a request forwarded to another region, with the bytes
// that it puts on the link. The prompt's blocks count as cached there.
func (s *Store) RecordForwardedPrefix(region string, promptTokens int, prefix []uint64, bytes int, now time.Time) {
	a := &s.away
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all.add(1, shareWindow, now)
	a.sent.add(1, shareWindow, now)
	r, ok := a.regions[region]
	if !ok {
		return
	}
	r.link.add(float64(bytes), linkWindow, now)
	r.last = now
	r.sentSince++
	r.sentTokens += promptTokens
	s.cache.insert(prefix, r.index)
}

// RecordLocal notes a caller's request that stays in this region, for the share
// sent away.
func (s *Store) RecordLocal(now time.Time) {
	s.away.mu.Lock()
	defer s.away.mu.Unlock()
	s.away.all.add(1, shareWindow, now)
}

// minShareSample is the weight of past requests below which the share sent
// away is not judged.
const minShareSample = 20

func (a *away) fill(v *sched.View, l *layoutSnapshot, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := math.Max(a.all.value(shareWindow, now), minShareSample)
	v.ForwardShare = a.sent.value(shareWindow, now) / all
	v.Regions = make(map[string]*sched.RegionView, len(a.regions))
	for name, r := range a.regions {
		v.Regions[name] = r.view(name, v.Region, l, now)
	}
}

func (r *regionState) view(name, own string, l *layoutSnapshot, now time.Time) *sched.RegionView {
	rv := &sched.RegionView{
		Region: name, Ordinal: r.index, SummaryReceivedAt: r.summary.Heard, Link: linkTo(l.links, own, name),
		LinkBytesPerSecond:    r.link.value(linkWindow, now) / linkWindow.Seconds(),
		ForwardedSinceSummary: r.sentSince, ForwardedTokensSinceSummary: r.sentTokens,
		RecentlyUsed:  !r.last.IsZero() && now.Sub(r.last) < activeWindow,
		RecoveryShare: 1,
		Groups:        make(map[string]sched.GroupSummary, len(r.summary.Groups)),
	}
	if since := now.Sub(r.backAt); !r.backAt.IsZero() && since < returnTime {
		rv.RecoveryShare = math.Max(0.05, since.Seconds()/returnTime.Seconds())
	}
	for group, g := range r.summary.Groups {
		rv.Groups[group] = sched.GroupSummary{
			Endpoints: g.Endpoints, QueuedPrefillTokens: g.QueuedPrefillTokens, PrefillRate: g.PrefillRate,
			FreeSlots: g.FreeSlots, Waiting: g.Waiting, Running: g.Running, CostPerMillionTokens: l.costs[group],
		}
	}
	return rv
}

// linkTo returns the link between two regions, or the default.
func linkTo(links map[string]intent.Link, a, b string) sched.Link {
	if b < a {
		a, b = b, a
	}
	l, ok := links[a+"-"+b]
	if !ok {
		l = links["*"]
	}
	return sched.Link{OneWayDelay: l.OneWay.D(), BytesPerSecond: l.MegabitsPerSecond * 1e6 / 8}
}

// GroupSummaries sums up this region's groups for the other regions, by the corrected
// loads.
func (s *Store) GroupSummaries(now time.Time) map[string]blackboard.GroupSummary {
	l := s.layout.load()
	out := make(map[string]blackboard.GroupSummary, len(l.groups))
	for name, g := range l.groups {
		out[name] = summarise(g, now)
	}
	return out
}

func summarise(g *sched.GroupView, now time.Time) blackboard.GroupSummary {
	var sum blackboard.GroupSummary
	for _, slot := range g.Endpoints {
		e := slot.Load()
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
