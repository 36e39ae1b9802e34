package fleet

import "time"

// EndpointView is what this gateway knows of one endpoint: its entry in the store
// and what this gateway and its peers observed.
type EndpointView struct {
	Endpoint
	Region string
	// UpdatedAt is when the current entry was received.
	UpdatedAt time.Time
	// LeavingSince is when this gateway learned that the endpoint is leaving; zero
	// if it is not.
	LeavingSince time.Time
	// ColdUntil is the end of the endpoint's cold start.
	ColdUntil time.Time
	// HealthColdUntil is the end of the cold start of which the endpoint told in a health
	// response.
	HealthColdUntil time.Time
	// MissingSince is when the entry was found missing after a store outage; zero
	// if it is present.
	MissingSince time.Time
	// AddressTakenAt is when another endpoint last answered at the address.
	AddressTakenAt time.Time
	// UnreachableAt is when a connection to the endpoint last failed: it may have
	// restarted since and be cold.
	UnreachableAt time.Time
	// RefusedAt is when the endpoint last refused a connection, from this gateway or a
	// peer: it was not running then.
	RefusedAt time.Time
	// EvacuationEndedAt is when the evacuation of its data centre ended. The
	// endpoint may be cold and its entry not say so yet.
	EvacuationEndedAt time.Time
}

// detectionHeartbeats is the number of heartbeat intervals within which the entry
// of an endpoint that failed either shows a restart or is gone.
const detectionHeartbeats = 3

// ColdCause says why an endpoint is or may be in its cold start. It is empty for a warm
// endpoint.
type ColdCause string

// The causes.
const (
	// ColdByEntry means that the endpoint's entry says so.
	ColdByEntry ColdCause = "entry"
	// ColdByHealth means that the endpoint said so in a health response.
	ColdByHealth ColdCause = "health"
	// ColdUnconfirmed means that the entry is out of date and the endpoint doesn't respond
	// to a health check.
	ColdUnconfirmed ColdCause = "unconfirmed"
	// ColdRefused means that the endpoint refused a connection, here or at a peer, and may
	// have restarted since.
	ColdRefused ColdCause = "refused"
	// ColdUnreachable means that a connection failed and the endpoint may have restarted.
	ColdUnreachable ColdCause = "unreachable"
	// ColdEvacuated means that its data centre's evacuation ended and no newer entry came.
	ColdEvacuated ColdCause = "evacuated"
)

// ColdCause returns why the endpoint is or may be in its cold start. heartbeatInterval
// is the time between two heartbeats of an endpoint.
func (v *EndpointView) ColdCause(heartbeatInterval time.Duration, now time.Time) ColdCause {
	switch detection := detectionHeartbeats * heartbeatInterval; {
	case now.Before(v.ColdUntil):
		return ColdByEntry
	case now.Before(v.HealthColdUntil):
		return ColdByHealth
	case now.Before(v.RefusedAt.Add(detection)):
		return ColdRefused
	case now.Before(v.UnreachableAt.Add(detection)):
		return ColdUnreachable
	case v.UpdatedAt.Before(v.EvacuationEndedAt) && now.Before(v.EvacuationEndedAt.Add(detection)):
		return ColdEvacuated
	default:
		return ""
	}
}

// IsCold reports whether the endpoint is or may be in its cold start.
func (v *EndpointView) IsCold(heartbeatInterval time.Duration, now time.Time) bool {
	return v.ColdCause(heartbeatInterval, now) != ""
}

// IsAddressTaken reports whether another endpoint recently answered at the address.
func (v *EndpointView) IsAddressTaken(heartbeatInterval time.Duration, now time.Time) bool {
	return now.Before(v.AddressTakenAt.Add(detectionHeartbeats * heartbeatInterval))
}
