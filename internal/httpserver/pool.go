package httpserver

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hickorystage/hickorystage/internal/connlimit"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	openConns    = telemetry.NewCounter("connections_open", "connections", "connections that are open now, on all listeners")
	refusedConns = telemetry.NewCounter("connections_refused", "connections", "new connections and requests refused because the process has as many connections as it takes")
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
	// evicted and refused count the connections since the last log line at loggedAt, heads
	// those without memory.
	evicted, refused, heads int
	loggedAt                time.Time
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
	p.table.SetLimit(connlimit.Places(descriptors, memoryBytes))
	p.buffers.SetMemory(memoryBytes)
}

// admit enters an accepted connection of a group into the pool. It returns false if there is
// no room for it.
func (p *Pool) admit(c *conn, group connlimit.Group, idleTimeout time.Duration) bool {
	now := time.Now()
	p.mu.Lock()
	entry, evicted := p.table.Add(group, now, idleSince(now, idleTimeout))
	if entry != nil {
		openConns.Inc()
		entry.Owner, c.entry, c.receiveBuffer = c, entry, p.buffers.Take()
	}
	p.count(evicted, entry == nil, now)
	p.mu.Unlock()
	closeAll(evicted)
	return entry != nil
}

// begin notes that a request is handled from now on. It returns false if there is no room
// for the connection that it may need.
func (p *Pool) begin(c *conn, hasBody bool, idleTimeout time.Duration) bool {
	now := time.Now()
	p.mu.Lock()
	evicted, ok := p.table.Begin(c.entry, hasBody, now, idleSince(now, idleTimeout))
	p.count(evicted, !ok, now)
	p.mu.Unlock()
	closeAll(evicted)
	return ok
}

// idleSince returns the time since which connections must have been idle so that their
// clients don't use them again.
func idleSince(now time.Time, idleTimeout time.Duration) time.Time {
	if idleTimeout <= 0 {
		return time.Time{}
	}
	return now.Add(-unusedAfter(idleTimeout))
}

func closeAll(conns []*connlimit.Conn) {
	for _, e := range conns {
		e.Owner.(*conn).closeNow()
	}
}

// logInterval limits the log lines of a crowd.
const logInterval = time.Second

// count counts what a connection or request led to, and logs it from time to time.
func (p *Pool) count(evicted []*connlimit.Conn, refused bool, now time.Time) {
	for _, e := range evicted {
		p.buffers.Give(e.Owner.(*conn).receiveBuffer)
	}
	openConns.Add(int64(-len(evicted)))
	evictedConns.Add(int64(len(evicted)))
	p.evicted += len(evicted)
	if refused {
		refusedConns.Inc()
		p.refused++
	}
	p.log(now)
}

// countHead counts a head that was refused or evicted because memory was short.
func (p *Pool) countHead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heads++
	p.log(time.Now())
}

func (p *Pool) log(now time.Time) {
	if p.evicted+p.refused+p.heads == 0 || now.Sub(p.loggedAt) < logInterval || p.logger == nil {
		return
	}
	p.logger.Warn("connections_bounded", "evicted", p.evicted, "refused", p.refused, "heads", p.heads, "open", p.table.Open(), "taken", p.table.Taken(), "limit", p.table.Limit())
	p.evicted, p.refused, p.heads, p.loggedAt = 0, 0, 0, now
}

// remove takes a connection that has ended out of the pool.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.Remove(c.entry) {
		openConns.Add(-1)
		p.buffers.Give(c.receiveBuffer)
	}
}

// receiving, answering, end and idle note the progress of a connection.
func (p *Pool) receiving(c *conn) {
	p.note(c, func(entry *connlimit.Conn) { p.table.Receiving(entry, time.Now()) })
}

func (p *Pool) answering(c *conn) { p.note(c, p.table.Answering) }

func (p *Pool) end(c *conn) { p.note(c, p.table.End) }

func (p *Pool) idle(c *conn) {
	p.note(c, func(entry *connlimit.Conn) { p.table.Idle(entry, time.Now()) })
}

func (p *Pool) note(c *conn, change func(*connlimit.Conn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(c.entry)
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
func refusal(header http.Header) string {
	var lines strings.Builder
	_ = header.Write(&lines) // A builder doesn't fail.
	return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n" + lines.String() + "\r\n"
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
