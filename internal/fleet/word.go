package fleet

import (
	"context"
	"sync"
	"time"
)

// Word is what a gateway that reads the store tells the others of its region:
// what it has read, and how long ago.
type Word struct {
	// Endpoints identifies the entries of endpoints, Routes is the version of
	// the configuration, Evacuated are the data centres that get nothing.
	Endpoints uint64   `json:"endpoints"`
	Routes    uint64   `json:"routes"`
	Evacuated []string `json:"evacuated,omitempty"`
	// EndpointsAge and OperatorsAge are the times since the store answered, in
	// milliseconds.
	EndpointsAge int64 `json:"endpoints_age_ms"`
	OperatorsAge int64 `json:"operators_age_ms"`
}

// Words holds the newest word of the store's reader. It is safe for concurrent
// use.
type Words struct {
	mu   sync.RWMutex
	word Word
	from string
	at   time.Time
	news chan struct{}
}

// NewWords returns an empty holder.
func NewWords() *Words { return &Words{news: make(chan struct{})} }

// Hear takes in the word of a gateway.
func (w *Words) Hear(from string, word Word, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.word, w.from, w.at = word, from, now
	close(w.news)
	w.news = make(chan struct{})
}

// Last returns the newest word, who gave it, when, and a channel that is closed
// when another comes.
func (w *Words) Last() (word Word, from string, at time.Time, news <-chan struct{}) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.word, w.from, w.at, w.news
}

// Await waits for a first word, for at most limit.
func (w *Words) Await(ctx context.Context, limit time.Duration) {
	_, _, at, news := w.Last()
	if !at.IsZero() {
		return
	}
	select {
	case <-ctx.Done():
	case <-news:
	case <-time.After(limit):
	}
}

// EndpointsAt returns when the store was last known to answer with the entries
// of endpoints, OperatorsAt the same for what operators wrote. Zero is never.
func (w *Words) EndpointsAt() time.Time {
	word, _, at, _ := w.Last()
	return before(at, word.EndpointsAge)
}

// OperatorsAt returns when what operators wrote was last read.
func (w *Words) OperatorsAt() time.Time {
	word, _, at, _ := w.Last()
	return before(at, word.OperatorsAge)
}

func before(at time.Time, ms int64) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(-time.Duration(ms) * time.Millisecond)
}
