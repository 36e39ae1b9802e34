package model

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Op is what a cache event says of a block.
type Op string

// The operations of cache events.
const (
	Stored  Op = "stored"
	Removed Op = "removed"
	Cleared Op = "cleared"
)

// CacheEvent is one published change of the prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Op    Op     `json:"op"`
	Block uint64 `json:"block"`
	// VisibleAt is when it can be read.
	VisibleAt time.Time `json:"-"`
}

// maxRetainedEvents bounds the events kept for readers.
const maxRetainedEvents = 1 << 14

// eventLog publishes cache events late and with gaps.
type eventLog struct {
	cfg    *Config
	rnd    *rand.Rand
	seq    uint64
	events []CacheEvent
}

// append notes an event; a lost one leaves a gap in the numbers.
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

// after returns the events above seq that can be read at now.
func (l *eventLog) after(seq uint64, now time.Time) []CacheEvent {
	i := sort.Search(len(l.events), func(i int) bool { return l.events[i].Seq > seq })
	j := i + sort.Search(len(l.events)-i, func(k int) bool { return l.events[i+k].VisibleAt.After(now) })
	return l.events[i:j:j]
}
