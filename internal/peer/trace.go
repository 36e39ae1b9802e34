package peer

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// connTrace records whether a request obtained a connection. From then on a part
// of it may have been sent.
type connTrace struct{ gotConn atomic.Bool }

func (s *connTrace) with(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.gotConn.Store(true) },
	})
}

func (s *connTrace) connected() bool { return s.gotConn.Load() }
