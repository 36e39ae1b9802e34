package ledger

import (
	"sync"
	"time"
)

// peerTime is how long what another gateway told counts.
const peerTime = 1500 * time.Millisecond

// Row is what one gateway has under way at one endpoint.
type Row struct {
	ID string `json:"i"`
	// Running and Waiting count the requests that have and have not begun to
	// be answered.
	Running int `json:"r,omitempty"`
	Waiting int `json:"w,omitempty"`
	// Memory is what they take, in tokens.
	Memory int `json:"m,omitempty"`
	// Queued is the reading time of the waiting ones in milliseconds, by
	// urgency from 0 on, each with what comes before it.
	Queued []int `json:"q,omitempty"`
	// Busy is the reading time of late requests in milliseconds, faded.
	Busy int `json:"b,omitempty"`
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
		total.Running += r.Running
		total.Waiting += r.Waiting
		total.Memory += r.Memory
		total.Busy += int(fade(time.Duration(r.Busy)*time.Millisecond, age).Milliseconds())
		for u, ms := range r.Queued {
			for len(total.Queued) <= u {
				total.Queued = append(total.Queued, 0)
			}
			total.Queued[u] += max(ms-int(age.Milliseconds()), 0)
		}
	}
	return total
}

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
