package edge

import "sync"

// ledger counts this gateway's own requests at each endpoint.
type ledger struct {
	mu sync.Mutex
	n  map[string]int
}

func newLedger() *ledger { return &ledger{n: make(map[string]int)} }

func (l *ledger) add(id string, d int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n[id] += d
}

func (l *ledger) get(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.n[id]
}
