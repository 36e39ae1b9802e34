package engine

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// generator decides when each token of each job is generated. It is safe for
// concurrent use.
type generator interface {
	// submit starts a job; false means that the job is too large for the engine.
	submit(job model.Job) (tokenStream, bool)
	// cancel ends a job; its stream returns a cancelledError. An unknown id is
	// ignored.
	cancel(id string)
	// report returns the load as it was visible at now.
	report(now time.Time) blackboard.LoadReport
	// cacheEvents returns the cache events with a number above after that were
	// visible at now.
	cacheEvents(after uint64, now time.Time) []model.CacheEvent
	setLeaving(leaving bool)
}

// tokenStream reports when the next token of a job is generated.
type tokenStream interface {
	// next waits for one token. It returns false when the job has finished,
	// and an error when ctx is done or the job was cancelled.
	next(ctx context.Context) (bool, error)
}

// cancelledError reports that a job was cancelled or, by a fault, cut off.
type cancelledError struct{ id string }

func (e *cancelledError) Error() string { return "job " + e.id + " was cancelled" }

// modelledGenerator runs the simulated engine of package model in real time.
type modelledGenerator struct {
	mu      sync.Mutex
	engine  *model.Engine
	buffers map[string]*tokenBuffer
	wake    chan struct{}
	// onToken is called with the job's id for each generated token.
	onToken func(id string)
}

func newModelledGenerator(cfg Config, now time.Time, onToken func(id string)) *modelledGenerator {
	m := &modelledGenerator{engine: model.New(cfg.Model, now), buffers: make(map[string]*tokenBuffer), wake: make(chan struct{}, 1), onToken: onToken}
	m.engine.SetSpeed(cfg.Speed)
	return m
}

// run advances the simulation whenever one of its steps ends, until t is dying.
func (m *modelledGenerator) run(t *tomb.Tomb) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if wait, busy := m.advanceToNow(); busy {
			timer.Reset(wait)
		}
		select {
		case <-t.Dying():
			return nil
		case <-timer.C:
		case <-m.wake:
		}
	}
}

// advanceToNow advances the simulation to the present and returns the time to
// its next event; false means that the engine is idle.
func (m *modelledGenerator) advanceToNow() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	next, busy := m.engine.Next()
	return time.Until(next), busy
}

func (m *modelledGenerator) advance(now time.Time) {
	for _, e := range m.engine.Advance(now) {
		if e.Kind == model.Token {
			m.onToken(e.Job)
		}
		buffer := m.buffers[e.Job]
		if buffer == nil {
			continue
		}
		if e.Kind == model.Token {
			buffer.push(1, nil)
			continue
		}
		buffer.finish()
		delete(m.buffers, e.Job)
	}
}

func (m *modelledGenerator) submit(job model.Job) (tokenStream, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.advance(now)
	buffer := newTokenBuffer()
	if _, ok := m.engine.Submit(now, job); !ok {
		return nil, false
	}
	m.buffers[job.ID] = buffer
	select {
	case m.wake <- struct{}{}:
	default:
	}
	return buffer, true
}

func (m *modelledGenerator) cancel(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engine.Cancel(id)
	if buffer := m.buffers[id]; buffer != nil {
		buffer.push(0, &cancelledError{id: id})
		delete(m.buffers, id)
	}
}

func (m *modelledGenerator) report(now time.Time) blackboard.LoadReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.engine.Report(now)
}

func (m *modelledGenerator) cacheEvents(after uint64, now time.Time) []model.CacheEvent {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]model.CacheEvent(nil), m.engine.CacheEvents(after, now)...)
}

func (m *modelledGenerator) setLeaving(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engine.SetLeaving(leaving)
}

// tokenBuffer counts the tokens that were generated and not yet sent. It is the
// tokenStream of a simulated job.
type tokenBuffer struct {
	mu      sync.Mutex
	ready   int
	done    bool
	err     error
	changed chan struct{}
}

func newTokenBuffer() *tokenBuffer { return &tokenBuffer{changed: make(chan struct{}, 1)} }

func (b *tokenBuffer) push(tokens int, err error) {
	b.mu.Lock()
	b.ready += tokens
	b.err = err
	b.mu.Unlock()
	b.signal()
}

func (b *tokenBuffer) finish() {
	b.mu.Lock()
	b.done = true
	b.mu.Unlock()
	b.signal()
}

func (b *tokenBuffer) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// poll returns without waiting. If ok, the other results are those of next.
func (b *tokenBuffer) poll() (ok, token bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.err != nil:
		return true, false, b.err
	case b.ready > 0:
		b.ready--
		return true, true, nil
	default:
		return b.done, false, nil
	}
}

func (b *tokenBuffer) next(ctx context.Context) (bool, error) {
	for {
		if ok, token, err := b.poll(); ok {
			return token, err
		}
		select {
		case <-b.changed:
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}
