package model

import (
	"math/rand/v2"
	"sort"
	"time"
)

// sequence is a job in the engine.
type sequence struct {
	job     Job
	order   uint64
	cached  int
	prefill int // prompt tokens still to be computed
	chunk   int // prompt tokens computed in the present step
	emitted int
	// private is the blocks that no other sequence can share.
	private int
}

func (s *sequence) decoding() bool { return s.prefill == 0 }

// Engine is one modelled engine.
type Engine struct {
	cfg     Config
	cache   *cache
	log     *eventLog
	waiting []*sequence
	running []*sequence
	// private is the blocks of the running sequences that aren't shared.
	private int
	arrived uint64
	speed   float64
	stepAt  time.Time
	stepEnd time.Time
	busy    bool
	reports []Snapshot
	// step is the smoothed duration of a step.
	step    time.Duration
	leaving bool
	work    Work
}

// Work counts what an engine computed.
type Work struct {
	PrefillTokens int
	DecodeTokens  int
	CachedTokens  int
}

// New returns an idle engine at time now.
func New(cfg Config, now time.Time) *Engine {
	e := &Engine{cfg: cfg, speed: 1, step: cfg.StepBase}
	e.log = &eventLog{cfg: &e.cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x5eed))}
	e.cache = newCache(e.log)
	e.snapshot(now)
	return e
}

// Work returns what the engine has computed so far.
func (e *Engine) Work() Work { return e.work }

// SetSpeed changes the engine's speed from the next step on; 1 is nominal.
func (e *Engine) SetSpeed(f float64) { e.speed = f }

// SetLeaving sets the mark in the load reports.
func (e *Engine) SetLeaving(leaving bool) { e.leaving = leaving }

// ClearCache drops the prefix cache, as a restart does.
func (e *Engine) ClearCache(now time.Time) { e.cache.clear(now) }

// Submit hands a job to the engine at now. It returns a Rejected event for a
// job that can never fit. Advance must have been called up to now.
func (e *Engine) Submit(now time.Time, job Job) (Event, bool) {
	s := &sequence{job: job, order: e.arrived, private: privateBlocks(job)}
	e.arrived++
	if s.private+len(job.Prefix) > e.cfg.Blocks {
		return Event{Kind: Rejected, At: now, Job: job.ID}, false
	}
	i := sort.Search(len(e.waiting), func(i int) bool { return ahead(s, e.waiting[i]) })
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = s
	if !e.busy {
		e.startStep(now)
	}
	return Event{}, true
}

// ahead says that a runs before b.
func ahead(a, b *sequence) bool {
	if a.job.Priority != b.job.Priority {
		return a.job.Priority > b.job.Priority
	}
	return a.order < b.order
}

// privateBlocks is the memory for the prompt's end and the answer.
func privateBlocks(job Job) int {
	tail := max(job.PromptTokens-len(job.Prefix)*BlockTokens, 0)
	return (tail + job.OutputTokens + BlockTokens - 1) / BlockTokens
}

// Cancel ends a job; its place is free from the next step on. It says whether
// there was such a job.
func (e *Engine) Cancel(id string) bool {
	for i, s := range e.waiting {
		if s.job.ID == id {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return true
		}
	}
	for i, s := range e.running {
		if s.job.ID == id {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.free(s)
			return true
		}
	}
	return false
}

// free gives back a sequence's memory; the blocks of its prefix stay cached.
func (e *Engine) free(s *sequence) {
	e.private -= s.private
	e.cache.release(s.job.Prefix)
}

// Reset drops all jobs and the cache, as a crash does, and returns the jobs.
func (e *Engine) Reset(now time.Time) []string {
	var ids []string
	for _, s := range append(e.running, e.waiting...) {
		ids = append(ids, s.job.ID)
	}
	e.running, e.waiting, e.private, e.busy = nil, nil, 0, false
	e.cache.clear(now)
	return ids
}

// Next returns when the engine does something by itself; false when idle.
func (e *Engine) Next() (time.Time, bool) { return e.stepEnd, e.busy }

// Advance runs the engine up to now and returns what it did, in order.
func (e *Engine) Advance(now time.Time) []Event {
	var out []Event
	for e.busy && !e.stepEnd.After(now) {
		at := e.stepEnd
		e.snapshots(at)
		out = e.endStep(at, out)
		e.startStep(at)
	}
	e.snapshots(now)
	return out
}

// stepSmoothing is the number of steps that the reported step time spans.
const stepSmoothing = 16

// startStep admits waiting jobs and plans the next step.
func (e *Engine) startStep(now time.Time) {
	e.admit(now)
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	budget, decode, prefill := e.cfg.ChunkTokens, 0, 0
	for _, s := range e.running {
		if s.decoding() {
			decode++
			continue
		}
		s.chunk = min(s.prefill, budget)
		budget -= s.chunk
		prefill += s.chunk
	}
	d := e.cfg.StepBase + time.Duration(decode)*e.cfg.StepPerSequence
	d += time.Duration(float64(prefill) / e.cfg.PrefillRate * float64(time.Second))
	e.stepAt, e.busy = now, true
	d = time.Duration(float64(d) / e.speed)
	e.step += (d - e.step) / stepSmoothing
	e.stepEnd = now.Add(d)
}

// admit moves waiting jobs into the batch while there is room, in order.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxBatch {
		s := e.waiting[0]
		if !e.fits(s) {
			return
		}
		e.waiting = e.waiting[1:]
		held := min(e.cache.match(s.job.Prefix)*BlockTokens, s.job.PromptTokens-1)
		s.cached = max(held, 0)
		s.prefill = max(s.job.PromptTokens-s.cached, 1)
		e.private += s.private
		e.cache.acquire(s.job.Prefix)
		e.work.CachedTokens += s.cached
		i := sort.Search(len(e.running), func(i int) bool { return ahead(s, e.running[i]) })
		e.running = append(e.running, nil)
		copy(e.running[i+1:], e.running[i:])
		e.running[i] = s
		e.cache.trim(e.cfg.Blocks-e.private, now)
	}
}

// fits says whether there is memory for a sequence beside the running ones.
func (e *Engine) fits(s *sequence) bool {
	return e.used()+s.private+e.cache.missing(s.job.Prefix) <= e.cfg.Blocks
}

// used is the memory that can't be freed now, in blocks.
func (e *Engine) used() int { return e.private + e.cache.referenced() }

// endStep applies the step that ends at now.
func (e *Engine) endStep(now time.Time, out []Event) []Event {
	kept := e.running[:0]
	for _, s := range e.running {
		var done bool
		out, done = e.stepOne(s, now, out)
		if done {
			e.free(s)
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
	return out
}

// stepOne applies the step to one sequence and says whether it is finished.
func (e *Engine) stepOne(s *sequence, now time.Time, out []Event) ([]Event, bool) {
	if !s.decoding() {
		s.prefill -= s.chunk
		e.work.PrefillTokens += s.chunk
		s.chunk = 0
		if !s.decoding() {
			return out, false
		}
		e.cache.computed(s.job.Prefix, now)
	}
	first := s.emitted == 0
	out = append(out, Event{Kind: Token, At: now, Job: s.job.ID, Seq: s.job.FirstSeq + s.emitted, First: first, CachedTokens: s.cached})
	s.emitted++
	e.work.DecodeTokens++
	if s.emitted < s.job.OutputTokens {
		return out, false
	}
	return append(out, Event{Kind: Finished, At: now, Job: s.job.ID, Seq: s.job.FirstSeq + s.emitted}), true
}
