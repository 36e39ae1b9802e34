package edge

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// errInterrupted is the cause of contexts that end because the gateway stops.
var errInterrupted = errors.New("the gateway stops")

// stopping is how far the gateway has come with its stop.
type stopping struct {
	refusesNew atomic.Bool
	// interrupted ends when the requests in flight have to end.
	interrupted context.Context
	interrupt   context.CancelFunc
}

func newStopping() *stopping {
	s := &stopping{}
	s.interrupted, s.interrupt = context.WithCancel(context.Background())
	return s
}

// RefuseNew lets all requests be refused that are read to their end from now on, of callers
// and of other gateways: there may be no time left to finish them.
func (e *Edge) RefuseNew() { e.stopping.refusesNew.Store(true) }

// Interrupt ends the requests in flight. Those whose response hasn't begun are answered
// that they may have run, or have not; the others are cut off.
func (e *Edge) Interrupt() { e.stopping.interrupt() }

// refusalOfLate returns the refusal of a request that was read to its end too late, nil for
// any other.
func (e *Edge) refusalOfLate() error {
	if !e.stopping.refusesNew.Load() {
		return nil
	}
	requestsLate.Inc()
	return failure.Refuse(failure.CodeNotReady, "the gateway is stopping").WithRetryAfter(notReadyRetryDelay)
}

// withInterrupt returns a context that ends with ctx, or with the cause errInterrupted when
// the requests in flight have to end.
func (s *stopping) withInterrupt(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(s.interrupted, func() { cancel(errInterrupted) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}
