package relay

import (
	"context"
	"time"

	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Relay carries requests to endpoints. It is safe for concurrent use.
type Relay struct {
	settings Settings
	pools    *connPools
	cancels  *canceller
	tomb     tomb.Tomb
}

// New returns a relay. Close ends it.
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

// Close ends the relay's own goroutines and closes idle connections. Requests
// in flight go on.
func (r *Relay) Close() error {
	r.tomb.Kill(nil)
	err := r.tomb.Wait()
	r.pools.close()
	return err
}

// Forget closes the idle connections to an endpoint that is gone.
func (r *Relay) Forget(address string) { r.pools.forget(address) }

func newUUID() string { return uuid.NewString() }

// Chat carries one chat completion to the endpoints that pick chooses and its
// answer to sink. The error is a *failure.Refusal; it wraps a
// *CallerGoneError when there is no one left to tell. If the summary says
// that the answer was started, sink has got its end or the error event.
func (r *Relay) Chat(ctx context.Context, req ChatRequest, pick Picker, sink Sink) (Summary, error) {
	openChats.Add(1)
	defer openChats.Add(-1)
	s := newRequestState(r, req, pick, sink)
	err := s.runChat(ctx)
	s.summary.ResponseStarted = sink.Started()
	return s.summary, err
}

// openChats counts the chats in flight.
var openChats = telemetry.NewCounter("relay_open_chats", "chats", "Chat completions in flight.")

// now is the clock of everything that is measured here.
func now() time.Time { return time.Now() }
