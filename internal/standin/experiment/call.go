package experiment

import (
	"fmt"
	"time"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// maxAttempts bounds the endpoints that a gateway tries for one call.
const maxAttempts = 3

// call is a request at one gateway. A call sent away has a child at a gateway
// of the other region.
type call struct {
	caller *caller
	arr    *arrival
	gw     *gateway
	id     string
	req    sched.Request
	parent *call
	child  *call
	// admitted says that a place among the customer's requests is held.
	admitted  bool
	engine    *engine
	attempt   int
	attemptID string
	decision  sched.Decision
	sentAt    time.Time
	emitted   int
	cached    int
	// at is when the call came to the gateway.
	at    time.Time
	ended bool
}

func newCall(ca *caller, gw *gateway) *call {
	s := gw.sim
	s.requests++
	c := &call{caller: ca, arr: ca.arr, gw: gw, id: fmt.Sprintf("q%d", s.requests), at: s.now}
	c.req = sched.Request{
		ID: c.id, Customer: ca.account, Model: "m", Groups: []string{group},
		PromptTokens: ca.arr.prompt, OutputTokens: s.dep.Mix.expectedOutput(ca.arr), PrefixHashes: ca.arr.prefix,
		Priority: ca.arr.priority, ForwardsLeft: 1, PermittedRegions: ca.permitted,
		ExcludedEndpoints: make(map[string]bool), OutputBytes: s.dep.Mix.expectedOutput(ca.arr) * streamBytesPerToken,
	}
	return c
}

// streamBytesPerToken is the size of a streamed token on a link.
const streamBytesPerToken = 200

// expectedOutput is what a gateway guesses of the answer's length: the mean.
func (m *Mix) expectedOutput(a *arrival) int {
	r := m.ShortOutput
	if a.prompt > m.ShortPrompt[1] {
		r = m.LongOutput
	}
	return (r[0] + r[1]) / 2
}

// newChild makes the call's other half at a gateway of another region.
func (c *call) newChild(to *region) *call {
	gw := to.gateways[to.next%len(to.gateways)]
	to.next++
	child := newCall(c.caller, gw)
	child.parent, child.req.ForwardsLeft = c, 0
	c.child = child
	return child
}

func (c *call) item() admit.Request {
	return admit.Request{
		ID: c.id, Customer: c.req.Customer, Group: group, Priority: c.req.Priority,
		EstimatedTokens:    c.req.PromptTokens + c.req.OutputTokens,
		FirstTokenDeadline: c.caller.deadline.Add(-time.Duration(c.req.OutputTokens) * c.gw.store.MeanTokenInterval(group)),
	}
}

// token passes on one token of the answer.
func (c *call) token(ev model.Event) {
	if c.ended {
		return
	}
	c.emitted++
	at := ev.At.Add(engineDelay)
	if ev.First {
		c.cached = ev.CachedTokens
		c.gw.store.RecordFirstToken(c.engine.id, c.attemptID, at)
		c.tracePoint(at)
	}
	if c.parent != nil {
		at = at.Add(c.gw.sim.dep.Link.OneWayDelay.AsDuration())
	}
	c.caller.token(at)
}

func (c *call) tracePoint(at time.Time) {
	f := c.gw.sim.fig
	f.trace = append(f.trace, TracePoint{
		At: c.sentAt.Sub(epoch), Gateway: c.gw.id, Endpoint: c.engine.id, Away: c.parent != nil, Priority: c.req.Priority,
		Prompt: c.req.PromptTokens, EstimatedCached: c.decision.CachedTokens, Cached: c.cached,
		Queued: c.sentAt.Sub(c.at), Estimated: c.decision.EstimatedTTFT, Actual: at.Sub(c.sentAt),
	})
}

// finished notes the whole answer.
func (c *call) finished(at time.Time) {
	if c.ended {
		return
	}
	c.gw.store.RecordEnd(c.engine.id, c.attemptID, datastore.Success, at)
	c.gw.ctl.RecordSuccess()
	if c.parent != nil {
		at = at.Add(c.gw.sim.dep.Link.OneWayDelay.AsDuration())
		c.gw.sim.transfer(c.gw.region.index, c.parent.gw.region.index, c.emitted*streamBytesPerToken)
		c.parent.gw.ctl.RecordSuccess()
		c.parent.end()
	}
	c.end()
	c.caller.finished(at, c)
	c.gw.pump()
}

// failAfter fails the present attempt in d and tries another endpoint if the
// retry budget lets it.
func (c *call) failAfter(d time.Duration, r datastore.Result) {
	e, attempt := c.engine, c.attempt
	c.gw.sim.after(d, func() {
		if c.ended || c.attempt != attempt {
			return
		}
		c.gw.store.RecordEnd(e.id, c.attemptID, r, c.gw.sim.now)
		c.req.ExcludedEndpoints[e.id] = true
		c.gw.sim.fig.failure()
		if c.attempt >= maxAttempts || !c.gw.ctl.AllowRetry() {
			c.refuse(failure.CodeEndpointFailed, time.Second)
			return
		}
		c.gw.redispatch(c)
	})
}

// refuse ends the call with a refusal. The call that sent it away stays in its
// own region then.
func (c *call) refuse(code failure.Code, retryAfter time.Duration) {
	if c.ended {
		return
	}
	c.end()
	if c.parent == nil {
		c.caller.refused(code, retryAfter)
		return
	}
	p := c.parent
	p.child = nil
	c.gw.sim.after(c.gw.sim.dep.Link.OneWayDelay.AsDuration(), func() {
		if !p.ended {
			p.gw.redispatch(p)
		}
	})
}

// cancel ends the call because its caller went away or its link broke.
func (c *call) cancel() {
	if c.ended {
		return
	}
	if c.child != nil {
		c.child.cancel()
	}
	if c.engine != nil {
		c.engine.cancel(c)
		c.gw.store.RecordEnd(c.engine.id, c.attemptID, datastore.Cancelled, c.gw.sim.now)
	}
	if _, ok := c.gw.queued[c.id]; ok {
		delete(c.gw.queued, c.id)
		c.gw.ctl.RemoveQueued(group, c.id)
	}
	c.end()
}

func (c *call) end() {
	c.ended = true
	if c.admitted {
		c.gw.ctl.Release(c.item(), 0, c.gw.sim.now)
	}
}

// breakCalls fails the calls whose link has just been cut: the remote half is
// cancelled, the other half waits for the silence limit and stays at home.
func (s *sim) breakCalls() {
	for _, e := range s.engines {
		e.advance()
		for _, id := range sortedKeys(e.jobs) {
			c := e.jobs[id]
			if c.parent == nil || s.reachable(c.gw.region.index, c.parent.gw.region.index) {
				continue
			}
			p := c.parent
			p.emitted = c.emitted
			c.cancel()
			s.after(silenceLimit, func() {
				p.child = nil
				if !p.ended {
					p.gw.redispatch(p)
				}
			})
		}
	}
}
