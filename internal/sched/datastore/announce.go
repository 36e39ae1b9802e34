package datastore

import (
	"sync"
	"time"
)

// MinAnnouncedTokens is the least number of uncached prompt tokens for which a
// request is announced to the region's other gateways. The announcement arrives
// before the endpoint's next load report includes the request.
const MinAnnouncedTokens = 1000

// maxAnnouncements bounds the announcements that are queued, and those accepted
// from one message.
const maxAnnouncements = 64

// PrefillAnnouncement announces a large prefill to the region's other gateways.
type PrefillAnnouncement struct {
	Endpoint string `json:"endpoint"`
	Tokens   int    `json:"tokens"`
	// AgeMillis is the time since the request was sent, in milliseconds. It makes
	// the announcement independent of the gateways' clocks.
	AgeMillis int64 `json:"age_ms"`
}

// announcementQueue holds the announcements that have not been sent yet.
type announcementQueue struct {
	mu      sync.Mutex
	pending []pendingAnnouncement
}

type pendingAnnouncement struct {
	endpoint string
	tokens   int
	sentAt   time.Time
}

// add queues an announcement if tokens reaches MinAnnouncedTokens. When the queue
// is full, it drops the oldest announcement.
func (q *announcementQueue) add(endpoint string, tokens int, now time.Time) {
	if tokens < MinAnnouncedTokens {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) >= maxAnnouncements {
		q.pending = q.pending[1:]
	}
	q.pending = append(q.pending, pendingAnnouncement{endpoint: endpoint, tokens: tokens, sentAt: now})
}

// TakeAnnouncements removes and returns the announcements to send to the region's
// other gateways.
func (s *Store) TakeAnnouncements(now time.Time) []PrefillAnnouncement {
	q := &s.announcements
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) == 0 {
		return nil
	}
	out := make([]PrefillAnnouncement, len(q.pending))
	for i, p := range q.pending {
		out[i] = PrefillAnnouncement{Endpoint: p.endpoint, Tokens: p.tokens, AgeMillis: now.Sub(p.sentAt).Milliseconds()}
	}
	q.pending = nil
	return out
}

// ApplyAnnouncements records the prefills announced by another gateway of the
// region. It ignores invalid announcements and those beyond maxAnnouncements.
func (s *Store) ApplyAnnouncements(list []PrefillAnnouncement, now time.Time) {
	for _, a := range list[:min(len(list), maxAnnouncements)] {
		if a.Tokens < 0 || a.AgeMillis < 0 {
			continue
		}
		at := now.Add(-time.Duration(a.AgeMillis) * time.Millisecond)
		s.updateEntry(a.Endpoint, func(e *entry) { e.recordPeerSent(a.Tokens, at) })
	}
}
