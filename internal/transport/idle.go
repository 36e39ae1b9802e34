package transport

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Servers close connections that have been idle for a time, which many of them state in the
// Keep-Alive header of their responses. A connection is kept for that time less a margin, so
// that it is reused as long as possible and seldom closed by the server just when a request is
// sent. Where no time is stated, idleTimeout applies. This covers gateways that each send a
// request to each of many endpoints every few seconds: with a fixed short time nearly every
// request opened a connection.

const (
	// A connection is closed keepAliveMargin before the server does so, or after half of
	// the time if that is later: the server's time began earlier than ours, by the transit of
	// the response's end, and a loaded machine may be late to send.
	keepAliveMargin = 500 * time.Millisecond
	// maxKeepAlive is the longest time for which an idle connection is kept: it holds a
	// file descriptor and a few kilobytes.
	maxKeepAlive = time.Minute
	// minChangeInterval is the shortest time between two changes of an address to a
	// longer time. A change gives up the idle connections.
	minChangeInterval = 10 * time.Second
)

// keepAliveTime returns the time for which an idle connection is to be kept by the Keep-Alive
// header of a response, and false if the header states none that can be read.
func keepAliveTime(h http.Header) (time.Duration, bool) {
	for _, list := range h["Keep-Alive"] {
		for parameter := range strings.SplitSeq(list, ",") {
			name, value, _ := strings.Cut(parameter, "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			seconds, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(value), `"`), 10, 32)
			if err != nil {
				return 0, false
			}
			stated := time.Duration(seconds) * time.Second
			return min(max(stated-keepAliveMargin, stated/2), maxKeepAlive), true
		}
	}
	return 0, false
}

// reusedPool holds the connections to one address that are reused, in a transport with the
// time for which the server keeps them.
type reusedPool struct {
	current atomic.Pointer[timedTransport]

	mu sync.Mutex
	// stated is set once the server has stated a time.
	stated    bool
	changedAt time.Time
}

// timedTransport is a transport that keeps idle connections for idle.
type timedTransport struct {
	*http.Transport
	idle time.Duration
}

// newReusedPool returns a pool that keeps connections for as long as the last server that
// stated a time: the endpoints of a deployment mostly state the same.
func (t *Transport) newReusedPool() *reusedPool {
	p := &reusedPool{}
	idle := time.Duration(t.lastKeepAlive.Load())
	if idle == 0 {
		idle = idleTimeout
	}
	p.current.Store(t.newTimedTransport(idle))
	return p
}

func (t *Transport) newTimedTransport(idle time.Duration) *timedTransport {
	ht := t.newHTTPTransport()
	ht.IdleConnTimeout = idle
	ht.DisableKeepAlives = idle <= 0
	return &timedTransport{Transport: ht, idle: idle}
}

// observe takes in what a response states. The connection that carried it stays with the
// transport that it belongs to, so a change costs one connection for each request under way.
func (t *Transport) observe(p *reusedPool, h http.Header, now time.Time) {
	idle, stated := keepAliveTime(h)
	current := p.current.Load()
	if stated && idle == current.idle || !stated && current.idle == idleTimeout {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current = p.current.Load()
	switch {
	case !stated && p.stated:
		// Some responses don't repeat it.
		return
	case !stated:
		idle = idleTimeout
	case idle > current.idle && !p.changedAt.IsZero() && now.Sub(p.changedAt) < minChangeInterval:
		return
	}
	p.stated = p.stated || stated
	if idle == current.idle {
		return
	}
	p.changedAt = now
	p.current.Store(t.newTimedTransport(idle))
	if stated {
		t.lastKeepAlive.Store(int64(idle))
	}
	current.CloseIdleConnections()
}
