package admit

import (
	"container/heap"
	"math"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// queue is a bounded priority queue. Requests leave it by descending priority and,
// within a priority, in the order of their arrival.
type queue struct {
	maxLength int
	items     itemHeap
	// decayedPops is the exponentially decaying number of requests dequeued since
	// busySince, valid at poppedAt.
	decayedPops float64
	poppedAt    time.Time
	// busySince is when the queue last became non-empty.
	busySince time.Time
}

func newQueue(limit int) *queue { return &queue{maxLength: limit} }

func (q *queue) len() int { return len(q.items) }

func (q *queue) peek() Request { return q.items[0] }

// push adds an item. It refuses the item if the estimated wait and the time to first
// token exceed its deadline, or if the queue is full and no item in it has a lower
// priority. Otherwise a full queue sheds its last item to make room.
func (q *queue) push(item Request, estimate time.Duration, now time.Time) Verdict {
	item.QueuedAt = now
	wait := q.estimateWait(item, now)
	if !item.FirstTokenDeadline.IsZero() && now.Add(wait+estimate).After(item.FirstTokenDeadline) {
		return refuse(failure.CodeDeadlineExceeded, "the queue is too long for the deadline", wait)
	}
	if q.len() < q.maxLength {
		q.markBusy(now)
		q.insert(item)
		return Verdict{Kind: Queue}
	}
	lowest := q.lowest()
	if !leavesBefore(item, q.items[lowest]) || q.items[lowest].Priority == item.Priority {
		return refuse(failure.CodeOverloaded, "the queue is full", q.drainTime(now))
	}
	shed := q.items[lowest]
	heap.Remove(&q.items, lowest)
	q.insert(item)
	return Verdict{Kind: Queue, Shed: &shed}
}

func (q *queue) insert(item Request) { heap.Push(&q.items, item) }

// markBusy resets the departure rate if the queue is empty. It is called before an
// item is inserted.
func (q *queue) markBusy(now time.Time) {
	if q.len() == 0 {
		q.decayedPops, q.poppedAt, q.busySince = 0, now, now
	}
}

// pop removes and returns the first item. It reports false if the queue is empty.
func (q *queue) pop(now time.Time) (Request, bool) {
	if q.len() == 0 {
		return Request{}, false
	}
	item := heap.Pop(&q.items).(Request)
	q.decayedPops = q.popsAt(now) + 1
	q.poppedAt = now
	return item, true
}

// requeue undoes the last pop.
func (q *queue) requeue(item Request) {
	q.insert(item)
	q.decayedPops--
}

// departureRateWindow is the time constant that smooths the departure rate.
const departureRateWindow = 5 * time.Second

// minBusyTime is how long a queue must have been non-empty before its departure
// rate is considered known.
const minBusyTime = time.Second

// popsAt returns decayedPops, decayed up to now.
func (q *queue) popsAt(now time.Time) float64 {
	return q.decayedPops * math.Exp(-now.Sub(q.poppedAt).Seconds()/departureRateWindow.Seconds())
}

// departureRate returns the number of requests dequeued per second; 0 means that it
// is not known.
func (q *queue) departureRate(now time.Time) float64 {
	busy := now.Sub(q.busySince)
	if q.len() == 0 || busy < minBusyTime {
		return 0
	}
	window := departureRateWindow.Seconds() * (1 - math.Exp(-busy.Seconds()/departureRateWindow.Seconds()))
	return q.popsAt(now) / window
}

// estimateWait estimates how long item would wait for the items ahead of it. It
// returns 0 while the departure rate is not known.
func (q *queue) estimateWait(item Request, now time.Time) time.Duration {
	rate := q.departureRate(now)
	if rate <= 0 {
		return 0
	}
	n := 0
	for _, other := range q.items {
		if !leavesBefore(item, other) {
			n++
		}
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// minRetryAfter is the least delay that a refused caller is told to wait before a
// retry.
const minRetryAfter = time.Second

// drainTime estimates how long it takes to empty the queue.
func (q *queue) drainTime(now time.Time) time.Duration {
	rate := q.departureRate(now)
	if rate <= 0 {
		return minRetryAfter
	}
	return max(minRetryAfter, time.Duration(float64(q.len())/rate*float64(time.Second)))
}

// lowest returns the index of the item that would leave the queue last. The queue
// must not be empty.
func (q *queue) lowest() int {
	lowest := 0
	for i := range q.items {
		if leavesBefore(q.items[lowest], q.items[i]) {
			lowest = i
		}
	}
	return lowest
}

// removeExpired removes and returns the items whose deadline has passed.
func (q *queue) removeExpired(now time.Time) []Request {
	var expired []Request
	kept := q.items[:0]
	for _, item := range q.items {
		if !item.FirstTokenDeadline.IsZero() && !now.Before(item.FirstTokenDeadline) {
			expired = append(expired, item)
			continue
		}
		kept = append(kept, item)
	}
	q.items = kept
	heap.Init(&q.items)
	return expired
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

// leavesBefore reports whether a leaves the queue before b.
func leavesBefore(a, b Request) bool {
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
func (h itemHeap) Less(i, j int) bool { return leavesBefore(h[i], h[j]) }
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
