package gateway

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/hickorystage/hickorystage/internal/backoff"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	endpointsLeaving = telemetry.NewCounter("endpoints_said_leaving", "endpoints", "endpoints whose responses were the first to say that they are leaving")
	pausesAsked      = telemetry.NewCounter("endpoint_pauses", "responses", "responses by which endpoints asked for a pause")
)

// EndpointSignals acts on what endpoints say of themselves in their responses.
type EndpointSignals struct {
	Membership    *membership.View
	SchedulerData *datastore.Store
	Pauses        *backoff.Tracker[string]
	// OnLeaving is called when an endpoint is found to be leaving, so that the peers learn
	// of it soon.
	OnLeaving func()
	Logger    *log.Logger
}

// Record records what a response of an endpoint's incarnation says of it. err is set if a
// part of it can't be read.
func (e *EndpointSignals) Record(id, incarnation string, s httpmeta.Signals, err error) {
	now := time.Now()
	if err != nil {
		e.Logger.Warn("pause of an endpoint can't be read", "endpoint", id, "err", err)
	}
	if s.Leaving && e.Membership.Retire(id, incarnation, now) {
		endpointsLeaving.Inc()
		e.Logger.Info("endpoint says that it is leaving", "endpoint", id, "incarnation", incarnation)
		e.SchedulerData.MarkLeaving(id, incarnation)
		e.OnLeaving()
	}
	if s.Pause > 0 {
		pausesAsked.Inc()
		taken := e.Pauses.Record(id, incarnation, s.Pause, now)
		e.Logger.Info("endpoint asks for a pause", "endpoint", id, "asked", s.Pause, "taken", taken)
	}
}

// paused returns the endpoints of the groups that get no requests now, since they have
// asked for a pause, and the time until the first of them is back.
func (g *Gateway) paused(groups ...string) (ids map[string]bool, soonest time.Duration) {
	if g.Pauses.IsEmpty() {
		return nil, 0
	}
	now := time.Now()
	isIn := make(map[string]bool, len(groups))
	for _, group := range groups {
		isIn[group] = true
	}
	ids = make(map[string]bool)
	g.Board.Endpoints.Range(func(id string, e blackboard.EndpointState) bool {
		if !isIn[e.Group] || e.Leaving {
			return true
		}
		if remaining := g.Pauses.Remaining(id, e.Incarnation, now); remaining > 0 {
			ids[id] = true
			if soonest == 0 || remaining < soonest {
				soonest = remaining
			}
		}
		return true
	})
	return ids, soonest
}

// withPaused returns the endpoints in tried and those of the groups that have asked for a
// pause. It doesn't modify tried.
func (g *Gateway) withPaused(tried map[string]bool, groups ...string) map[string]bool {
	out, _ := g.paused(groups...)
	if len(out) == 0 {
		return tried
	}
	for id := range tried {
		out[id] = true
	}
	return out
}

// afterPauses returns the error of a request that found no endpoint. If endpoints of the
// groups have asked for a pause, it asks the caller to come back after that.
func (g *Gateway) afterPauses(err error, requestID string, groups ...string) error {
	refusal := failure.AsRefusal(err)
	_, soonest := g.paused(groups...)
	if refusal.Code != failure.CodeNoEndpoint || soonest == 0 {
		return err
	}
	return refusal.WithRetryAfter(max(refusal.RetryAfter, backoff.ReturnAfter(soonest, requestID)))
}
