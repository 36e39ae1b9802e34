package experiment

import (
	"fmt"
	"time"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/failure"
)

// Habits of callers.
const (
	// firstGatewayShare is the share of requests that go to the customer's
	// first gateway; the rest go to the second.
	firstGatewayShare = 0.8
	// callerRetries is how often a caller tries again after a refusal.
	callerRetries = 2
)

// caller is the program that sends one request, with its retries.
type caller struct {
	sim       *sim
	arr       *arrival
	account   string
	permitted map[string]bool
	cur       *call
	tries     int
	// deadline ends it all; started is when the present try began.
	deadline time.Time
	started  time.Time
	firstAt  time.Time
	lastAt   time.Time
	tokens   int
	over     bool
}

func newCaller(s *sim, a *arrival, _ int) *caller {
	c := &caller{sim: s, arr: a, permitted: make(map[string]bool)}
	c.account = fmt.Sprintf("%s-%d", s.regions[a.region].name, a.account)
	c.deadline = epoch.Add(a.at + a.deadline)
	for _, r := range s.regions {
		if !a.bound || r.index == a.region {
			c.permitted[r.name] = true
		}
	}
	return c
}

// call sends the request to a gateway.
func (c *caller) call() {
	s := c.sim
	if c.tries == 0 {
		s.fig.arrived(c)
		s.at(c.deadline, c.expire)
	}
	c.tries++
	c.started = s.now
	c.cur = newCall(c, c.gateway())
	c.cur.gw.arrive(c.cur)
}

// gateway follows the order that the entries answer gives a customer; retries
// go to the other one.
func (c *caller) gateway() *gateway {
	gs := c.sim.regions[c.arr.region].gateways
	ids := make([]string, len(gs))
	for i, g := range gs {
		ids[i] = g.id
	}
	order := admit.RankGateways(c.account, ids)
	place := c.tries - 1
	if float64(c.arr.draw>>11)/(1<<53) >= firstGatewayShare {
		place++
	}
	want := order[place%len(order)]
	for _, g := range gs {
		if g.id == want {
			return g
		}
	}
	return gs[0]
}

// token notes a token that reaches the caller.
func (c *caller) token(at time.Time) {
	if c.over {
		return
	}
	c.tokens++
	if c.tokens == 1 {
		c.firstAt = at
		c.sim.fig.firstToken(c, at.Sub(c.started))
	} else {
		c.sim.fig.gap(c, at.Sub(c.lastAt))
	}
	c.lastAt = at
}

// finished notes the end of the answer.
func (c *caller) finished(at time.Time, last *call) {
	if c.over {
		return
	}
	c.over = true
	c.sim.fig.finished(c, last, !at.After(c.deadline))
}

// refused notes a refusal and tries again after a pause.
func (c *caller) refused(code failure.Code, retryAfter time.Duration) {
	if c.over {
		return
	}
	c.sim.fig.refused(c, code)
	pause := max(retryAfter, time.Second) + time.Duration(hash(c.arr.draw, uint64(c.tries))%1000)*time.Millisecond
	if c.tries > callerRetries || c.sim.now.Add(pause).After(c.deadline) {
		c.over = true
		c.sim.fig.lost(c)
		return
	}
	c.sim.after(pause, func() {
		if !c.over {
			c.call()
		}
	})
}

// expire ends the request at its deadline.
func (c *caller) expire() {
	if c.over {
		return
	}
	for _, e := range c.sim.engines {
		if c.cur.engine == e || c.cur.child != nil && c.cur.child.engine == e {
			e.advance()
		}
	}
	if c.over {
		return
	}
	c.over = true
	if c.tokens == 0 {
		c.sim.fig.firstToken(c, c.sim.now.Sub(c.started))
	}
	c.sim.fig.lost(c)
	gw := c.cur.gw
	c.cur.cancel()
	gw.pump()
}
