package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	requestsHeld    = telemetry.NewCounter("requests_held", "requests", "chats and service calls refused because they crash endpoints")
	endpointCrashes = telemetry.NewCounter("endpoint_crashes", "attempts", "attempts at endpoints that ended while they ran them")
)

// Crashes relates the crashes of endpoints to the requests that they ran.
type Crashes struct {
	// Requests holds requests that crash endpoint after endpoint.
	Requests *quarantine.Tracker
	// OnCrash is called after a crash, which other gateways have to learn of.
	OnCrash func()
}

// attemptEnded records what an attempt at an endpoint shows of its request.
func (c Crashes) attemptEnded(a relay.Attempt, r relay.Result) {
	keys, now := []quarantine.Key{a.RepeatKey}, time.Now()
	switch {
	case r.EndpointEnded:
		endpointCrashes.Inc()
		c.Requests.RecordCrash(keys, xxhash.Sum64String(a.Target.ID+" "+a.Target.Incarnation), a.StartedAt, now)
		c.OnCrash()
	case r.Kind == relay.ResultOK || r.Kind == relay.ResultRejected || r.Kind == relay.ResultBadStatus:
		c.Requests.RecordCompletion(keys, now)
	}
}

// heldRefusal returns the refusal of a request that crashes endpoints, nil for any other.
func (g *Gateway) heldRefusal(key quarantine.Key) error {
	_, remaining, isHeld := g.RequestQuarantine.Find([]quarantine.Key{key}, time.Now())
	if !isHeld {
		return nil
	}
	requestsHeld.Inc()
	return failure.Refuse(failure.CodeRequestHeld, "request %s crashes endpoints", key).WithRetryAfter(remaining)
}
