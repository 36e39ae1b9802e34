package platform

import (
	"context"
	"net"
	"time"
)

// Defaults of Options.
const (
	defaultDialTimeout     = time.Second
	defaultResponseTimeout = 3 * time.Second
	defaultWatchGrace      = 3 * time.Second
	defaultIdleTimeout     = 30 * time.Second
	defaultMaxIdleConns    = 4
)

// Options are the timeouts and connection limits of the HTTP clients. A zero
// field stands for its default.
type Options struct {
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// ResponseTimeout bounds the time from a request to the end of its response.
	// A connection that exceeds it is considered silent and closed.
	ResponseTimeout time.Duration
	// WatchGrace is the time that a watch may take beyond its requested wait.
	WatchGrace time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxIdleConns is the maximum number of idle connections kept to a service.
	MaxIdleConns int
	// Dial establishes connections. The default is a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.ResponseTimeout == 0 {
		o.ResponseTimeout = defaultResponseTimeout
	}
	if o.WatchGrace == 0 {
		o.WatchGrace = defaultWatchGrace
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxIdleConns == 0 {
		o.MaxIdleConns = defaultMaxIdleConns
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return o
}
