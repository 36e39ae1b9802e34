package admit

import (
	"container/heap"
	"math"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// queue is a bounded priority queue: the highest priority first, then the
// first to come.
type queue struct {
	max   int
	items itemHeap
	// popped is the decayed number of requests that left since busyAt, when
	// the queue was last empty.
	popped float64
	at     time.Time
	busyAt time.Time
}

func newQueue(limit int) *queue { return &queue{max: limit} }

func (q *queue) len() int { return len(q.items) }

func (q *queue) head() Request { return q.items[0] }

// push adds an item, sheds a less important one for it, or refuses it.
func (q *queue) push(item Request, estimate time.Duration, now time.Time) Verdict {
	item.QueuedAt = now
	wait := q.waitFor(item, now)
	if !item.FirstTokenDeadline.IsZero() && now.Add(wait+estimate).After(item.FirstTokenDeadline) {
		return refuse(failure.CodeDeadline, "the queue is too long for the deadline", wait)
	}
	if q.len() < q.max {
		q.start(now)
		q.insert(item)
		return Verdict{Kind: Queue}
	}
	least := q.least()
	if !before(item, q.items[least]) || q.items[least].Priority == item.Priority {
		return refuse(failure.CodeOverloaded, "the queue is full", q.drain(now))
	}
	shed := q.items[least]
	heap.Remove(&q.items, least)
	q.insert(item)
	return Verdict{Kind: Queue, Shed: &shed}
}

func (q *queue) insert(item Request) { heap.Push(&q.items, item) }

// start notes that a queue that was empty is in use.
func (q *queue) start(now time.Time) {
	if q.len() == 0 {
		q.popped, q.at, q.busyAt = 0, now, now
	}
}

// pop takes the head out.
func (q *queue) pop(now time.Time) (Request, bool) {
	if q.len() == 0 {
		return Request{}, false
	}
	item := heap.Pop(&q.items).(Request)
	q.popped = q.decayed(now) + 1
	q.at = now
	return item, true
}

// putBack undoes the last pop.
func (q *queue) putBack(item Request) {
	q.insert(item)
	q.popped--
}

// rateWindow is the time constant of the rate of leaving.
const rateWindow = 5 * time.Second

// minRateTime is how long a queue must be in use before its rate is known.
const minRateTime = time.Second

func (q *queue) decayed(now time.Time) float64 {
	return q.popped * math.Exp(-now.Sub(q.at).Seconds()/rateWindow.Seconds())
}

// rate is the number of requests that leave in a second; 0 means not known.
func (q *queue) rate(now time.Time) float64 {
	busy := now.Sub(q.busyAt)
	if q.len() == 0 || busy < minRateTime {
		return 0
	}
	window := rateWindow.Seconds() * (1 - math.Exp(-busy.Seconds()/rateWindow.Seconds()))
	return q.decayed(now) / window
}

// waitFor estimates how long item would wait behind those before it.
func (q *queue) waitFor(item Request, now time.Time) time.Duration {
	rate := q.rate(now)
	if rate <= 0 {
		return 0
	}
	n := 0
	for _, other := range q.items {
		if !before(item, other) {
			n++
		}
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// minRetryAfter is the least time that a caller is told to wait.
const minRetryAfter = time.Second

// drain estimates how long the whole queue takes.
func (q *queue) drain(now time.Time) time.Duration {
	rate := q.rate(now)
	if rate <= 0 {
		return minRetryAfter
	}
	return max(minRetryAfter, time.Duration(float64(q.len())/rate*float64(time.Second)))
}

// least returns the place of the last item in order.
func (q *queue) least() int {
	worst := 0
	for i := range q.items {
		if before(q.items[worst], q.items[i]) {
			worst = i
		}
	}
	return worst
}

// expire takes out the items whose deadline has passed.
func (q *queue) expire(now time.Time) []Request {
	var out []Request
	kept := q.items[:0]
	for _, item := range q.items {
		if !item.FirstTokenDeadline.IsZero() && !now.Before(item.FirstTokenDeadline) {
			out = append(out, item)
			continue
		}
		kept = append(kept, item)
	}
	q.items = kept
	heap.Init(&q.items)
	return out
}

func (q *queue) remove(id string) bool {
	for i := range q.items {
		if q.items[i].ID == id {
			heap.Remove(&q.items, i)
			return true
		}
	}
	return false
}

// before says that a leaves the queue before b.
func before(a, b Request) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if !a.QueuedAt.Equal(b.QueuedAt) {
		return a.QueuedAt.Before(b.QueuedAt)
	}
	return a.ID < b.ID
}

// itemHeap implements heap.Interface.
type itemHeap []Request

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return before(h[i], h[j]) }
func (h itemHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) { *h = append(*h, x.(Request)) }

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
