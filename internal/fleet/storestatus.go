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
	// EndpointsAgeMillis and OperatorsAgeMillis are the times in milliseconds
	// since the store last answered a read of the endpoints' entries and of what
	// operators wrote.
	EndpointsAgeMillis int64 `json:"endpoints_age_ms"`
	OperatorsAgeMillis int64 `json:"operators_age_ms"`
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
