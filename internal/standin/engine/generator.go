package engine

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// generator decides when each token of each job is made.
type generator interface {
	// submit starts a job; false means that it can never run here.
	submit(job model.Job) (tokenStream, bool)
	// cancel drops a job.
	cancel(id string)
	report(now time.Time) blackboard.LoadReport
	cacheEvents(after uint64, now time.Time) []model.CacheEvent
	setLeaving(leaving bool)
}

// tokenStream tells when the next token of a job is made.
type tokenStream interface {
	// next waits for one token. It returns false once the job is finished,
	// and an error once ctx is done or the job was cancelled.
	next(ctx context.Context) (bool, error)
}

// cancelledError says that a job was cancelled by an order.
type cancelledError struct{ id string }

func (e *cancelledError) Error() string { return "job " + e.id + " was cancelled" }

// modelledGenerator runs the modelled engine against the clock.
type modelledGenerator struct {
	mu      sync.Mutex
	engine  *model.Engine
	buffers map[string]*tokenBuffer
	wake    chan struct{}
	// onToken is called for each token that is made, with its job's id.
	onToken func(id string)
}

func newModelledGenerator(cfg Config, now time.Time, made func(id string)) *modelledGenerator {
	m := &modelledGenerator{engine: model.New(cfg.Model, now), buffers: make(map[string]*tokenBuffer), wake: make(chan struct{}, 1), onToken: made}
	m.engine.SetSpeed(cfg.Speed)
	return m
}

// run advances the model whenever a step ends.
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

// advanceToNow brings the model up to now and returns the time to its next event.
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
		f := m.buffers[e.Job]
		if f == nil {
			continue
		}
		if e.Kind == model.Token {
			f.push(1, nil)
			continue
		}
		f.finish()
		delete(m.buffers, e.Job)
	}
}

func (m *modelledGenerator) submit(job model.Job) (tokenStream, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.advance(now)
	f := newTokenBuffer()
	if _, ok := m.engine.Submit(now, job); !ok {
		return nil, false
	}
	m.buffers[job.ID] = f
	select {
	case m.wake <- struct{}{}:
	default:
	}
	return f, true
}

func (m *modelledGenerator) cancel(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engine.Cancel(id)
	if f := m.buffers[id]; f != nil {
		f.push(0, &cancelledError{id: id})
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

// tokenBuffer counts the tokens that the model made and the answer hasn't sent yet.
type tokenBuffer struct {
	mu      sync.Mutex
	ready   int
	done    bool
	err     error
	changed chan struct{}
}

func newTokenBuffer() *tokenBuffer { return &tokenBuffer{changed: make(chan struct{}, 1)} }

func (f *tokenBuffer) push(tokens int, err error) {
	f.mu.Lock()
	f.ready += tokens
	f.err = err
	f.mu.Unlock()
	f.signal()
}

func (f *tokenBuffer) finish() {
	f.mu.Lock()
	f.done = true
	f.mu.Unlock()
	f.signal()
}

func (f *tokenBuffer) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// poll returns whether there is an event, and if so, what next returns.
func (f *tokenBuffer) poll() (event, token bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.err != nil:
		return true, false, f.err
	case f.ready > 0:
		f.ready--
		return true, true, nil
	default:
		return f.done, false, nil
	}
}

func (f *tokenBuffer) next(ctx context.Context) (bool, error) {
	for {
		if event, token, err := f.poll(); event {
			return token, err
		}
		select {
		case <-f.changed:
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}
