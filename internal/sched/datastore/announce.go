package datastore

import (
	"sync"
	"time"
)

// MinAnnouncedTokens is the uncached part of a prompt from which the region's
// other gateways are told of a request, before the endpoint's report shows it.
const MinAnnouncedTokens = 1000

// maxAnnouncements bounds the announcements that wait to be told.
const maxAnnouncements = 64

// PrefillAnnouncement tells the region's other gateways of a large prefill.
type PrefillAnnouncement struct {
	Endpoint string `json:"endpoint"`
	Tokens   int    `json:"tokens"`
	// AgeMillis is the time since the request was sent.
	AgeMillis int64 `json:"age_ms"`
}

// announcements are what this gateway has still to tell.
type announcements struct {
	mu      sync.Mutex
	pending []pendingAnnouncement
}

type pendingAnnouncement struct {
	endpoint string
	tokens   int
	at       time.Time
}

// add notes a large prefill; when too many wait, the oldest is dropped.
func (a *announcements) add(endpoint string, tokens int, now time.Time) {
	if tokens < MinAnnouncedTokens {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) >= maxAnnouncements {
		a.pending = a.pending[1:]
	}
	a.pending = append(a.pending, pendingAnnouncement{endpoint: endpoint, tokens: tokens, at: now})
}

// TakeAnnouncements returns what to tell the region's other gateways, once.
func (s *Store) TakeAnnouncements(now time.Time) []PrefillAnnouncement {
	a := &s.announce
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) == 0 {
		return nil
	}
	out := make([]PrefillAnnouncement, len(a.pending))
	for i, p := range a.pending {
		out[i] = PrefillAnnouncement{Endpoint: p.endpoint, Tokens: p.tokens, AgeMillis: now.Sub(p.at).Milliseconds()}
	}
	a.pending = nil
	return out
}

// ApplyAnnouncements takes in what another gateway of the region told.
func (s *Store) ApplyAnnouncements(list []PrefillAnnouncement, now time.Time) {
	for _, a := range list[:min(len(list), maxAnnouncements)] {
		if a.Tokens < 0 || a.AgeMillis < 0 {
			continue
		}
		at := now.Add(-time.Duration(a.AgeMillis) * time.Millisecond)
		s.with(a.Endpoint, func(e *entry) { e.peerSend(a.Tokens, at) })
	}
}
