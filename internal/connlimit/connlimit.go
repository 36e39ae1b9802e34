// Package connlimit decides how many connections a process keeps, which ones it closes to
// make room for others, and how much each may have received that is not yet read. It is
// pure: no I/O, no clock.
//
// It answers the load in which clients open more connections than the process has file
// descriptors or memory for, and send nothing on them, or heads and bodies that don't end.
package connlimit

import (
	"container/list"
	"time"
)

// Group says who opens a connection. No group takes more than groupShare of all, so that
// neither shuts the other out.
type Group int

// The groups: connections of callers, and those of other gateways and of operators.
const (
	Callers Group = iota
	Internal
	groupCount
)

// A group may take groupShareOf4 quarters of the limit.
const groupShareOf4 = 3

// Conn is one open connection in a Table.
type Conn struct {
	// Owner is for the use of the caller.
	Owner any
	group Group
	// element is the place in queue, nil while a request is being answered or once the
	// connection is removed.
	element *list.Element
	queue   *list.List
	since   time.Time
	removed bool
}

// Table holds the open connections. It is not safe for concurrent use.
type Table struct {
	limit int
	open  [groupCount]int
	// receiving and idle hold the connections in the order in which they became so.
	// Receiving are those with an unfinished head or body, and those that have not sent
	// anything yet.
	receiving, idle [groupCount]list.List
}

// NewTable returns an empty table. A limit of 0 or less is none.
func NewTable(limit int) *Table { return &Table{limit: limit} }

// Open returns the number of open connections.
func (t *Table) Open() int {
	n := 0
	for _, open := range t.open {
		n += open
	}
	return n
}

// Limit returns the limit.
func (t *Table) Limit() int { return t.limit }

// SetLimit changes the limit. If more are open, Add makes room.
func (t *Table) SetLimit(limit int) { t.limit = limit }

// Add adds a new connection, which is receiving. At the limit it removes those that have
// been receiving for the longest time; failing that, those that have been idle since
// idleSince or a time before, which their clients don't use again. The caller closes what is
// evicted. If there is too little room all the same, Add returns nil for the connection.
func (t *Table) Add(group Group, now, idleSince time.Time) (c *Conn, evicted []*Conn) {
	for t.limit > 0 {
		var victim *Conn
		switch {
		case t.open[group] >= t.groupLimit():
			victim = t.oldest(idleSince, group)
		case t.Open() >= t.limit:
			victim = t.oldest(idleSince, Callers, Internal)
		default:
			c = &Conn{group: group}
		}
		if c != nil {
			break
		}
		if victim == nil {
			return nil, evicted
		}
		t.Remove(victim)
		evicted = append(evicted, victim)
	}
	if c == nil {
		c = &Conn{group: group}
	}
	t.open[group]++
	t.Receiving(c, now)
	return c, evicted
}

func (t *Table) groupLimit() int { return max(t.limit*groupShareOf4/4, 1) }

// oldest returns the connection of the groups that may be evicted first, nil if there is
// none.
func (t *Table) oldest(idleSince time.Time, groups ...Group) *Conn {
	var out *Conn
	for _, g := range groups {
		if c := front(&t.receiving[g]); c != nil && (out == nil || c.since.Before(out.since)) {
			out = c
		}
	}
	if out != nil {
		return out
	}
	for _, g := range groups {
		if c := front(&t.idle[g]); c != nil && !c.since.After(idleSince) && (out == nil || c.since.Before(out.since)) {
			out = c
		}
	}
	return out
}

func front(l *list.List) *Conn {
	if e := l.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// Receiving notes that a head or body has begun. If c is receiving already, it stays so
// since the time before.
func (t *Table) Receiving(c *Conn, now time.Time) {
	if queue := &t.receiving[c.group]; c.queue != queue {
		t.move(c, queue, now)
	}
}

// Answering notes that the request of c has been received.
func (t *Table) Answering(c *Conn) { t.move(c, nil, time.Time{}) }

// Idle notes that the request of c has been answered and no byte of another has come.
func (t *Table) Idle(c *Conn, now time.Time) { t.move(c, &t.idle[c.group], now) }

func (t *Table) move(c *Conn, queue *list.List, now time.Time) {
	if c.removed {
		return
	}
	if c.element != nil {
		c.queue.Remove(c.element)
	}
	c.queue, c.element, c.since = queue, nil, now
	if queue != nil {
		c.element = queue.PushBack(c)
	}
}

// Remove removes a connection. It reports whether it was there.
func (t *Table) Remove(c *Conn) bool {
	if c.removed {
		return false
	}
	t.move(c, nil, time.Time{})
	c.removed = true
	t.open[c.group]--
	return true
}

// CountReceiving returns the number of connections that are receiving.
func (t *Table) CountReceiving() int {
	n := 0
	for g := range t.receiving {
		n += t.receiving[g].Len()
	}
	return n
}
