package fleet

import (
	"context"
	"sync"
	"time"
)

// StoreStatus is what the store reader of a region announces to the other
// gateways of the region: what it has read from the store, and how long ago.
type StoreStatus struct {
	// EndpointsFingerprint is the fingerprint of the registry of endpoints,
	// ConfigVersion the version of the configuration, and Evacuated the data
	// centres that get no requests.
	EndpointsFingerprint uint64   `json:"endpoints"`
	ConfigVersion        uint64   `json:"routes"`
	Evacuated            []string `json:"evacuated,omitempty"`
	// Era is the store's era, 0 if it isn't known.
	Era uint64 `json:"era,omitempty"`
	// EndpointsAgeMillis and OperatorsAgeMillis are the times in milliseconds
	// since the store last answered a read of the endpoints' entries and of what
	// operators wrote.
	EndpointsAgeMillis int64 `json:"endpoints_age_ms"`
	OperatorsAgeMillis int64 `json:"operators_age_ms"`
}

// A gateway that has not heard for a while what the store reader has read reads the
// store itself.
const (
	// staleShare is the part of the time within which a change has to take effect
	// after which it does so. The rest is for the read, and for requests that are on
	// their way.
	staleShare = 0.55
	// minStaleAfter is longer than the status takes to reach all gateways of a large
	// region: the interval between two reads, that between two checks of whether a
	// read is due, and that between two heartbeats of a hub.
	minStaleAfter = 1650 * time.Millisecond
)

// StaleAfter returns the age of the last known read of the store from which on a
// gateway that is not the store reader reads the store itself, for data whose changes
// have to take effect within bound.
func StaleAfter(bound time.Duration) time.Duration {
	return max(time.Duration(staleShare*float64(bound)), minStaleAfter)
}

// LatestStoreStatus holds the newest StoreStatus received. It is safe for
// concurrent use.
type LatestStoreStatus struct {
	mu         sync.RWMutex
	status     StoreStatus
	from       string
	receivedAt time.Time
	changed    chan struct{}
}

// NewLatestStoreStatus returns a holder that has received nothing yet.
func NewLatestStoreStatus() *LatestStoreStatus {
	return &LatestStoreStatus{changed: make(chan struct{})}
}

// Set replaces the status by the one that the gateway from has sent.
func (l *LatestStoreStatus) Set(from string, status StoreStatus, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status, l.from, l.receivedAt = status, from, now
	close(l.changed)
	l.changed = make(chan struct{})
}

// Get returns the newest status, the id of its sender, the time at which it was
// received, and a channel that is closed when the next one is set. from is empty
// and receivedAt zero if none was received.
func (l *LatestStoreStatus) Get() (status StoreStatus, from string, receivedAt time.Time, changed <-chan struct{}) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.status, l.from, l.receivedAt, l.changed
}

// WaitForFirst waits until a first status was received, ctx is done or limit has
// passed.
func (l *LatestStoreStatus) WaitForFirst(ctx context.Context, limit time.Duration) {
	_, _, receivedAt, changed := l.Get()
	if !receivedAt.IsZero() {
		return
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-time.After(limit):
	}
}

// EndpointsReadAt returns when the store reader last read the endpoints' entries;
// zero if no status was received.
func (l *LatestStoreStatus) EndpointsReadAt() time.Time {
	status, _, receivedAt, _ := l.Get()
	return subtractAge(receivedAt, status.EndpointsAgeMillis)
}

// OperatorsReadAt returns when the store reader last read what operators wrote;
// zero if no status was received.
func (l *LatestStoreStatus) OperatorsReadAt() time.Time {
	status, _, receivedAt, _ := l.Get()
	return subtractAge(receivedAt, status.OperatorsAgeMillis)
}

func subtractAge(receivedAt time.Time, ageMillis int64) time.Time {
	if receivedAt.IsZero() {
		return receivedAt
	}
	return receivedAt.Add(-time.Duration(ageMillis) * time.Millisecond)
}
