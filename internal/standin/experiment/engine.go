package experiment

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/sched/datastore"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// engine is a modelled engine and the calls it works on.
type engine struct {
	sim     *sim
	id      string
	region  *region
	model   *model.Engine
	jobs    map[string]*call
	down    bool
	silent  bool
	wakeAt  time.Time
	pending int
	// pendingTokens are prompt tokens on their way, for the all-seeing policy.
	pendingTokens int
}

// submit hands a call to the engine.
func (e *engine) submit(c *call) {
	if e.down {
		c.failAfter(engineDelay, datastore.DialFailed)
		return
	}
	if e.silent {
		c.failAfter(silenceLimit, datastore.Unresponsive)
		return
	}
	e.advance()
	job := model.Job{
		ID: c.attemptID, Priority: c.req.Priority, Prefix: c.req.PrefixHashes, FirstSeq: c.emitted,
		PromptTokens: c.req.PromptTokens + c.emitted, OutputTokens: c.arr.output - c.emitted,
	}
	if _, ok := e.model.Submit(e.sim.now, job); !ok {
		c.failAfter(engineDelay, datastore.ErrorStatus)
		return
	}
	e.jobs[c.attemptID] = c
	e.wake()
}

// advance plays the model up to now.
func (e *engine) advance() {
	for _, ev := range e.model.Advance(e.sim.now) {
		c, ok := e.jobs[ev.Job]
		if !ok {
			continue
		}
		switch ev.Kind {
		case model.Token:
			c.token(ev)
		case model.Finished:
			delete(e.jobs, ev.Job)
			c.finished(ev.At)
		}
	}
}

// wake schedules the engine's next step.
func (e *engine) wake() {
	next, busy := e.model.Next()
	if !busy || e.silent || next.Equal(e.wakeAt) {
		return
	}
	e.wakeAt = next
	e.sim.at(next, func() {
		if !e.wakeAt.Equal(next) || e.silent {
			return
		}
		e.advance()
		e.wakeAt = time.Time{}
		e.wake()
	})
}

// cancel ends a call at the engine.
func (e *engine) cancel(c *call) {
	if _, ok := e.jobs[c.attemptID]; !ok {
		return
	}
	delete(e.jobs, c.attemptID)
	e.model.Cancel(c.attemptID)
}

// crash drops all work; calls in flight fail at once.
func (e *engine) crash() {
	e.down = true
	for _, id := range e.model.Reset(e.sim.now) {
		if c, ok := e.jobs[id]; ok {
			delete(e.jobs, id)
			c.failAfter(engineDelay, datastore.Truncated)
		}
	}
}

// fallSilent stops the engine without a word; calls in flight time out.
func (e *engine) fallSilent() {
	e.advance()
	e.silent = true
	for _, id := range e.model.Reset(e.sim.now) {
		if c, ok := e.jobs[id]; ok {
			delete(e.jobs, id)
			c.failAfter(silenceLimit, datastore.Unresponsive)
		}
	}
}

// startFaults schedules the scenario's faults.
func (s *sim) startFaults() {
	for _, f := range s.scenario.Faults {
		s.at(epoch.Add(f.From), func() { s.setFault(f, true) })
		s.at(epoch.Add(f.To), func() { s.setFault(f, false) })
	}
}

func (s *sim) setFault(f Fault, on bool) {
	if f.Kind == CutRegion {
		s.cut[f.Region] = on
		s.breakCalls()
		return
	}
	for _, e := range s.regions[f.Region].engines[:f.Engines] {
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
		e.fallSilent()
	case kind == SilenceEngines:
		e.silent = false
	case kind == SlowEngines && on:
		e.model.SetSpeed(0.2)
	default:
		e.model.SetSpeed(1)
	}
}
