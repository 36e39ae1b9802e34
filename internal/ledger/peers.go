package ledger

import (
	"strings"
	"sync"
	"time"
)

// peerTime is how long what another gateway told counts.
const peerTime = 1500 * time.Millisecond

// Row is what one gateway has under way at one endpoint.
type Row struct {
	ID string
	// Running and Waiting count the requests that have and have not begun to
	// be answered.
	Running int
	Waiting int
	// Memory is what they take, in tokens.
	Memory int
	// Queued is the reading time of the waiting ones in milliseconds, by
	// urgency from 0 on, each with what comes before it. Urgencies beyond the
	// last wait as long as that.
	Queued []int
	// Busy is the reading time of late requests in milliseconds, faded.
	Busy int
}

// Plus returns the sum of two rows of one endpoint.
func (r Row) Plus(o Row) Row {
	r.Running += o.Running
	r.Waiting += o.Waiting
	r.Memory += o.Memory
	r.Busy += o.Busy
	r.Queued = addQueued(r.Queued, o.Queued, 1)
	return r
}

// Minus returns the row without a part of it, which may have changed since.
func (r Row) Minus(o Row) Row {
	r.Running = max(r.Running-o.Running, 0)
	r.Waiting = max(r.Waiting-o.Waiting, 0)
	r.Memory = max(r.Memory-o.Memory, 0)
	r.Busy = max(r.Busy-o.Busy, 0)
	r.Queued = addQueued(r.Queued, o.Queued, -1)
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
	rows map[string]map[string]Row
}

type report struct {
	at  time.Time
	ids []string
}

func newPeers() *peers {
	return &peers{told: make(map[string]report), rows: make(map[string]map[string]Row)}
}

func (p *peers) hear(gateway string, rows []Row, now time.Time) {
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
			byGateway = make(map[string]Row)
			p.rows[r.ID] = byGateway
		}
		byGateway[gateway] = r
	}
	p.told[gateway] = report{at: now, ids: ids}
}

// sum adds up what the gateways that were heard lately told of an endpoint.
// What was queued when they told it has gone on since.
func (p *peers) sum(id string, now time.Time) Row {
	p.mu.RLock()
	defer p.mu.RUnlock()
	total := Row{ID: id}
	for gateway, r := range p.rows[id] {
		age := now.Sub(p.told[gateway].at)
		if age > peerTime {
			continue
		}
		aged := r.aged(age)
		if strings.HasPrefix(gateway, sumPrefix) {
			// A region as a whole goes on as it did.
			aged.Busy = r.Busy
		}
		total = total.Plus(aged)
	}
	return total
}

// aged returns what a row has become after some time.
func (r Row) aged(age time.Duration) Row {
	r.Busy = int(fade(time.Duration(r.Busy)*time.Millisecond, age).Milliseconds())
	queued := make([]int, len(r.Queued))
	for u, ms := range r.Queued {
		queued[u] = max(ms-int(age.Milliseconds()), 0)
	}
	r.Queued = queued
	return r
}

// Total returns the sums of the given rows of this gateway and those that the
// other gateways of the region told.
func (l *Ledger) Total(own []Row, now time.Time) []Row {
	sums := make(map[string]Row, len(own))
	for _, r := range own {
		sums[r.ID] = r
	}
	l.peers.each(now, func(r Row) { sums[r.ID] = sums[r.ID].Plus(r) })
	out := make([]Row, 0, len(sums))
	for id, r := range sums {
		r.ID = id
		out = append(out, r)
	}
	return out
}

// each calls fn for the rows that single gateways told lately.
func (p *peers) each(now time.Time, fn func(Row)) {
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

// HearSum takes in the sums that a hub tells of a region; within the own region
// they replace the rows of its gateways.
func (l *Ledger) HearSum(region string, rows []Row, now time.Time) {
	l.peers.hear(sumPrefix+region, rows, now)
}

// sumPrefix marks the source of sums.
const sumPrefix = "sum "

// Hear takes in what another gateway has under way.
func (l *Ledger) Hear(gateway string, rows []Row, now time.Time) { l.peers.hear(gateway, rows, now) }

// urgencies is the number of urgencies that rows tell apart.
const urgencies = 3

// Rows returns what this gateway has under way, for the others.
func (l *Ledger) Rows(now time.Time) []Row {
	var out []Row
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

func (a *account) row(id string, now time.Time) (Row, bool) {
	r := Row{ID: id, Running: a.running, Memory: a.memory, Busy: int(a.busyNow(now).Milliseconds())}
	for _, e := range a.pending {
		if !e.job.Away {
			r.Waiting++
		}
	}
	if r.Running == 0 && r.Waiting == 0 && r.Busy == 0 {
		return r, false
	}
	for u := range urgencies {
		r.Queued = append(r.Queued, int(a.queued(u, now).Milliseconds()))
	}
	return r, true
}
