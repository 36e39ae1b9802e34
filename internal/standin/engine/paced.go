package engine

import (
	"context"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// pacedGenerator emits the tokens of each job at a fixed interval, with no queue.
type pacedGenerator struct {
	interval        time.Duration
	firstTokenDelay time.Duration
	// onToken is called with the job's id for each generated token.
	onToken func(id string)

	mu      sync.Mutex
	streams map[string]*pacedStream
	leaving bool
}

func newPacedGenerator(cfg Config, onToken func(id string)) *pacedGenerator {
	return &pacedGenerator{interval: cfg.TokenInterval, firstTokenDelay: cfg.FirstTokenDelay, onToken: onToken, streams: make(map[string]*pacedStream)}
}

func (p *pacedGenerator) submit(job model.Job) (tokenStream, bool) {
	s := &pacedStream{generator: p, id: job.ID, nextTokenAt: time.Now().Add(p.firstTokenDelay), remaining: job.OutputTokens, cancelled: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams[job.ID] = s
	return s, true
}

func (p *pacedGenerator) cancel(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.streams[id]; ok {
		close(s.cancelled)
		delete(p.streams, id)
	}
}

func (p *pacedGenerator) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.streams, id)
}

func (p *pacedGenerator) report(time.Time) blackboard.LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return blackboard.LoadReport{Running: len(p.streams), MaxBatch: len(p.streams) + 1, DecodeRate: float64(time.Second) / float64(p.interval), Leaving: p.leaving}
}

func (p *pacedGenerator) cacheEvents(uint64, time.Time) []model.CacheEvent { return nil }

func (p *pacedGenerator) setLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
}

// pacedStream is the tokenStream of one job of a pacedGenerator.
type pacedStream struct {
	generator   *pacedGenerator
	id          string
	nextTokenAt time.Time
	remaining   int
	cancelled   chan struct{}
}

func (s *pacedStream) next(ctx context.Context) (bool, error) {
	if s.remaining == 0 {
		s.generator.remove(s.id)
		return false, nil
	}
	timer := time.NewTimer(time.Until(s.nextTokenAt))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.cancelled:
		return false, &cancelledError{id: s.id}
	case <-ctx.Done():
		return false, ctx.Err()
	}
	s.generator.onToken(s.id)
	s.remaining--
	s.nextTokenAt = s.nextTokenAt.Add(s.generator.interval)
	return true, nil
}
