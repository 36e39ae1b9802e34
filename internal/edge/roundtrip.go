package edge

import (
	"sync"
	"time"
)

// defaultRoundTrip is the round trip to another region that is assumed until one
// has been measured. It is typical of distant data centres on one continent.
const defaultRoundTrip = 100 * time.Millisecond

// roundTripSmoothing is the weight of a new measurement in the moving average.
const roundTripSmoothing = 0.2

// roundTrips holds the moving average of the round-trip time to each other region.
// It is safe for concurrent use.
type roundTrips struct {
	mu       sync.RWMutex
	byRegion map[string]time.Duration
}

func newRoundTrips() *roundTrips { return &roundTrips{byRegion: make(map[string]time.Duration)} }

// get returns the average for the region, or defaultRoundTrip if none was measured.
func (r *roundTrips) get(region string) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if t, ok := r.byRegion[region]; ok {
		return t
	}
	return defaultRoundTrip
}

// observe adds a measurement: the time that it took to connect to the region.
func (r *roundTrips) observe(region string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.byRegion[region]
	if !ok {
		r.byRegion[region] = took
		return
	}
	r.byRegion[region] = old + time.Duration(roundTripSmoothing*float64(took-old))
}
