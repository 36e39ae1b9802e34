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

// maxAttempts is the number of endpoints that a gateway tries at most for one
// call.
const maxAttempts = 3

// call is a request as one gateway handles it. A call that is forwarded has a
// child: the call at the gateway of the other region.
type call struct {
	caller  *caller
	arrival *arrival
	gateway *gateway
	id      string
	req     sched.Request
	parent  *call
	child   *call
	// admitted says that the admission controller counts the call as one of the
	// customer's requests until it is released.
	admitted      bool
	engine        *engine
	attempt       int
	attemptID     string
	decision      sched.Decision
	sentAt        time.Time
	emittedTokens int
	cachedTokens  int
	// arrivedAt is when the gateway received the call.
	arrivedAt time.Time
	ended     bool
}

func newCall(ca *caller, gw *gateway) *call {
	s := gw.sim
	s.callCount++
	c := &call{caller: ca, arrival: ca.arrival, gateway: gw, id: fmt.Sprintf("q%d", s.callCount), arrivedAt: s.now}
	c.req = sched.Request{
		ID: c.id, Customer: ca.customer, Model: "m", Groups: []string{groupName},
		PromptTokens: ca.arrival.promptTokens, OutputTokens: s.deployment.Mix.expectedOutputTokens(ca.arrival),
		PrefixHashes: ca.arrival.prefixHashes,
		Priority:     ca.arrival.priority, ForwardsLeft: 1, PermittedRegions: ca.permittedRegions,
		ExcludedEndpoints: make(map[string]bool), OutputBytes: s.deployment.Mix.expectedOutputTokens(ca.arrival) * streamBytesPerToken,
	}
	return c
}

// streamBytesPerToken is the number of bytes that a streamed token takes on a
// link between regions.
const streamBytesPerToken = 200

// expectedOutputTokens is a gateway's estimate of the response's length: the
// middle of the range for short or for long requests, by the prompt's length.
func (m *Mix) expectedOutputTokens(a *arrival) int {
	r := m.ShortOutputTokens
	if a.promptTokens > m.ShortPromptTokens[1] {
		r = m.LongOutputTokens
	}
	return (r[0] + r[1]) / 2
}

// newChild returns the forwarded call at a gateway of region to. The region's
// gateways take turns; the child may not be forwarded again.
func (c *call) newChild(to *region) *call {
	gw := to.gateways[to.nextGateway%len(to.gateways)]
	to.nextGateway++
	child := newCall(c.caller, gw)
	child.parent, child.req.ForwardsLeft = c, 0
	c.child = child
	return child
}

func (c *call) admissionRequest() admit.Request {
	return admit.Request{
		ID: c.id, Customer: c.req.Customer, Group: groupName, Priority: c.req.Priority,
		EstimatedTokens:    c.req.PromptTokens + c.req.OutputTokens,
		FirstTokenDeadline: c.caller.deadline.Add(-time.Duration(c.req.OutputTokens) * c.gateway.store.MeanTokenInterval(groupName)),
	}
}

// recordToken records one token of the response and passes it to the caller.
func (c *call) recordToken(ev model.Event) {
	if c.ended {
		return
	}
	c.emittedTokens++
	at := ev.At.Add(engineOneWayDelay)
	if ev.First {
		c.cachedTokens = ev.CachedTokens
		c.gateway.store.RecordFirstToken(c.engine.id, c.attemptID, at)
		c.recordTracePoint(at)
	}
	if c.parent != nil {
		at = at.Add(c.gateway.sim.deployment.Link.OneWayDelay.AsDuration())
	}
	c.caller.recordToken(at)
}

func (c *call) recordTracePoint(at time.Time) {
	rec := c.gateway.sim.recorder
	rec.trace = append(rec.trace, TracePoint{
		SentAt: c.sentAt.Sub(epoch), Gateway: c.gateway.id, Endpoint: c.engine.id, Forwarded: c.parent != nil, Priority: c.req.Priority,
		PromptTokens: c.req.PromptTokens, EstimatedCachedTokens: c.decision.CachedTokens, CachedTokens: c.cachedTokens,
		QueueTime: c.sentAt.Sub(c.arrivedAt), EstimatedTTFT: c.decision.EstimatedTTFT, ActualTTFT: at.Sub(c.sentAt),
	})
}

// finish records that the response is complete. Stream bytes of a forwarded call
// are charged to the link at its end.
func (c *call) finish(at time.Time) {
	if c.ended {
		return
	}
	c.gateway.store.RecordEnd(c.engine.id, c.attemptID, datastore.Success, at)
	c.gateway.controller.RecordSuccess()
	if c.parent != nil {
		at = at.Add(c.gateway.sim.deployment.Link.OneWayDelay.AsDuration())
		c.gateway.sim.reserveLink(c.gateway.region.index, c.parent.gateway.region.index, c.emittedTokens*streamBytesPerToken)
		c.parent.gateway.controller.RecordSuccess()
		c.parent.end()
	}
	c.end()
	c.caller.finish(at, c)
	c.gateway.dispatchQueued()
}

// failAfter fails the current attempt after d with the result r, unless the call
// has ended or moved on to another attempt by then. The call is dispatched again
// without that endpoint if maxAttempts and the retry budget allow it.
func (c *call) failAfter(d time.Duration, r datastore.Result) {
	e, attempt := c.engine, c.attempt
	c.gateway.sim.scheduleAfter(d, func() {
		if c.ended || c.attempt != attempt {
			return
		}
		c.gateway.store.RecordEnd(e.id, c.attemptID, r, c.gateway.sim.now)
		c.req.ExcludedEndpoints[e.id] = true
		c.gateway.sim.recorder.recordFailedAttempt()
		if c.attempt >= maxAttempts || !c.gateway.controller.AllowRetry() {
			c.refuse(failure.CodeEndpointFailed, time.Second)
			return
		}
		c.gateway.redispatch(c)
	})
}

// turnAway fails the current attempt with the engine's wish for a pause.
func (c *call) turnAway(pause time.Duration) {
	e, g := c.engine, c.gateway
	if g.isInPause(e) {
		g.sim.recorder.callsInPauses++
	}
	g.sim.scheduleAfter(engineOneWayDelay, func() { g.recordPause(e, pause-engineOneWayDelay) })
	c.failAfter(engineOneWayDelay, datastore.ErrorStatus)
}

// refuse ends the call with a refusal. The refusal of a forwarded call reaches
// the forwarding gateway, which dispatches its own call again; that call has no
// forward left, so it stays in its region.
func (c *call) refuse(code failure.Code, retryAfter time.Duration) {
	if c.ended {
		return
	}
	c.end()
	if c.parent == nil {
		c.caller.handleRefusal(code, retryAfter)
		return
	}
	p := c.parent
	p.child = nil
	c.gateway.sim.scheduleAfter(c.gateway.sim.deployment.Link.OneWayDelay.AsDuration(), func() {
		if !p.ended {
			p.gateway.redispatch(p)
		}
	})
}

// cancel ends the call because its caller has given up or the link between the
// regions was cut. It cancels the child and the engine's work and removes the
// call from the queue.
func (c *call) cancel() {
	if c.ended {
		return
	}
	if c.child != nil {
		c.child.cancel()
	}
	if c.engine != nil {
		c.engine.cancel(c)
		c.gateway.store.RecordEnd(c.engine.id, c.attemptID, datastore.Cancelled, c.gateway.sim.now)
	}
	if _, ok := c.gateway.queued[c.id]; ok {
		delete(c.gateway.queued, c.id)
		c.gateway.controller.RemoveQueued(groupName, c.id)
	}
	c.end()
}

func (c *call) end() {
	c.ended = true
	if c.admitted {
		c.gateway.controller.Release(c.admissionRequest(), 0)
	}
}

// failPartitionedCalls fails the forwarded calls whose regions can't reach each
// other any more. The child is cancelled; the forwarding gateway notices it after
// silenceTimeout and resumes the response in its own region, after the tokens
// that the child has emitted.
func (s *simulation) failPartitionedCalls() {
	for _, e := range s.engines {
		e.advance()
		for _, id := range sortedKeys(e.calls) {
			c := e.calls[id]
			if c.parent == nil || s.isReachable(c.gateway.region.index, c.parent.gateway.region.index) {
				continue
			}
			p := c.parent
			p.emittedTokens = c.emittedTokens
			c.cancel()
			s.scheduleAfter(silenceTimeout, func() {
				p.child = nil
				if !p.ended {
					p.gateway.redispatch(p)
				}
			})
		}
	}
}
