package endpointload

import (
	"strings"
	"sync"
	"time"
)

// peerTime is how long what another gateway told counts.
const peerTime = 1500 * time.Millisecond

// EndpointLoad is what one gateway has under way at one endpoint.
type EndpointLoad struct {
	ID string
	// Running and Waiting count the requests that have and have not begun to
	// be answered.
	Running int
	Waiting int
	// KVTokens is what they take, in tokens.
	KVTokens int
	// QueuedPrefillMillis is the reading time of the waiting ones in milliseconds, by
	// urgency from 0 on, each with what comes before it. Urgencies beyond the
	// last wait as long as that.
	QueuedPrefillMillis []int
	// RecentPrefillMillis is the reading time of late requests in milliseconds, faded.
	RecentPrefillMillis int
}

// Add returns the sum of two rows of one endpoint.
func (r EndpointLoad) Add(o EndpointLoad) EndpointLoad {
	r.Running += o.Running
	r.Waiting += o.Waiting
	r.KVTokens += o.KVTokens
	r.RecentPrefillMillis += o.RecentPrefillMillis
	r.QueuedPrefillMillis = addQueued(r.QueuedPrefillMillis, o.QueuedPrefillMillis, 1)
	return r
}

// Sub returns the row without a part of it, which may have changed since.
func (r EndpointLoad) Sub(o EndpointLoad) EndpointLoad {
	r.Running = max(r.Running-o.Running, 0)
	r.Waiting = max(r.Waiting-o.Waiting, 0)
	r.KVTokens = max(r.KVTokens-o.KVTokens, 0)
	r.RecentPrefillMillis = max(r.RecentPrefillMillis-o.RecentPrefillMillis, 0)
	r.QueuedPrefillMillis = addQueued(r.QueuedPrefillMillis, o.QueuedPrefillMillis, -1)
	return r
}

// addQueued returns a + sign * b, nowhere below 0.
func addQueued(a, b []int, sign int) []int {
	out := make([]int, max(len(a), len(b)))
	for u := range out {
		out[u] = max(queuedAt(a, u)+sign*queuedAt(b, u), 0)
	}
	return out
}

// queuedAt returns the queue of an urgency, in milliseconds.
func queuedAt(q []int, urgency int) int {
	if len(q) == 0 {
		return 0
	}
	return q[min(urgency, len(q)-1)]
}

// peers holds what the other gateways told.
type peers struct {
	mu   sync.RWMutex
	told map[string]report
	// rows indexes the newest rows by endpoint and gateway.
	rows map[string]map[string]EndpointLoad
}

type report struct {
	at  time.Time
	ids []string
}

func newPeers() *peers {
	return &peers{told: make(map[string]report), rows: make(map[string]map[string]EndpointLoad)}
}

func (p *peers) hear(gateway string, rows []EndpointLoad, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.told[gateway].ids {
		delete(p.rows[id], gateway)
	}
	ids := make([]string, 0, len(rows))
	for _, r := range rows {
		ids = append(ids, r.ID)
		byGateway, ok := p.rows[r.ID]
		if !ok {
			byGateway = make(map[string]EndpointLoad)
			p.rows[r.ID] = byGateway
		}
		byGateway[gateway] = r
	}
	p.told[gateway] = report{at: now, ids: ids}
}

// sum adds up what the gateways that were heard lately told of an endpoint.
// What was queued when they told it has gone on since.
func (p *peers) sum(id string, now time.Time) EndpointLoad {
	p.mu.RLock()
	defer p.mu.RUnlock()
	total := EndpointLoad{ID: id}
	for gateway, r := range p.rows[id] {
		age := now.Sub(p.told[gateway].at)
		if age > peerTime {
			continue
		}
		aged := r.aged(age)
		if strings.HasPrefix(gateway, sumPrefix) {
			// A region as a whole goes on as it did.
			aged.RecentPrefillMillis = r.RecentPrefillMillis
		}
		total = total.Add(aged)
	}
	return total
}

// aged returns what a row has become after some time.
func (r EndpointLoad) aged(age time.Duration) EndpointLoad {
	r.RecentPrefillMillis = int(fade(time.Duration(r.RecentPrefillMillis)*time.Millisecond, age).Milliseconds())
	queued := make([]int, len(r.QueuedPrefillMillis))
	for u, ms := range r.QueuedPrefillMillis {
		queued[u] = max(ms-int(age.Milliseconds()), 0)
	}
	r.QueuedPrefillMillis = queued
	return r
}

// RegionLoads returns the sums of the given rows of this gateway and those that the
// other gateways of the region told.
func (l *Tracker) RegionLoads(own []EndpointLoad, now time.Time) []EndpointLoad {
	sums := make(map[string]EndpointLoad, len(own))
	for _, r := range own {
		sums[r.ID] = r
	}
	l.peers.each(now, func(r EndpointLoad) { sums[r.ID] = sums[r.ID].Add(r) })
	out := make([]EndpointLoad, 0, len(sums))
	for id, r := range sums {
		r.ID = id
		out = append(out, r)
	}
	return out
}

// each calls fn for the rows that single gateways told lately.
func (p *peers) each(now time.Time, fn func(EndpointLoad)) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, byGateway := range p.rows {
		for gateway, r := range byGateway {
			age := now.Sub(p.told[gateway].at)
			if age <= peerTime && !strings.HasPrefix(gateway, sumPrefix) {
				fn(r.aged(age))
			}
		}
	}
}

// ApplyRegionLoads takes in the sums that a hub tells of a region; within the own region
// they replace the rows of its gateways.
func (l *Tracker) ApplyRegionLoads(region string, rows []EndpointLoad, now time.Time) {
	l.peers.hear(sumPrefix+region, rows, now)
}

// sumPrefix marks the source of sums.
const sumPrefix = "sum "

// ApplyGatewayLoads takes in what another gateway has under way.
func (l *Tracker) ApplyGatewayLoads(gateway string, rows []EndpointLoad, now time.Time) {
	l.peers.hear(gateway, rows, now)
}

// urgencies is the number of urgencies that rows tell apart.
const urgencies = 3

// Loads returns what this gateway has under way, for the others.
func (l *Tracker) Loads(now time.Time) []EndpointLoad {
	var out []EndpointLoad
	for i := range l.shards {
		sh := &l.shards[i]
		sh.mu.Lock()
		for id, a := range sh.accounts {
			if r, any := a.row(id, now); any {
				out = append(out, r)
			}
		}
		sh.mu.Unlock()
	}
	return out
}

func (a *account) row(id string, now time.Time) (EndpointLoad, bool) {
	r := EndpointLoad{ID: id, Running: a.running, KVTokens: a.memory, RecentPrefillMillis: int(a.busyNow(now).Milliseconds())}
	for _, e := range a.pending {
		if !e.job.Forwarded {
			r.Waiting++
		}
	}
	if r.Running == 0 && r.Waiting == 0 && r.RecentPrefillMillis == 0 {
		return r, false
	}
	for u := range urgencies {
		r.QueuedPrefillMillis = append(r.QueuedPrefillMillis, int(a.queued(u, now).Milliseconds()))
	}
	return r, true
}
