package model

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
)

// Snapshot is the exact load of an engine at one time. Rates are in tokens per
// second; KVUsed is the used share of the KV cache, 0 to 1.
type Snapshot struct {
	At                  time.Time
	Running             int
	Waiting             int
	QueuedPrefillTokens int
	PrefillRate         float64
	DecodeRate          float64
	KVUsed              float64
}

// pastReports is the number of reports kept beyond ReportLag, for readers that
// ask for an earlier time.
const pastReports = 8

// takeDueSnapshots takes the snapshots that are due up to now.
func (e *Engine) takeDueSnapshots(now time.Time) {
	last := e.reports[len(e.reports)-1].At
	for next := last.Add(e.cfg.ReportInterval); !next.After(now); next = next.Add(e.cfg.ReportInterval) {
		e.takeSnapshot(next)
	}
}

// takeSnapshot records the load at a time and drops the oldest snapshots.
func (e *Engine) takeSnapshot(at time.Time) {
	e.reports = append(e.reports, e.CurrentLoad(at))
	keep := int(e.cfg.ReportLag/e.cfg.ReportInterval) + pastReports
	if len(e.reports) > 2*keep {
		e.reports = append(e.reports[:0], e.reports[len(e.reports)-keep:]...)
	}
}

// CurrentLoad returns the present load with the time at, without the delay of
// load reports, for a scheduler with perfect information.
func (e *Engine) CurrentLoad(at time.Time) Snapshot {
	queued := 0
	for _, s := range e.running {
		queued += s.remainingPrefill
	}
	for _, s := range e.waiting {
		queued += max(s.job.PromptTokens-e.cache.cachedPrefixLen(s.job.Prefix)*BlockTokens, 1)
	}
	return Snapshot{
		At: at, Running: len(e.running), Waiting: len(e.waiting), QueuedPrefillTokens: queued,
		PrefillRate: e.prefillRate(), DecodeRate: float64(time.Second) / float64(e.meanStepDuration),
		KVUsed: float64(e.usedBlocks()) / float64(e.cfg.Blocks),
	}
}

// decodeStepDuration returns the duration of a step of the current batch without
// prefill, at nominal speed.
func (e *Engine) decodeStepDuration() time.Duration {
	return e.cfg.StepBase + time.Duration(len(e.running))*e.cfg.StepPerSequence
}

// prefillRate returns the prompt tokens per second that prefill reaches beside
// the current batch.
func (e *Engine) prefillRate() float64 {
	step := e.decodeStepDuration().Seconds() + float64(e.cfg.ChunkTokens)/e.cfg.PrefillRate
	return e.speed * float64(e.cfg.ChunkTokens) / step
}

// CachedTokens returns the number of leading prompt tokens that are cached now.
func (e *Engine) CachedTokens(prefix []uint64) int {
	return e.cache.cachedPrefixLen(prefix) * BlockTokens
}

// Report returns the newest load report that can be read at now, or the oldest
// one kept if none can be.
func (e *Engine) Report(now time.Time) blackboard.LoadReport {
	e.takeDueSnapshots(now)
	newest := e.reports[0]
	for _, r := range e.reports {
		if r.At.Add(e.cfg.ReportLag).After(now) {
			break
		}
		newest = r
	}
	return blackboard.LoadReport{
		TakenAt: newest.At, AgeMillis: now.Sub(newest.At).Milliseconds(), Running: newest.Running, Waiting: newest.Waiting,
		QueuedPrefillTokens: newest.QueuedPrefillTokens, PrefillRate: newest.PrefillRate, DecodeRate: newest.DecodeRate,
		MaxBatch: e.cfg.MaxBatch, KVUsed: newest.KVUsed, Leaving: e.leaving,
	}
}

// CacheEvents returns the cache events with a sequence number above seq that can
// be read at now.
func (e *Engine) CacheEvents(seq uint64, now time.Time) []CacheEvent {
	return e.log.after(seq, now)
}
