package model

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Op is the operation that a cache event reports of a block.
type Op string

// The operations of cache events. Cleared concerns all blocks.
const (
	Stored  Op = "stored"
	Removed Op = "removed"
	Cleared Op = "cleared"
)

// CacheEvent is one published change of the prefix cache. A gap in Seq shows that
// events were lost.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Op    Op     `json:"op"`
	Block uint64 `json:"block"`
	// VisibleAt is the time from which the event can be read.
	VisibleAt time.Time `json:"-"`
}

// maxRetainedEvents limits the events kept for readers.
const maxRetainedEvents = 1 << 14

// eventLog publishes cache events after a delay and drops some of them.
type eventLog struct {
	cfg    *Config
	rnd    *rand.Rand
	seq    uint64
	events []CacheEvent
}

// append records an event. A lost event uses up its sequence number. When the log
// is full, the older half is dropped.
func (l *eventLog) append(op Op, block uint64, at time.Time) {
	l.seq++
	if l.rnd.Float64() < l.cfg.EventLoss {
		return
	}
	if len(l.events) >= maxRetainedEvents {
		l.events = append(l.events[:0], l.events[maxRetainedEvents/2:]...)
	}
	l.events = append(l.events, CacheEvent{Seq: l.seq, Op: op, Block: block, VisibleAt: at.Add(l.cfg.EventLag)})
}

// after returns the events with a sequence number above seq that can be read at
// now.
func (l *eventLog) after(seq uint64, now time.Time) []CacheEvent {
	i := sort.Search(len(l.events), func(i int) bool { return l.events[i].Seq > seq })
	j := i + sort.Search(len(l.events)-i, func(k int) bool { return l.events[i+k].VisibleAt.After(now) })
	return l.events[i:j:j]
}
