package model

import (
	"math/rand/v2"
	"sort"
	"time"
)

// sequence is a job in the engine.
type sequence struct {
	job              Job
	arrivalSeq       uint64
	cachedTokens     int
	remainingPrefill int // prompt tokens still to be computed
	stepPrefill      int // prompt tokens computed in the present step
	emitted          int
	// privateBlocks is the blocks that no other sequence can share.
	privateBlocks int
}

func (s *sequence) isDecoding() bool { return s.remainingPrefill == 0 }

// Engine is one modelled engine.
type Engine struct {
	cfg     Config
	cache   *cache
	log     *eventLog
	waiting []*sequence
	running []*sequence
	// privateBlocks is the blocks of the running sequences that aren't shared.
	privateBlocks  int
	nextArrivalSeq uint64
	speed          float64
	stepStart      time.Time
	stepEnd        time.Time
	busy           bool
	reports        []Snapshot
	// meanStepDuration is the smoothed duration of a step.
	meanStepDuration time.Duration
	leaving          bool
	stats            Stats
}

// Stats counts what an engine computed.
type Stats struct {
	PrefillTokens int
	DecodeTokens  int
	CachedTokens  int
}

// New returns an idle engine at time now.
func New(cfg Config, now time.Time) *Engine {
	e := &Engine{cfg: cfg, speed: 1, meanStepDuration: cfg.StepBase}
	e.log = &eventLog{cfg: &e.cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x5eed))}
	e.cache = newCache(e.log)
	e.takeSnapshot(now)
	return e
}

// Stats returns what the engine has computed so far.
func (e *Engine) Stats() Stats { return e.stats }

// SetSpeed changes the engine's speed from the next step on; 1 is nominal.
func (e *Engine) SetSpeed(f float64) { e.speed = f }

// SetLeaving sets the mark in the load reports.
func (e *Engine) SetLeaving(leaving bool) { e.leaving = leaving }

// ClearCache drops the prefix cache, as a restart does.
func (e *Engine) ClearCache(now time.Time) { e.cache.clear(now) }

// Submit hands a job to the engine at now. It returns a Rejected event for a
// job that can never fit. Advance must have been called up to now.
func (e *Engine) Submit(now time.Time, job Job) (Event, bool) {
	s := &sequence{job: job, arrivalSeq: e.nextArrivalSeq, privateBlocks: countPrivateBlocks(job)}
	e.nextArrivalSeq++
	if s.privateBlocks+len(job.Prefix) > e.cfg.Blocks {
		return Event{Kind: Rejected, At: now, Job: job.ID}, false
	}
	i := sort.Search(len(e.waiting), func(i int) bool { return precedes(s, e.waiting[i]) })
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = s
	if !e.busy {
		e.startStep(now)
	}
	return Event{}, true
}

// precedes says that a runs before b.
func precedes(a, b *sequence) bool {
	if a.job.Priority != b.job.Priority {
		return a.job.Priority > b.job.Priority
	}
	return a.arrivalSeq < b.arrivalSeq
}

// countPrivateBlocks is the memory for the prompt's end and the answer.
func countPrivateBlocks(job Job) int {
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
			e.releaseMemory(s)
			return true
		}
	}
	return false
}

// releaseMemory gives back a sequence's memory; the blocks of its prefix stay cached.
func (e *Engine) releaseMemory(s *sequence) {
	e.privateBlocks -= s.privateBlocks
	e.cache.release(s.job.Prefix)
}

// Reset drops all jobs and the cache, as a crash does, and returns the jobs.
func (e *Engine) Reset(now time.Time) []string {
	var ids []string
	for _, s := range append(e.running, e.waiting...) {
		ids = append(ids, s.job.ID)
	}
	e.running, e.waiting, e.privateBlocks, e.busy = nil, nil, 0, false
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
		e.takeDueSnapshots(at)
		out = e.endStep(at, out)
		e.startStep(at)
	}
	e.takeDueSnapshots(now)
	return out
}

// stepSmoothingSteps is the number of steps that the reported step time spans.
const stepSmoothingSteps = 16

// startStep admits waiting jobs and plans the next step.
func (e *Engine) startStep(now time.Time) {
	e.admit(now)
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	budget, decode, prefill := e.cfg.ChunkTokens, 0, 0
	for _, s := range e.running {
		if s.isDecoding() {
			decode++
			continue
		}
		s.stepPrefill = min(s.remainingPrefill, budget)
		budget -= s.stepPrefill
		prefill += s.stepPrefill
	}
	d := e.cfg.StepBase + time.Duration(decode)*e.cfg.StepPerSequence
	d += time.Duration(float64(prefill) / e.cfg.PrefillRate * float64(time.Second))
	e.stepStart, e.busy = now, true
	d = time.Duration(float64(d) / e.speed)
	e.meanStepDuration += (d - e.meanStepDuration) / stepSmoothingSteps
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
		held := min(e.cache.cachedPrefixLen(s.job.Prefix)*BlockTokens, s.job.PromptTokens-1)
		s.cachedTokens = max(held, 0)
		s.remainingPrefill = max(s.job.PromptTokens-s.cachedTokens, 1)
		e.privateBlocks += s.privateBlocks
		e.cache.acquire(s.job.Prefix)
		e.stats.CachedTokens += s.cachedTokens
		i := sort.Search(len(e.running), func(i int) bool { return precedes(s, e.running[i]) })
		e.running = append(e.running, nil)
		copy(e.running[i+1:], e.running[i:])
		e.running[i] = s
		e.cache.evict(e.cfg.Blocks-e.privateBlocks, now)
	}
}

// fits says whether there is memory for a sequence beside the running ones.
func (e *Engine) fits(s *sequence) bool {
	return e.usedBlocks()+s.privateBlocks+e.cache.blocksNeeded(s.job.Prefix) <= e.cfg.Blocks
}

// usedBlocks is the memory that can't be freed now, in blocks.
func (e *Engine) usedBlocks() int { return e.privateBlocks + e.cache.referenced() }

// endStep applies the step that ends at now.
func (e *Engine) endStep(now time.Time, out []Event) []Event {
	kept := e.running[:0]
	for _, s := range e.running {
		var done bool
		out, done = e.stepSequence(s, now, out)
		if done {
			e.releaseMemory(s)
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
	return out
}

// stepSequence applies the step to one sequence and says whether it is finished.
func (e *Engine) stepSequence(s *sequence, now time.Time, out []Event) ([]Event, bool) {
	if !s.isDecoding() {
		s.remainingPrefill -= s.stepPrefill
		e.stats.PrefillTokens += s.stepPrefill
		s.stepPrefill = 0
		if !s.isDecoding() {
			return out, false
		}
		e.cache.markReady(s.job.Prefix, now)
	}
	first := s.emitted == 0
	out = append(out, Event{Kind: Token, At: now, Job: s.job.ID, Seq: s.job.FirstSeq + s.emitted, First: first, CachedTokens: s.cachedTokens})
	s.emitted++
	e.stats.DecodeTokens++
	if s.emitted < s.job.OutputTokens {
		return out, false
	}
	return append(out, Event{Kind: Finished, At: now, Job: s.job.ID, Seq: s.job.FirstSeq + s.emitted}), true
}
