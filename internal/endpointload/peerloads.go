package endpointload

import (
	"strings"
	"sync"
	"time"
)

// peerLoadTTL is how long a load reported by another gateway counts.
const peerLoadTTL = 1500 * time.Millisecond

// EndpointLoad is the load of one gateway, or of all gateways of a region, at
// one endpoint.
type EndpointLoad struct {
	ID string
	// Running and Waiting count the requests whose response has started and
	// those whose response has not.
	Running int
	Waiting int
	// KVTokens is the KV cache that these requests use, in tokens.
	KVTokens int
	// QueuedPrefillMillis is the prefill time of waiting requests in
	// milliseconds that a request of each priority waits for, starting with
	// priority 0. Priorities beyond the last element wait as long as that one.
	QueuedPrefillMillis []int
	// RecentPrefillMillis is the decayed sum of recent prefill times in
	// milliseconds.
	RecentPrefillMillis int
}

// Add returns the sum of two loads of one endpoint.
func (l EndpointLoad) Add(other EndpointLoad) EndpointLoad {
	l.Running += other.Running
	l.Waiting += other.Waiting
	l.KVTokens += other.KVTokens
	l.RecentPrefillMillis += other.RecentPrefillMillis
	l.QueuedPrefillMillis = addQueues(l.QueuedPrefillMillis, other.QueuedPrefillMillis, 1)
	return l
}

// Sub returns the load without that of other, which is part of it. No value
// falls below 0, since the part may have changed since the sum was formed.
func (l EndpointLoad) Sub(other EndpointLoad) EndpointLoad {
	l.Running = max(l.Running-other.Running, 0)
	l.Waiting = max(l.Waiting-other.Waiting, 0)
	l.KVTokens = max(l.KVTokens-other.KVTokens, 0)
	l.RecentPrefillMillis = max(l.RecentPrefillMillis-other.RecentPrefillMillis, 0)
	l.QueuedPrefillMillis = addQueues(l.QueuedPrefillMillis, other.QueuedPrefillMillis, -1)
	return l
}

// addQueues returns a + sign*b by priority, with a minimum of 0.
func addQueues(a, b []int, sign int) []int {
	out := make([]int, max(len(a), len(b)))
	for priority := range out {
		out[priority] = max(queueForPriority(a, priority)+sign*queueForPriority(b, priority), 0)
	}
	return out
}

// queueForPriority returns the queue for a priority in milliseconds.
func queueForPriority(queues []int, priority int) int {
	if len(queues) == 0 {
		return 0
	}
	return queues[min(priority, len(queues)-1)]
}

// peerLoads holds the loads that other gateways reported.
type peerLoads struct {
	mu sync.RWMutex
	// reports holds the latest report of each source: a gateway, or a region
	// with regionSumPrefix.
	reports map[string]report
	// loads holds the latest loads by endpoint and source.
	loads map[string]map[string]EndpointLoad
}

type report struct {
	receivedAt  time.Time
	endpointIDs []string
}

func newPeerLoads() *peerLoads {
	return &peerLoads{reports: make(map[string]report), loads: make(map[string]map[string]EndpointLoad)}
}

func (p *peerLoads) set(source string, loads []EndpointLoad, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.reports[source].endpointIDs {
		delete(p.loads[id], source)
	}
	ids := make([]string, 0, len(loads))
	for _, load := range loads {
		ids = append(ids, load.ID)
		bySource, ok := p.loads[load.ID]
		if !ok {
			bySource = make(map[string]EndpointLoad)
			p.loads[load.ID] = bySource
		}
		bySource[source] = load
	}
	p.reports[source] = report{receivedAt: now, endpointIDs: ids}
}

// sum returns the total of the unexpired loads of an endpoint, projected to
// now.
func (p *peerLoads) sum(id string, now time.Time) EndpointLoad {
	p.mu.RLock()
	defer p.mu.RUnlock()
	total := EndpointLoad{ID: id}
	for source, load := range p.loads[id] {
		age := now.Sub(p.reports[source].receivedAt)
		if age > peerLoadTTL {
			continue
		}
		projected := load.projected(age)
		if strings.HasPrefix(source, regionSumPrefix) {
			// The utilization of a region as a whole is assumed to stay the same.
			projected.RecentPrefillMillis = load.RecentPrefillMillis
		}
		total = total.Add(projected)
	}
	return total
}

// projected returns the load expected after age without new requests.
func (l EndpointLoad) projected(age time.Duration) EndpointLoad {
	l.RecentPrefillMillis = int(decay(time.Duration(l.RecentPrefillMillis)*time.Millisecond, age).Milliseconds())
	queued := make([]int, len(l.QueuedPrefillMillis))
	for priority, ms := range l.QueuedPrefillMillis {
		queued[priority] = max(ms-int(age.Milliseconds()), 0)
	}
	l.QueuedPrefillMillis = queued
	return l
}

// RegionLoads returns the given loads of this gateway plus the unexpired loads
// that the other gateways of the region reported, by endpoint.
func (t *Tracker) RegionLoads(own []EndpointLoad, now time.Time) []EndpointLoad {
	sums := make(map[string]EndpointLoad, len(own))
	for _, load := range own {
		sums[load.ID] = load
	}
	t.peerLoads.forEachGateway(now, func(load EndpointLoad) { sums[load.ID] = sums[load.ID].Add(load) })
	out := make([]EndpointLoad, 0, len(sums))
	for id, load := range sums {
		load.ID = id
		out = append(out, load)
	}
	return out
}

// forEachGateway calls fn with the unexpired loads of single gateways.
func (p *peerLoads) forEachGateway(now time.Time, fn func(EndpointLoad)) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, bySource := range p.loads {
		for source, load := range bySource {
			age := now.Sub(p.reports[source].receivedAt)
			if age <= peerLoadTTL && !strings.HasPrefix(source, regionSumPrefix) {
				fn(load.projected(age))
			}
		}
	}
}

// ApplyRegionLoads replaces the load sums that a hub reported for a region. For
// the local region they are used in place of reports by its gateways. now is
// the time that the sums are from.
func (t *Tracker) ApplyRegionLoads(region string, loads []EndpointLoad, now time.Time) {
	t.peerLoads.set(regionSumPrefix+region, loads, now)
}

// regionSumPrefix marks the source of a region's sums among the sources of
// reports.
const regionSumPrefix = "sum "

// ApplyGatewayLoads replaces the loads that another gateway reported.
func (t *Tracker) ApplyGatewayLoads(gateway string, loads []EndpointLoad, now time.Time) {
	t.peerLoads.set(gateway, loads, now)
}

// priorityLevels is the number of priorities that loads distinguish.
const priorityLevels = 3

// Loads returns the loads of this gateway to be reported to others.
func (t *Tracker) Loads(now time.Time) []EndpointLoad {
	var out []EndpointLoad
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for id, a := range sh.accounts {
			if l, loaded := a.load(id, now); loaded {
				out = append(out, l)
			}
		}
		sh.mu.Unlock()
	}
	return out
}

// minReportedPrefill is the recent prefill time in milliseconds below which an idle
// endpoint is left out of reports: half a percent of utilization, where each row takes
// some 40 bytes of every heartbeat.
const minReportedPrefill = 10

// load returns the load of this gateway at the endpoint, and false if there is none
// worth reporting.
func (a *account) load(id string, now time.Time) (EndpointLoad, bool) {
	l := EndpointLoad{ID: id, Running: a.running, KVTokens: a.kvTokens, RecentPrefillMillis: int(a.recentPrefillNow(now).Milliseconds())}
	for _, req := range a.pending {
		if !req.job.Forwarded {
			l.Waiting++
		}
	}
	if l.Running == 0 && l.Waiting == 0 && l.RecentPrefillMillis < minReportedPrefill {
		return l, false
	}
	for priority := range priorityLevels {
		l.QueuedPrefillMillis = append(l.QueuedPrefillMillis, int(a.queuedPrefill(priority, now).Milliseconds()))
	}
	return l, true
}
