package httpserver

import (
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hickorystage/hickorystage/internal/connlimit"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	openConns    = telemetry.NewCounter("connections_open", "connections", "connections that are open now, on all listeners")
	refusedConns = telemetry.NewCounter("connections_refused", "connections", "new connections refused because the process has as many as it takes")
	evictedConns = telemetry.NewCounter("connections_evicted", "connections", "connections closed at an unfinished head or body, or unused, to make room for others")
	largeHeads   = telemetry.NewCounter("heads_too_large", "requests", "heads of requests refused as larger than the limit")
	lateHeads    = telemetry.NewCounter("heads_timed_out", "requests", "connections closed because the head of a request was not complete in time")
)

// Pool bounds what the connections of all servers of a process take together. It is safe
// for concurrent use.
type Pool struct {
	account *memory.Account
	logger  *log.Logger

	mu      sync.Mutex
	table   *connlimit.Table
	buffers connlimit.Buffers
	// evicted and refused count the connections since the last log line at loggedAt.
	evicted, refused int
	loggedAt         time.Time
}

// NewPool returns a pool without bounds, in which heads are reserved in account. A nil
// account reserves nothing.
func NewPool(account *memory.Account, logger *log.Logger) *Pool {
	return &Pool{account: account, logger: logger, table: connlimit.NewTable(0)}
}

// SetBounds sets the bounds that follow from the file descriptors and the memory of the
// process. A figure of 0 or less is unknown and doesn't bind.
func (p *Pool) SetBounds(descriptors int, memoryBytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetLimit(connlimit.MaxConnections(descriptors, memoryBytes))
	p.buffers.SetMemory(memoryBytes)
}

// admit enters an accepted connection of a group into the pool. It returns false if there is
// no room for it.
func (p *Pool) admit(c *conn, group connlimit.Group, idleTimeout time.Duration) bool {
	now := time.Now()
	idleSince := now.Add(-unusedAfter(idleTimeout))
	if idleTimeout <= 0 {
		idleSince = time.Time{}
	}
	p.mu.Lock()
	entry, evicted := p.table.Add(group, now, idleSince)
	for _, e := range evicted {
		p.returnBuffer(e.Owner.(*conn))
	}
	if entry != nil {
		entry.Owner, c.entry, c.receiveBuffer = c, entry, p.buffers.Take()
	}
	p.count(evicted, entry == nil, now)
	p.mu.Unlock()
	for _, e := range evicted {
		e.Owner.(*conn).closeNow()
	}
	return entry != nil
}

// logInterval limits the log lines of a crowd.
const logInterval = time.Second

// count counts what a new connection led to, and logs it from time to time.
func (p *Pool) count(evicted []*connlimit.Conn, refused bool, now time.Time) {
	openConns.Add(int64(-len(evicted)))
	evictedConns.Add(int64(len(evicted)))
	p.evicted += len(evicted)
	if refused {
		refusedConns.Inc()
		p.refused++
	} else {
		openConns.Inc()
	}
	if p.evicted+p.refused > 0 && now.Sub(p.loggedAt) >= logInterval && p.logger != nil {
		p.logger.Warn("connections_bounded", "evicted", p.evicted, "refused", p.refused, "open", p.table.Open(), "limit", p.table.Limit())
		p.evicted, p.refused, p.loggedAt = 0, 0, now
	}
}

// remove takes a connection that has ended out of the pool.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.entry != nil && p.table.Remove(c.entry) {
		openConns.Add(-1)
		p.returnBuffer(c)
	}
}

func (p *Pool) returnBuffer(c *conn) { p.buffers.Give(c.receiveBuffer) }

// receiving, answering and idle note the progress of a connection.
func (p *Pool) receiving(c *conn) {
	p.note(c, func(entry *connlimit.Conn) { p.table.Receiving(entry, time.Now()) })
}

func (p *Pool) answering(c *conn) { p.note(c, p.table.Answering) }

func (p *Pool) idle(c *conn) {
	p.note(c, func(entry *connlimit.Conn) { p.table.Idle(entry, time.Now()) })
}

func (p *Pool) note(c *conn, change func(*connlimit.Conn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.entry != nil {
		change(c.entry)
	}
}

// openHead returns a holder for a head, nil without an account.
func (p *Pool) openHead() *memory.Holder {
	if p.account == nil {
		return nil
	}
	return p.account.Open(memory.Head)
}

// refusal is the response to a connection or head for which there is no room. It promises
// that the request has not run.
func refusal(header string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n" + header + "\r\n"
}

// headTooLarge is the response to a head over the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuse answers a connection whose request is not read and closes it. The response is
// smaller than an empty send buffer, so that the write doesn't block.
func refuse(c net.Conn, response string) {
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = c.Write([]byte(response))
	_ = c.Close()
}
