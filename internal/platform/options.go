package platform

import (
	"context"
	"net"
	"time"
)

// The defaults of Options.
const (
	defaultDialTimeout   = time.Second
	defaultAnswerTimeout = 3 * time.Second
	defaultWatchSlack    = 3 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultMaxIdle       = 4
)

// Options bound the waits of the HTTP clients. A zero field has its default.
type Options struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// ResponseTimeout bounds the time from a request to the end of its answer.
	// A connection that exceeds it is taken for silent.
	ResponseTimeout time.Duration
	// WatchGrace is what a watch may take beyond the wait that it asked for.
	WatchGrace time.Duration
	// IdleTimeout closes a connection that was not used for so long.
	IdleTimeout time.Duration
	// MaxIdleConns is the number of idle connections kept.
	MaxIdleConns int
	// Dial makes connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.ResponseTimeout == 0 {
		o.ResponseTimeout = defaultAnswerTimeout
	}
	if o.WatchGrace == 0 {
		o.WatchGrace = defaultWatchSlack
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxIdleConns == 0 {
		o.MaxIdleConns = defaultMaxIdle
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return o
}
