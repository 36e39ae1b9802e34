package experiment

import (
	"fmt"
	"time"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/failure"
)

// Behaviour of callers.
const (
	// firstGatewayShare is the share of requests whose first attempt goes to the
	// first gateway in the customer's order; the others start at the second.
	firstGatewayShare = 0.8
	// maxCallerRetries is how often a caller retries at most after refusals.
	maxCallerRetries = 2
)

// caller is the client of one request. It retries after a refusal.
type caller struct {
	sim              *simulation
	arrival          *arrival
	customer         string
	permittedRegions map[string]bool
	currentCall      *call
	attempts         int
	// deadline bounds the request with its retries; attemptStartedAt is when the
	// current attempt was sent.
	deadline         time.Time
	attemptStartedAt time.Time
	firstTokenAt     time.Time
	lastTokenAt      time.Time
	tokens           int
	done             bool
}

func newCaller(s *simulation, a *arrival, _ int) *caller {
	c := &caller{sim: s, arrival: a, permittedRegions: make(map[string]bool)}
	c.customer = fmt.Sprintf("%s-%d", s.regions[a.region].name, a.customer)
	c.deadline = epoch.Add(a.at + a.deadline)
	for _, r := range s.regions {
		if !a.regionBound || r.index == a.region {
			c.permittedRegions[r.name] = true
		}
	}
	return c
}

// send starts the next attempt at a gateway. The first one also arms the
// deadline.
func (c *caller) send() {
	s := c.sim
	if c.attempts == 0 {
		s.recorder.recordArrival(c)
		s.scheduleAt(c.deadline, c.expire)
	}
	c.attempts++
	c.attemptStartedAt = s.now
	c.currentCall = newCall(c, c.pickGateway())
	c.currentCall.gateway.receive(c.currentCall)
}

// pickGateway returns the gateway for the current attempt. The order is the one
// that the list of entries gives the customer; each retry goes to the next
// gateway in it.
func (c *caller) pickGateway() *gateway {
	gs := c.sim.regions[c.arrival.region].gateways
	ids := make([]string, len(gs))
	for i, g := range gs {
		ids[i] = g.id
	}
	order := admit.RankGateways(c.customer, ids)
	position := c.attempts - 1
	if float64(c.arrival.randomBits>>11)/(1<<53) >= firstGatewayShare {
		position++
	}
	want := order[position%len(order)]
	for _, g := range gs {
		if g.id == want {
			return g
		}
	}
	return gs[0]
}

// recordToken records a token that reaches the caller at the time at. The time to
// first token counts from the start of the current attempt.
func (c *caller) recordToken(at time.Time) {
	if c.done {
		return
	}
	c.tokens++
	if c.tokens == 1 {
		c.firstTokenAt = at
		c.sim.recorder.recordFirstToken(c, at.Sub(c.attemptStartedAt))
	} else {
		c.sim.recorder.recordTokenInterval(c, at.Sub(c.lastTokenAt))
	}
	c.lastTokenAt = at
}

// finish records that the complete response has reached the caller.
func (c *caller) finish(at time.Time, last *call) {
	if c.done {
		return
	}
	c.done = true
	c.sim.recorder.recordFinished(c, last, !at.After(c.deadline))
}

// handleRefusal records a refusal and retries after retryAfter, at least a second,
// and up to a second of jitter. The request is lost if no retry is left or the
// retry would come after the deadline.
func (c *caller) handleRefusal(code failure.Code, retryAfter time.Duration) {
	if c.done {
		return
	}
	c.sim.recorder.recordRefusal(c, code)
	pause := max(retryAfter, time.Second) + time.Duration(hash(c.arrival.randomBits, uint64(c.attempts))%1000)*time.Millisecond
	if c.attempts > maxCallerRetries || c.sim.now.Add(pause).After(c.deadline) {
		c.done = true
		c.sim.recorder.recordLost(c)
		return
	}
	c.sim.scheduleAfter(pause, func() {
		if !c.done {
			c.send()
		}
	})
}

// expire ends the request at its deadline, after the engines that serve it have
// delivered the tokens due by then. Without any token, the wait since the start
// of the current attempt counts as the time to first token.
func (c *caller) expire() {
	if c.done {
		return
	}
	for _, e := range c.sim.engines {
		if c.currentCall.engine == e || c.currentCall.child != nil && c.currentCall.child.engine == e {
			e.advance()
		}
	}
	if c.done {
		return
	}
	c.done = true
	if c.tokens == 0 {
		c.sim.recorder.recordFirstToken(c, c.sim.now.Sub(c.attemptStartedAt))
	}
	c.sim.recorder.recordLost(c)
	gw := c.currentCall.gateway
	c.currentCall.cancel()
	gw.dispatchQueued()
}
