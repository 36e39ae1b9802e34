package budget

import (
	"math"
	"sync"
	"time"
)

// coldSpan is the time over which requests to cold endpoints are counted.
const coldSpan = time.Second

// ColdStartSettings bound the requests that a cold endpoint gets.
type ColdStartSettings struct {
	// Overage multiplies the rate that the endpoint's service allows, Slack is
	// added to it.
	Overage float64
	Slack   float64
	// ConcurrentSenders is the number of gateways that may send to one cold endpoint at
	// the same time: the one that is chosen, and those that have not yet seen
	// that another was.
	ConcurrentSenders int
}

// ColdStartLimiter limits the requests to endpoints that have just started. It is safe for
// concurrent use.
type ColdStartLimiter struct {
	mu       sync.Mutex
	settings ColdStartSettings
	sent     map[string][]time.Time
}

// NewColdStartLimiter returns a limiter.
func NewColdStartLimiter(s ColdStartSettings) *ColdStartLimiter {
	return &ColdStartLimiter{settings: s, sent: make(map[string][]time.Time)}
}

// Configure takes changed settings.
func (c *ColdStartLimiter) Configure(s ColdStartSettings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = s
}

// Allows says whether a cold endpoint whose service allows rate requests a
// second may get one more now. A rate of 0 sets no limit.
func (c *ColdStartLimiter) Allows(id string, rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.recent(id, now)) < c.limit(rate)
}

// Record counts a request that is sent to a cold endpoint now.
func (c *ColdStartLimiter) Record(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = append(c.recent(id, now), now)
}

func (c *ColdStartLimiter) limit(rate float64) int {
	return int(math.Floor((rate*c.settings.Overage + c.settings.Slack) / float64(max(c.settings.ConcurrentSenders, 1))))
}

// recent drops what was sent before the span and returns the rest.
func (c *ColdStartLimiter) recent(id string, now time.Time) []time.Time {
	list := c.sent[id]
	for len(list) > 0 && now.Sub(list[0]) >= coldSpan {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(c.sent, id)
	}
	return list
}
