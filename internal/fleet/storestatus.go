package fleet

import (
	"context"
	"sync"
	"time"
)

// StoreStatus is what a gateway that reads the store tells the others of its region:
// what it has read, and how long ago.
type StoreStatus struct {
	// EndpointsFingerprint identifies the entries of endpoints, Routes is the version of
	// the configuration, Evacuated are the data centres that get nothing.
	EndpointsFingerprint uint64   `json:"endpoints"`
	ConfigVersion        uint64   `json:"routes"`
	Evacuated            []string `json:"evacuated,omitempty"`
	// EndpointsAgeMillis and OperatorsAge are the times since the store answered, in
	// milliseconds.
	EndpointsAgeMillis int64 `json:"endpoints_age_ms"`
	OperatorsAgeMillis int64 `json:"operators_age_ms"`
}

// LatestStoreStatus holds the newest word of the store's reader. It is safe for concurrent
// use.
type LatestStoreStatus struct {
	mu   sync.RWMutex
	word StoreStatus
	from string
	at   time.Time
	news chan struct{}
}

// NewLatestStoreStatus returns an empty holder.
func NewLatestStoreStatus() *LatestStoreStatus { return &LatestStoreStatus{news: make(chan struct{})} }

// Set takes in the word of a gateway.
func (w *LatestStoreStatus) Set(from string, word StoreStatus, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.word, w.from, w.at = word, from, now
	close(w.news)
	w.news = make(chan struct{})
}

// Get returns the newest word, who gave it, when, and a channel that is closed
// when another comes.
func (w *LatestStoreStatus) Get() (word StoreStatus, from string, at time.Time, news <-chan struct{}) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.word, w.from, w.at, w.news
}

// WaitForFirst waits for a first word, for at most limit.
func (w *LatestStoreStatus) WaitForFirst(ctx context.Context, limit time.Duration) {
	_, _, at, news := w.Get()
	if !at.IsZero() {
		return
	}
	select {
	case <-ctx.Done():
	case <-news:
	case <-time.After(limit):
	}
}

// EndpointsReadAt returns when the store was last known to answer with the entries
// of endpoints, OperatorsAt the same for what operators wrote. Zero is never.
func (w *LatestStoreStatus) EndpointsReadAt() time.Time {
	word, _, at, _ := w.Get()
	return before(at, word.EndpointsAgeMillis)
}

// OperatorsReadAt returns when what operators wrote was last read.
func (w *LatestStoreStatus) OperatorsReadAt() time.Time {
	word, _, at, _ := w.Get()
	return before(at, word.OperatorsAgeMillis)
}

func before(at time.Time, ms int64) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(-time.Duration(ms) * time.Millisecond)
}
