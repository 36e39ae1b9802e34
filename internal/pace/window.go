package pace

import "time"

const (
	// initialSize is the size of a new window. With fewer requests the first round says
	// little, and with more an endpoint that answers at a tenth of its speed makes all of
	// them late.
	initialSize = 4
	// maxSize bounds a window: more requests than endpoints have slots.
	maxSize = 1024
	// stepPerResponse is by how much a window that was shrunk grows with each response in
	// time: by a quarter in each round. One request a round would need half a minute for
	// an endpoint with 64 slots.
	stepPerResponse = 0.25
	// Shares of the requests in flight that remain of a window when a response is late, and
	// when a request is refused or fails. A refusal tells how many requests the endpoint
	// holds; half as many leaves it idle.
	lateShare    = 0.7
	refusedShare = 0.85
	failedShare  = 0.5
	// minLateSize is the size below which late responses don't shrink a window: an endpoint
	// whose caches are cold gets faster by what it serves.
	minLateSize = 2
	// An endpoint has proved itself if its window has not limited it for provenTime, while
	// at least provenResponses came in time. Without responses nothing is proved.
	provenTime      = 2 * time.Second
	provenResponses = 8
	// relapseTime is how soon after the begin of its window an endpoint that ends has died
	// again.
	relapseTime = 30 * time.Second
	// shrunkHold is how long after a window shrank it is not exceeded at all, if a request
	// was refused or failed, or by excessFactor at most, if a response was late and all
	// endpoints have windows. With a factor of 1.5 or 3 fewer responses of a region that
	// comes back slow are in time.
	shrunkHold   = time.Second
	excessFactor = 2
	// peakTime is the time over which the most requests in flight are taken as the use of
	// a window. It covers a few rounds.
	peakTime = time.Second
)

// window is the window of one incarnation of an endpoint.
type window struct {
	incarnation int64
	cause       Cause
	beganAt     time.Time
	// size is the number of requests that may be in flight. Up to threshold it grows by
	// one with each response in time, above by stepPerResponse.
	size, threshold float64
	// peak is the most requests that were in flight since peakAt.
	peak   int
	peakAt time.Time
	// limitedAt is when there was last no room, shrunkAt when the window last shrank,
	// rejectedAt when it last did so for a refused or failed request.
	limitedAt, shrunkAt, rejectedAt time.Time
	// inTime counts the responses in time since the window began or shrank.
	inTime int
	proved bool
}

func newWindow(incarnation int64, cause Cause, now time.Time) *window {
	return &window{incarnation: incarnation, cause: cause, beganAt: now, size: initialSize, threshold: maxSize}
}

// relapse makes the window that of an endpoint that died again, whose window before was
// old. The endpoint is taken to hold half of what it held then.
func (w *window) relapse(old *window, now time.Time) {
	w.size, w.threshold, w.rejectedAt = 1, old.threshold, now
	if old.inTime > 0 {
		w.threshold = max(failedShare*old.used(), 1)
	}
}

// used returns the part of the window that was in use lately.
func (w *window) used() float64 { return min(w.size, float64(max(w.peak, 1))) }

// isOver reports whether the window can't matter any more, not even for a relapse.
func (w *window) isOver(now time.Time) bool {
	age := now.Sub(w.beganAt)
	return age >= maxAge || w.proved && age >= relapseTime
}

func (w *window) room(inFlight int, now time.Time) int {
	if now.Sub(w.peakAt) >= peakTime {
		w.peak, w.peakAt = 0, now
	}
	w.peak = max(w.peak, inFlight+1)
	room := int(w.size) - inFlight
	if room <= 0 {
		w.limitedAt = now
	}
	return room
}

func (w *window) mayExceed(inFlight int, allPaced bool, now time.Time) bool {
	switch {
	case now.Sub(w.rejectedAt) < shrunkHold:
		return false
	case allPaced && now.Sub(w.shrunkAt) < shrunkHold:
		return float64(inFlight) < excessFactor*w.size
	default:
		return true
	}
}

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds.
const (
	// Shrunk means that a response was late, refused or failed.
	Shrunk ChangeKind = "shrunk"
	// Proved means that the endpoint has no window any more.
	Proved ChangeKind = "proved"
)

// Change is a change of a window that is worth logging.
type Change struct {
	Kind  ChangeKind
	Cause Cause
	// Size is the size of the window after the change.
	Size int
	// Age is the time since the window began.
	Age time.Duration
}

func (w *window) change(kind ChangeKind, now time.Time) Change {
	return Change{Kind: kind, Cause: w.cause, Size: int(w.size), Age: now.Sub(w.beganAt)}
}

func (w *window) record(s Sample, now time.Time) Change {
	late := s.isLate()
	switch s.Result {
	case Answered:
		if late {
			return w.shrink(lateShare, minLateSize, s, now)
		}
		return w.grow(max(s.Count, 1), now)
	case Refused:
		w.rejectedAt = now
		return w.shrink(refusedShare, 1, s, now)
	case Failed:
		w.rejectedAt = now
		return w.shrink(failedShare, 1, s, now)
	case Unreachable:
		w.rejectedAt = now
		return w.shrink(0, 1, s, now)
	default:
		if late {
			return w.shrink(lateShare, minLateSize, s, now)
		}
		return Change{}
	}
}

// shrink reduces the window to a share of what was in use, but not below minSize. The requests that were sent
// before it last shrank say nothing about the smaller window.
func (w *window) shrink(share, minSize float64, s Sample, now time.Time) Change {
	if now.Add(-s.Actual).Before(w.shrunkAt) {
		return Change{}
	}
	w.threshold = max(max(share, failedShare)*w.used(), 1)
	w.size = max(share*w.used(), min(minSize, w.size))
	w.shrunkAt, w.inTime = now, 0
	return w.change(Shrunk, now)
}

// grow adds so many responses in time. A window of which less than half is in use
// doesn't grow: the responses don't show that the endpoint can take more.
func (w *window) grow(count int, now time.Time) Change {
	w.inTime += count
	if 2*float64(w.peak) >= w.size {
		for range count {
			if w.size < w.threshold {
				w.size++
			} else {
				w.size += stepPerResponse
			}
		}
		w.size = min(w.size, maxSize)
	}
	if w.inTime >= provenResponses && now.Sub(w.limitedAt) >= provenTime && now.Sub(w.shrunkAt) >= provenTime && now.Sub(w.beganAt) >= provenTime {
		w.proved = true
		return w.change(Proved, now)
	}
	return Change{}
}
