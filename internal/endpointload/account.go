package endpointload

import (
	"math"
	"slices"
	"time"
)

// Constants of an endpoint's account.
const (
	// failMemory is the time constant in which failures are forgotten.
	failMemory = 4 * time.Second
	// failStep is the weight of one request in the share of failures.
	failStep = 0.1
	// firstEjection and lastEjection bound the time for which an endpoint that
	// can't be reached gets nothing.
	firstEjection = 500 * time.Millisecond
	lastEjection  = 4 * time.Second
	// overdueFactor and overdueSlack say when a request that waits for its
	// first answer is overdue.
	overdueFactor = 3
	overdueSlack  = 400 * time.Millisecond
)

// account is what this gateway knows of one incarnation of an endpoint.
type account struct {
	born int64
	// pending are the requests whose answer has not begun, the oldest first.
	pending []*ActiveRequest
	// running counts the requests whose answer has begun.
	running int
	// memory is what all of them take, in tokens.
	memory int
	// busy is the time that reading the prompts of late requests takes, as of
	// busyAt; it fades with busyTime.
	busy   time.Duration
	busyAt time.Time
	// progress is when the endpoint last began an answer, or got work after a
	// pause.
	progress time.Time

	// failing is the share of requests that failed, as of failedAt.
	failing  float64
	failedAt time.Time
	// unreachable counts the connections in a row that could not be made.
	unreachable int
	ejected     time.Time

	parts partCache
	// granted is set by the endpoint's coordinator.
	granted granted
}

func newAccount(born int64) *account { return &account{born: born, parts: newPartCache()} }

func (a *account) add(e *ActiveRequest, now time.Time) {
	if len(a.pending) == 0 {
		a.progress = now
	}
	a.pending = append(a.pending, e)
	if !e.job.Forwarded {
		a.memory += e.job.PromptTokens + e.job.OutputTokens
		a.busy = a.busyNow(now) + e.work
		a.busyAt = now
	}
	a.parts.touch(e.job.Segments, now)
}

// busyTime is the time constant in which an endpoint's use is measured: a few
// times what reading a long prompt takes.
const busyTime = 2 * time.Second

func (a *account) busyNow(now time.Time) time.Duration { return fade(a.busy, now.Sub(a.busyAt)) }

// fade is what is left of a use after some time.
func fade(busy, age time.Duration) time.Duration {
	if busy == 0 {
		return 0
	}
	return time.Duration(float64(busy) * math.Exp(-age.Seconds()/busyTime.Seconds()))
}

func (a *account) begin(e *ActiveRequest, now time.Time) {
	a.drop(e)
	if !e.job.Forwarded {
		a.running++
	}
	a.progress = now
	a.unreachable = 0
}

func (a *account) drop(e *ActiveRequest) {
	if i := slices.Index(a.pending, e); i >= 0 {
		a.pending = slices.Delete(a.pending, i, i+1)
	}
}

func (a *account) end(e *ActiveRequest, r Result, now time.Time) {
	if !e.began {
		a.drop(e)
	}
	if !e.job.Forwarded {
		a.memory -= e.job.PromptTokens + e.job.OutputTokens
		if e.began {
			a.running--
		}
	}
	switch r {
	case Succeeded:
		a.note(0, now)
	case Failed:
		a.note(1, now)
	case Unreachable:
		a.eject(now)
		a.parts.clear()
	case Shed, Abandoned:
	}
}

// note takes in one outcome, 0 for success and 1 for failure.
func (a *account) note(outcome float64, now time.Time) {
	a.failing = a.failingAt(now)*(1-failStep) + outcome*failStep
	a.failedAt = now
}

func (a *account) failingAt(now time.Time) float64 {
	if a.failing == 0 {
		return 0
	}
	return a.failing * math.Exp(-now.Sub(a.failedAt).Seconds()/failMemory.Seconds())
}

func (a *account) eject(now time.Time) {
	pause := firstEjection << min(a.unreachable, 8)
	a.unreachable++
	a.ejected = now.Add(min(pause, lastEjection))
}

// queued is the reading time of the pending requests that come before one of
// the given urgency.
func (a *account) queued(urgency int, now time.Time) time.Duration {
	var sum time.Duration
	for i, e := range a.pending {
		if e.job.Forwarded || e.job.Priority > urgency {
			continue
		}
		work := e.work
		if i == 0 {
			work = a.headWork(e, now)
		}
		sum += work
	}
	return sum
}

// headWork is what is left of the oldest pending request. One that is overdue
// is expected to take as long again.
func (a *account) headWork(e *ActiveRequest, now time.Time) time.Duration {
	spent := now.Sub(a.progress)
	if limit := overdueFactor*e.work + overdueSlack; spent > limit {
		return spent - limit + e.work
	}
	return max(e.work-spent, e.work/4)
}
