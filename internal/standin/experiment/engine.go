package experiment

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/sched/datastore"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// engine is a modelled inference engine and the calls that it serves, by attempt
// ID.
type engine struct {
	sim    *simulation
	id     string
	region *region
	model  *model.Engine
	calls  map[string]*call
	down   bool
	silent bool
	// pausedUntil is the end of the pause for which the engine turns calls away.
	pausedUntil time.Time
	nextStepAt  time.Time
	inTransit   int
	// inTransitTokens counts the uncached prompt tokens of the inTransit calls,
	// which are sent but not submitted yet. The all-seeing policy adds them to the
	// engine's backlog.
	inTransitTokens int
}

// submit starts the call's current attempt at the engine. A resumed call sends the
// tokens that it has emitted as a part of the prompt.
func (e *engine) submit(c *call) {
	if e.down {
		c.failAfter(engineOneWayDelay, datastore.DialFailed)
		return
	}
	if e.silent {
		c.failAfter(silenceTimeout, datastore.Unresponsive)
		return
	}
	if pause := e.pausedUntil.Sub(e.sim.now); pause > 0 {
		c.turnAway(pause)
		return
	}
	e.advance()
	job := model.Job{
		ID: c.attemptID, Priority: c.req.Priority, Prefix: c.req.PrefixHashes, FirstSeq: c.emittedTokens,
		PromptTokens: c.req.PromptTokens + c.emittedTokens, OutputTokens: c.arrival.outputTokens - c.emittedTokens,
	}
	if _, ok := e.model.Submit(e.sim.now, job); !ok {
		c.failAfter(engineOneWayDelay, datastore.ErrorStatus)
		return
	}
	e.calls[c.attemptID] = c
	e.scheduleStep()
}

// advance runs the model up to the present and passes its tokens and finished
// jobs to their calls.
func (e *engine) advance() {
	for _, ev := range e.model.Advance(e.sim.now) {
		c, ok := e.calls[ev.Job]
		if !ok {
			continue
		}
		switch ev.Kind {
		case model.Token:
			c.recordToken(ev)
		case model.Finished:
			delete(e.calls, ev.Job)
			c.finish(ev.At)
		}
	}
}

// scheduleStep schedules the model's next step, unless it is scheduled already or
// the engine is idle or silent.
func (e *engine) scheduleStep() {
	next, busy := e.model.Next()
	if !busy || e.silent || next.Equal(e.nextStepAt) {
		return
	}
	e.nextStepAt = next
	e.sim.scheduleAt(next, func() {
		if !e.nextStepAt.Equal(next) || e.silent {
			return
		}
		e.advance()
		e.nextStepAt = time.Time{}
		e.scheduleStep()
	})
}

// cancel removes the call's current attempt from the engine, if it is there.
func (e *engine) cancel(c *call) {
	if _, ok := e.calls[c.attemptID]; !ok {
		return
	}
	delete(e.calls, c.attemptID)
	e.model.Cancel(c.attemptID)
}

// crash takes the engine down and drops its work and cache. Calls in flight fail
// after the network delay.
func (e *engine) crash() {
	e.down = true
	for _, id := range e.model.Reset(e.sim.now) {
		if c, ok := e.calls[id]; ok {
			delete(e.calls, id)
			c.failAfter(engineOneWayDelay, datastore.Truncated)
		}
	}
}

// goSilent makes the engine stop responding and drops its work and cache. Calls in
// flight fail after silenceTimeout.
func (e *engine) goSilent() {
	e.advance()
	e.silent = true
	for _, id := range e.model.Reset(e.sim.now) {
		if c, ok := e.calls[id]; ok {
			delete(e.calls, id)
			c.failAfter(silenceTimeout, datastore.Unresponsive)
		}
	}
}

// scheduleFaults schedules the start and the end of the scenario's faults.
func (s *simulation) scheduleFaults() {
	for _, f := range s.scenario.Faults {
		s.scheduleAt(epoch.Add(f.From), func() { s.setFault(f, true) })
		s.scheduleAt(epoch.Add(f.To), func() { s.setFault(f, false) })
	}
}

func (s *simulation) setFault(f Fault, on bool) {
	if f.Kind == CutRegion {
		s.cutRegions[f.Region] = on
		s.failPartitionedCalls()
		return
	}
	for _, e := range s.regions[f.Region].engines[:f.EngineCount] {
		if f.Kind == PauseEngines && on {
			e.pausedUntil = epoch.Add(f.To)
			continue
		}
		e.setFault(f.Kind, on)
	}
}

func (e *engine) setFault(kind FaultKind, on bool) {
	switch {
	case kind == CrashEngines && on:
		e.crash()
	case kind == CrashEngines:
		e.down = false
	case kind == SilenceEngines && on:
		e.goSilent()
	case kind == SilenceEngines:
		e.silent = false
	case kind == PauseEngines:
		// The pause has its end.
	case kind == SlowEngines && on:
		e.model.SetSpeed(0.2)
	default:
		e.model.SetSpeed(1)
	}
}
