package model

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
)

// Snapshot is the exact load of an engine at a time.
type Snapshot struct {
	At                  time.Time
	Running             int
	Waiting             int
	QueuedPrefillTokens int
	PrefillRate         float64
	DecodeRate          float64
	KVUsed              float64
}

// pastReports is the number of reports kept beyond the lag, for readers who
// ask for the past.
const pastReports = 8

// takeDueSnapshots takes the load reports that are due up to now.
func (e *Engine) takeDueSnapshots(now time.Time) {
	last := e.reports[len(e.reports)-1].At
	for next := last.Add(e.cfg.ReportInterval); !next.After(now); next = next.Add(e.cfg.ReportInterval) {
		e.takeSnapshot(next)
	}
}

func (e *Engine) takeSnapshot(at time.Time) {
	e.reports = append(e.reports, e.CurrentLoad(at))
	keep := int(e.cfg.ReportLag/e.cfg.ReportInterval) + pastReports
	if len(e.reports) > 2*keep {
		e.reports = append(e.reports[:0], e.reports[len(e.reports)-keep:]...)
	}
}

// CurrentLoad returns the load without lag, for a scheduler that sees everything.
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

// decodeStepDuration is the length of a step without prefill at nominal speed.
func (e *Engine) decodeStepDuration() time.Duration {
	return e.cfg.StepBase + time.Duration(len(e.running))*e.cfg.StepPerSequence
}

// prefillRate is the prompt tokens a second beside the present batch.
func (e *Engine) prefillRate() float64 {
	step := e.decodeStepDuration().Seconds() + float64(e.cfg.ChunkTokens)/e.cfg.PrefillRate
	return e.speed * float64(e.cfg.ChunkTokens) / step
}

// CachedTokens returns the part of a prompt that the cache holds now.
func (e *Engine) CachedTokens(prefix []uint64) int {
	return e.cache.cachedPrefixLen(prefix) * BlockTokens
}

// Report returns the newest load report that can be seen at now.
func (e *Engine) Report(now time.Time) blackboard.LoadReport {
	e.takeDueSnapshots(now)
	s := e.reports[0]
	for _, r := range e.reports {
		if r.At.Add(e.cfg.ReportLag).After(now) {
			break
		}
		s = r
	}
	return blackboard.LoadReport{
		TakenAt: s.At, AgeMillis: now.Sub(s.At).Milliseconds(), Running: s.Running, Waiting: s.Waiting,
		QueuedPrefillTokens: s.QueuedPrefillTokens, PrefillRate: s.PrefillRate, DecodeRate: s.DecodeRate,
		MaxBatch: e.cfg.MaxBatch, KVUsed: s.KVUsed, Leaving: e.leaving,
	}
}

// CacheEvents returns the cache events above seq that can be seen at now.
func (e *Engine) CacheEvents(seq uint64, now time.Time) []CacheEvent {
	return e.log.after(seq, now)
}
