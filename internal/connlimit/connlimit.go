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
	// places is what the connection takes of the limit: one, and another one while its
	// request is handled, for the connection to an endpoint or another gateway.
	places int
	// element is the place in queue; both are nil while a request is answered and once the
	// connection is removed.
	element *list.Element
	queue   *list.List
	since   time.Time
	removed bool
}

// Table holds the open connections. It is not safe for concurrent use.
type Table struct {
	limit int
	open  int
	taken [groupCount]int
	// receiving and idle hold the connections in the order in which they became so.
	// Receiving are those with an unfinished head or body, and those that have not sent
	// anything yet.
	receiving, idle [groupCount]list.List
}

// NewTable returns an empty table with the given number of places. A limit of 0 or less is
// none.
func NewTable(limit int) *Table { return &Table{limit: limit} }

// Open returns the number of open connections.
func (t *Table) Open() int { return t.open }

// Taken returns the number of places that are taken.
func (t *Table) Taken() int {
	n := 0
	for _, taken := range t.taken {
		n += taken
	}
	return n
}

// Limit returns the number of places.
func (t *Table) Limit() int { return t.limit }

// SetLimit changes the number of places. If more are taken, Add and Begin make room.
func (t *Table) SetLimit(limit int) { t.limit = limit }

// Add adds a new connection, which is receiving. At the limit it removes those that have
// been receiving for the longest time; failing that, those that have been idle since
// idleSince or a time before, which their clients don't use again. The caller closes what is
// evicted. If there is too little room all the same, Add returns nil for the connection.
func (t *Table) Add(group Group, now, idleSince time.Time) (c *Conn, evicted []*Conn) {
	evicted, ok := t.makeRoom(group, idleSince)
	if !ok {
		return nil, evicted
	}
	c = &Conn{group: group, places: 1}
	t.open++
	t.taken[group]++
	t.Receiving(c, now)
	return c, evicted
}

// Begin notes that a request of c is handled from now on, and makes room for its second
// place as Add does. If there is none, ok is false and the request has to be refused. With a
// body, c stays receiving since the time before until Answering is called.
func (t *Table) Begin(c *Conn, hasBody bool, now, idleSince time.Time) (evicted []*Conn, ok bool) {
	since, wasReceiving := c.since, c.queue == &t.receiving[c.group]
	t.Answering(c)
	if c.removed || c.places > 1 {
		return nil, true
	}
	if evicted, ok = t.makeRoom(c.group, idleSince); !ok {
		return evicted, false
	}
	c.places++
	t.taken[c.group]++
	if hasBody && wasReceiving {
		t.Receiving(c, since)
	} else if hasBody {
		t.Receiving(c, now)
	}
	return evicted, true
}

// makeRoom evicts connections until a place of the group is free. It returns false if it
// can't.
func (t *Table) makeRoom(group Group, idleSince time.Time) (evicted []*Conn, ok bool) {
	for t.limit > 0 {
		var victim *Conn
		switch {
		case t.taken[group] >= max(t.limit*groupShareOf4/4, 1):
			victim = t.oldest(idleSince, group)
		case t.Taken() >= t.limit:
			victim = t.oldest(idleSince, Callers, Internal)
		default:
			return evicted, true
		}
		if victim == nil {
			return evicted, false
		}
		t.Remove(victim)
		evicted = append(evicted, victim)
	}
	return evicted, true
}

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

// End notes that the request of c has been answered.
func (t *Table) End(c *Conn) {
	if !c.removed && c.places > 1 {
		c.places--
		t.taken[c.group]--
	}
}

// move moves c to a queue, in which it comes after those that are there since the same time
// or before. Nearly always these are all.
func (t *Table) move(c *Conn, queue *list.List, since time.Time) {
	if c.removed {
		return
	}
	if c.element != nil {
		c.queue.Remove(c.element)
	}
	c.queue, c.element, c.since = queue, nil, since
	if queue == nil {
		return
	}
	before := queue.Back()
	for before != nil && before.Value.(*Conn).since.After(since) {
		before = before.Prev()
	}
	if before == nil {
		c.element = queue.PushFront(c)
	} else {
		c.element = queue.InsertAfter(c, before)
	}
}

// Remove removes a connection. It reports whether it was there.
func (t *Table) Remove(c *Conn) bool {
	if c.removed {
		return false
	}
	t.move(c, nil, time.Time{})
	c.removed = true
	t.open--
	t.taken[c.group] -= c.places
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
