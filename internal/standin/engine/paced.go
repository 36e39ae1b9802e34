package engine

import (
	"context"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// paced emits the tokens of each job at a fixed interval, with no queue.
type paced struct {
	interval time.Duration
	first    time.Duration
	// made is called for each token that is made, with its job's id.
	made func(id string)

	mu      sync.Mutex
	jobs    map[string]*pacedStream
	leaving bool
}

func newPaced(cfg Config, made func(id string)) *paced {
	return &paced{interval: cfg.TokenInterval, first: cfg.FirstTokenDelay, made: made, jobs: make(map[string]*pacedStream)}
}

func (p *paced) submit(job model.Job) (tokenStream, bool) {
	s := &pacedStream{owner: p, id: job.ID, due: time.Now().Add(p.first), left: job.OutputTokens, cancelled: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[job.ID] = s
	return s, true
}

func (p *paced) cancel(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.jobs[id]; ok {
		close(s.cancelled)
		delete(p.jobs, id)
	}
}

func (p *paced) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.jobs, id)
}

func (p *paced) report(time.Time) blackboard.LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return blackboard.LoadReport{Running: len(p.jobs), MaxBatch: len(p.jobs) + 1, DecodeRate: float64(time.Second) / float64(p.interval), Leaving: p.leaving}
}

func (p *paced) cacheEvents(uint64, time.Time) []model.CacheEvent { return nil }

func (p *paced) setLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
}

// pacedStream is one job at a fixed pace.
type pacedStream struct {
	owner     *paced
	id        string
	due       time.Time
	left      int
	cancelled chan struct{}
}

func (s *pacedStream) next(ctx context.Context) (bool, error) {
	if s.left == 0 {
		s.owner.end(s.id)
		return false, nil
	}
	timer := time.NewTimer(time.Until(s.due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.cancelled:
		return false, &cancelledError{id: s.id}
	case <-ctx.Done():
		return false, ctx.Err()
	}
	s.owner.made(s.id)
	s.left--
	s.due = s.due.Add(s.owner.interval)
	return true, nil
}
