package edge

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/transport"
)

const (
	// healthTimeout limits how long a request waits for an endpoint's health response.
	// Longer than that takes only an endpoint with all slots in use, or none at all.
	healthTimeout = 150 * time.Millisecond
	// unconfirmedFor is how long an endpoint that doesn't respond is not asked again.
	unconfirmedFor = 500 * time.Millisecond
	// maxHealthCold bounds the cold start of which an endpoint can tell.
	maxHealthCold = time.Minute
	// maxHealthBody bounds what is read of a health response's body.
	maxHealthBody = 4 << 10
)

// healthChecks holds which endpoints lately didn't respond to a health check. That an
// endpoint was warm is not kept: it may turn cold at any moment, and many requests may
// come in the next one.
type healthChecks struct {
	// timeout is healthTimeout, except in tests.
	timeout time.Duration

	mu sync.Mutex
	// unconfirmed holds, by endpoint, which incarnation didn't respond and when it is to
	// be asked again.
	unconfirmed map[string]unconfirmed
}

type unconfirmed struct {
	incarnation int64
	until       time.Time
}

// maxUnconfirmed bounds the endpoints that are kept, since they come and go.
const maxUnconfirmed = 4096

func (h *healthChecks) isUnconfirmed(view fleet.EndpointView, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, ok := h.unconfirmed[view.ID]
	return ok && u.incarnation == view.Incarnation && now.Before(u.until)
}

func (h *healthChecks) setUnconfirmed(view fleet.EndpointView, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unconfirmed == nil || len(h.unconfirmed) >= maxUnconfirmed {
		h.unconfirmed = make(map[string]unconfirmed)
	}
	h.unconfirmed[view.ID] = unconfirmed{incarnation: view.Incarnation, until: until}
}

// coldCause returns why an endpoint of this region is or may be in its cold start; empty
// if it is warm. If what this gateway knows is out of date, it asks the endpoint. reason
// says why the endpoint can't be used at all; empty if it can.
func (s *session) coldCause(ctx context.Context, view fleet.EndpointView) (cause fleet.ColdCause, reason string) {
	now := time.Now()
	cause = view.ColdCause(s.edge.heartbeatInterval(), now)
	if cause != "" || s.service.ColdRequestsPerSecond <= 0 || s.service.HealthPath == "" || !s.edge.isOutOfDate(now) {
		return cause, ""
	}
	if _, limited := s.edge.Limits.Get(view.ID, view.Incarnation, now); limited || s.edge.health.isUnconfirmed(view, now) {
		// A health check would be one more request to an endpoint that names a limit.
		return fleet.ColdUnconfirmed, ""
	}
	return s.checkHealth(ctx, view)
}

// isOutOfDate reports whether endpoints may have turned cold, or their data centres been
// evacuated, without this gateway having had a chance to learn of it.
func (e *Edge) isOutOfDate(now time.Time) bool {
	return e.Registry.IsOutOfDate(now) || now.Sub(e.Board.EvacuatedKnownAt.Get()) > fleet.StoreOutageAfter
}

// checkHealth asks an endpoint whether it is cold, and records what it says.
func (s *session) checkHealth(ctx context.Context, view fleet.EndpointView) (cause fleet.ColdCause, reason string) {
	healthAsked.Inc()
	checkCtx, cancel := context.WithTimeout(ctx, s.edge.health.timeout)
	defer cancel()
	resp, err := s.edge.EndpointTransport.Do(checkCtx, transport.Request{
		Address: view.Address, Method: http.MethodGet, Target: s.service.HealthPath, Host: view.Address, Header: make(http.Header),
	})
	now := time.Now()
	if err != nil && ctx.Err() != nil {
		return "", "the request ended during a health check"
	}
	if err != nil {
		return s.healthFailed(view, err, now)
	}
	defer func() {
		// A response that was read whole leaves its connection to the next request.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBody))
		_ = resp.Body.Close()
	}()
	meta := s.edge.Codec.ReadResponse(resp.Header)
	switch {
	case meta.AttemptID != "":
		return s.healthFailed(view, &ResponseMismatchError{Got: meta.AttemptID}, now)
	case meta.EndpointID != "" && meta.EndpointID != view.ID:
		s.log("misplaced", "endpoint", view.ID, "address", view.Address)
		s.edge.Registry.MarkAddressTaken(view.ID, view.Incarnation, now)
		return "", "another endpoint has taken over the address"
	case meta.Leaving:
		if s.edge.Registry.MarkLeaving(view.ID, view.Incarnation, now) {
			s.log("endpoint_leaving", "endpoint", view.ID, "entry_age_ms", now.Sub(view.UpdatedAt).Milliseconds())
		}
		return "", "the endpoint is leaving"
	case meta.ColdRemaining > 0:
		remaining := min(meta.ColdRemaining, maxHealthCold)
		s.edge.Registry.MarkCold(view.ID, view.Incarnation, now.Add(remaining))
		s.log("endpoint_cold", "endpoint", view.ID, "remaining_ms", remaining.Milliseconds(), "entry_age_ms", now.Sub(view.UpdatedAt).Milliseconds())
		return fleet.ColdByHealth, ""
	default:
		return "", ""
	}
}

// healthFailed handles a health check without a usable response. The endpoint may be
// cold, so it gets no more requests than a cold one.
func (s *session) healthFailed(view fleet.EndpointView, err error, now time.Time) (cause fleet.ColdCause, reason string) {
	s.log("health_unknown", "endpoint", view.ID, "err", err)
	var notSent *transport.NotSentError
	if errors.As(err, &notSent) {
		s.markUnreachable(view, transport.IsRefusal(err))
		return "", "cannot connect"
	}
	s.edge.health.setUnconfirmed(view, now.Add(unconfirmedFor))
	return fleet.ColdUnconfirmed, ""
}
