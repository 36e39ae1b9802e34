package relay

import (
	"context"
	"time"

	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Relay sends requests to endpoints. It is safe for concurrent use.
type Relay struct {
	settings Settings
	pools    *connPools
	cancels  *canceller
	tomb     tomb.Tomb
}

// New returns a relay and starts its goroutines, which Close stops.
func New(s Settings) *Relay {
	r := &Relay{settings: s.withDefaults()}
	r.pools = newConnPools(&r.settings)
	r.cancels = newCanceller(r.pools)
	r.tomb.Go(func() error {
		r.cancels.start(&r.tomb)
		<-r.tomb.Dying()
		return nil
	})
	return r
}

// Close stops the relay's own goroutines, waits for them and closes idle
// connections. Requests in flight continue.
func (r *Relay) Close() error {
	r.tomb.Kill(nil)
	err := r.tomb.Wait()
	r.pools.close()
	return err
}

// Forget closes the idle connections to an endpoint that was removed, and drops
// their pool. address is host:port.
func (r *Relay) Forget(address string) { r.pools.forget(address) }

func newUUID() string { return uuid.NewString() }

// Chat sends one chat completion to the endpoints that pick chooses and writes
// the response to sink. The error is a *failure.Refusal; it wraps a
// *CallerGoneError if the caller can't be reached any more. If the summary says
// that the response was started, Chat has written its end or the error event
// to sink, and nothing more may be written.
func (r *Relay) Chat(ctx context.Context, req ChatRequest, pick Picker, sink Sink) (Summary, error) {
	openChats.Add(1)
	defer openChats.Add(-1)
	s := newRequestState(r, req, pick, sink)
	err := s.runChat(ctx)
	s.summary.ResponseStarted = sink.Started()
	return s.summary, err
}

var openChats = telemetry.NewCounter("relay_open_chats", "chats", "Chat completions in flight.")

// now returns the time for all durations that this package measures.
func now() time.Time { return time.Now() }
