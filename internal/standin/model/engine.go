package model

import (
	"math/rand/v2"
	"sort"
	"time"
)

// sequence is the state of a job in the engine.
type sequence struct {
	job              Job
	arrivalSeq       uint64
	cachedTokens     int
	remainingPrefill int // prompt tokens still to be computed
	stepPrefill      int // prompt tokens computed in the current step
	emitted          int
	// privateBlocks is the number of blocks that no other sequence can share.
	privateBlocks int
}

func (s *sequence) isDecoding() bool { return s.remainingPrefill == 0 }

// Engine simulates one engine.
type Engine struct {
	cfg   Config
	cache *cache
	log   *eventLog
	// waiting and running are in the order of precedes.
	waiting []*sequence
	running []*sequence
	// privateBlocks is the sum over the running sequences.
	privateBlocks  int
	nextArrivalSeq uint64
	speed          float64
	stepStart      time.Time
	stepEnd        time.Time
	busy           bool
	reports        []Snapshot
	// meanStepDuration is a moving average of the duration of a step.
	meanStepDuration time.Duration
	leaving          bool
	stats            Stats
}

// Stats counts the tokens that an engine has computed, and the prompt tokens that
// it took from the prefix cache instead.
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

// Stats returns the token counts since New.
func (e *Engine) Stats() Stats { return e.stats }

// SetSpeed changes the engine's speed from the next step on; 1 is nominal.
func (e *Engine) SetSpeed(f float64) { e.speed = f }

// SetLeaving sets the field Leaving of the load reports.
func (e *Engine) SetLeaving(leaving bool) { e.leaving = leaving }

// ClearCache empties the prefix cache, as a restart does. No job may be running.
func (e *Engine) ClearCache(now time.Time) { e.cache.clear(now) }

// Submit queues a job at now. Advance must have been called up to now. A job that
// needs more memory than the engine has is rejected: Submit returns a Rejected
// event and false.
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

// precedes reports whether a is scheduled before b: by priority, then by arrival.
func precedes(a, b *sequence) bool {
	if a.job.Priority != b.job.Priority {
		return a.job.Priority > b.job.Priority
	}
	return a.arrivalSeq < b.arrivalSeq
}

// countPrivateBlocks returns the blocks needed for the prompt tokens after the
// last full block and for the response.
func countPrivateBlocks(job Job) int {
	tail := max(job.PromptTokens-len(job.Prefix)*BlockTokens, 0)
	return (tail + job.OutputTokens + BlockTokens - 1) / BlockTokens
}

// Cancel removes a job, whose place in the batch is free from the next step on.
// It reports whether there was such a job.
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

// releaseMemory frees the memory of a sequence. The blocks of its prefix stay
// cached if they have been computed.
func (e *Engine) releaseMemory(s *sequence) {
	e.privateBlocks -= s.privateBlocks
	e.cache.release(s.job.Prefix)
}

// Reset drops all jobs and the cache, as a crash does, and returns the IDs of the
// jobs.
func (e *Engine) Reset(now time.Time) []string {
	var ids []string
	for _, s := range append(e.running, e.waiting...) {
		ids = append(ids, s.job.ID)
	}
	e.running, e.waiting, e.privateBlocks, e.busy = nil, nil, 0, false
	e.cache.clear(now)
	return ids
}

// Next returns the end of the current step, when Advance should be called next,
// and false if the engine is idle.
func (e *Engine) Next() (time.Time, bool) { return e.stepEnd, e.busy }

// Advance simulates all steps that end up to now and returns their events in
// order.
func (e *Engine) Advance(now time.Time) []Event {
	var events []Event
	for e.busy && !e.stepEnd.After(now) {
		at := e.stepEnd
		e.takeDueSnapshots(at)
		events = e.endStep(at, events)
		e.startStep(at)
	}
	e.takeDueSnapshots(now)
	return events
}

// stepSmoothingWindow is the number of steps over which meanStepDuration is
// smoothed.
const stepSmoothingWindow = 16

// startStep admits waiting jobs and schedules the next step, or none if the batch
// is empty.
func (e *Engine) startStep(now time.Time) {
	e.admit(now)
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	budget, decoding, prefill := e.cfg.ChunkTokens, 0, 0
	for _, s := range e.running {
		if s.isDecoding() {
			decoding++
			continue
		}
		s.stepPrefill = min(s.remainingPrefill, budget)
		budget -= s.stepPrefill
		prefill += s.stepPrefill
	}
	d := e.cfg.StepBase + time.Duration(decoding)*e.cfg.StepPerSequence
	d += time.Duration(float64(prefill) / e.cfg.PrefillRate * float64(time.Second))
	e.stepStart, e.busy = now, true
	d = time.Duration(float64(d) / e.speed)
	e.meanStepDuration += (d - e.meanStepDuration) / stepSmoothingWindow
	e.stepEnd = now.Add(d)
}

// admit moves waiting jobs into the batch, in order, until the batch is full or
// the next job doesn't fit into memory.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxBatch {
		s := e.waiting[0]
		if !e.fits(s) {
			return
		}
		e.waiting = e.waiting[1:]
		cached := min(e.cache.cachedPrefixLen(s.job.Prefix)*BlockTokens, s.job.PromptTokens-1)
		s.cachedTokens = max(cached, 0)
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

// fits reports whether there is memory for a sequence beside the running ones.
func (e *Engine) fits(s *sequence) bool {
	return e.usedBlocks()+s.privateBlocks+e.cache.blocksNeeded(s.job.Prefix) <= e.cfg.Blocks
}

// usedBlocks returns the number of blocks that running sequences hold.
func (e *Engine) usedBlocks() int { return e.privateBlocks + e.cache.referenced() }

// endStep applies the step that ends at now and appends its events to events.
func (e *Engine) endStep(now time.Time, events []Event) []Event {
	unfinished := e.running[:0]
	for _, s := range e.running {
		var finished bool
		events, finished = e.stepSequence(s, now, events)
		if finished {
			e.releaseMemory(s)
			continue
		}
		unfinished = append(unfinished, s)
	}
	e.running = unfinished
	return events
}

// stepSequence applies the step to one sequence, appends its events to events and
// reports whether the sequence is finished.
func (e *Engine) stepSequence(s *sequence, now time.Time, events []Event) ([]Event, bool) {
	if !s.isDecoding() {
		s.remainingPrefill -= s.stepPrefill
		e.stats.PrefillTokens += s.stepPrefill
		s.stepPrefill = 0
		if !s.isDecoding() {
			return events, false
		}
		e.cache.markReady(s.job.Prefix, now)
	}
	first := s.emitted == 0
	events = append(events, Event{Kind: Token, At: now, Job: s.job.ID, Seq: s.job.FirstSeq + s.emitted, First: first, CachedTokens: s.cachedTokens})
	s.emitted++
	e.stats.DecodeTokens++
	if s.emitted < s.job.OutputTokens {
		return events, false
	}
	return append(events, Event{Kind: Finished, At: now, Job: s.job.ID, Seq: s.job.FirstSeq + s.emitted}), true
}
