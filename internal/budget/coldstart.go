package budget

import (
	"math"
	"sync"
	"time"
)

// coldStartWindow is the sliding window in which requests to a cold endpoint
// are counted.
const coldStartWindow = time.Second

// ColdStartSettings limits the requests that a cold endpoint receives from all
// gateways together.
type ColdStartSettings struct {
	// The limit per second is the rate that the endpoint's service allows,
	// multiplied by Overage, plus Slack.
	Overage float64
	Slack   float64
	// ConcurrentSenders is the number of gateways that may send to one cold
	// endpoint at the same time: the one that was chosen, and those that have
	// not yet learned that another was. They divide the limit equally.
	ConcurrentSenders int
}

// ColdStartLimiter limits the requests of one gateway to endpoints that have
// just started. It is safe for concurrent use.
type ColdStartLimiter struct {
	mu       sync.Mutex
	settings ColdStartSettings
	sent     map[string][]time.Time
}

// NewColdStartLimiter returns a limiter that has counted no requests.
func NewColdStartLimiter(s ColdStartSettings) *ColdStartLimiter {
	return &ColdStartLimiter{settings: s, sent: make(map[string][]time.Time)}
}

// Configure replaces the settings.
func (c *ColdStartLimiter) Configure(s ColdStartSettings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = s
}

// Allows reports whether a cold endpoint may receive one more request now. rate
// is the number of requests per second that its service allows; 0 means no
// limit. The request is not counted: the caller calls TryRecord when it sends it.
func (c *ColdStartLimiter) Allows(id string, rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.recent(id, now)) < c.limit(rate)
}

// TryRecord counts a request that is sent to a cold endpoint now and returns true. It
// returns false, and the request must not be sent, if others have used up the limit
// since Allows was asked.
func (c *ColdStartLimiter) TryRecord(id string, rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := c.recent(id, now)
	if len(recent) >= c.limit(rate) {
		return false
	}
	c.sent[id] = append(recent, now)
	return true
}

func (c *ColdStartLimiter) limit(rate float64) int {
	return int(math.Floor((rate*c.settings.Overage + c.settings.Slack) / float64(max(c.settings.ConcurrentSenders, 1))))
}

// recent returns the times of the requests within the window and drops
// endpoints that have none.
func (c *ColdStartLimiter) recent(id string, now time.Time) []time.Time {
	list := c.sent[id]
	for len(list) > 0 && now.Sub(list[0]) >= coldStartWindow {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(c.sent, id)
	}
	return list
}
