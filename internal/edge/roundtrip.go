package edge

import (
	"sync"
	"time"
)

// firstRoundTrip is the round trip to another region that is assumed until one
// has been measured: that between distant data centres of one continent.
const firstRoundTrip = 100 * time.Millisecond

// pathStep is the weight of one measured round trip.
const pathStep = 0.2

// paths holds the round trips to other regions. It is safe for concurrent use.
type paths struct {
	mu    sync.RWMutex
	trips map[string]time.Duration
}

func newPaths() *paths { return &paths{trips: make(map[string]time.Duration)} }

func (p *paths) roundTrip(region string) time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if t, ok := p.trips[region]; ok {
		return t
	}
	return firstRoundTrip
}

// observe takes in the time that a connection to the region took to make.
func (p *paths) observe(region string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.trips[region]
	if !ok {
		p.trips[region] = took
		return
	}
	p.trips[region] = old + time.Duration(pathStep*float64(took-old))
}
