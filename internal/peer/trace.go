package peer

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// sentTrace notes whether a call got a connection, after which a byte of it
// may have left.
type sentTrace struct{ got atomic.Bool }

func (s *sentTrace) with(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.got.Store(true) },
	})
}

func (s *sentTrace) connected() bool { return s.got.Load() }
