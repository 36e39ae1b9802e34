package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/pace"
)

// TestCausesOfWindows checks what in the view of an endpoint begins a window, and that each
// sign does so once.
func TestCausesOfWindows(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	view := func(incarnation int64) fleet.EndpointView {
		return fleet.EndpointView{Endpoint: fleet.Endpoint{ID: "e", Incarnation: incarnation, Service: "s"}}
	}
	newPacingOf := func() *pacing {
		p := newPacing(pace.New())
		cause, ok := p.observe(view(1), false, true, start)
		require.False(t, ok, "first look: %s", cause)
		return p
	}
	refused, unreachable, evacuated, cold := view(1), view(1), view(1), view(7)
	refused.RefusedAt = at(3 * time.Second)
	unreachable.UnreachableAt = at(3 * time.Second)
	evacuated.EvacuationEndedAt = at(3 * time.Second)
	cold.ColdRemaining = time.Minute
	other := view(1)
	other.ID = "other"
	for name, c := range map[string]struct {
		view   fleet.EndpointView
		isHeld bool
		want   pace.Cause
	}{
		"nothing new":           {view(1), false, ""},
		"an older incarnation":  {view(0), false, ""},
		"restarted":             {view(2), false, pace.Started},
		"first seen":            {other, false, pace.Started},
		"restarted and cold":    {cold, true, pace.Started},
		"cold without restart":  {view(1), true, pace.Started},
		"refused a connection":  {refused, false, pace.Recovered},
		"refused, maybe cold":   {refused, true, pace.Recovered},
		"was unreachable":       {unreachable, false, pace.Recovered},
		"data centre back":      {evacuated, false, pace.Returned},
		"data centre back cold": {evacuated, true, pace.Returned},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPacingOf()
			if c.isHeld {
				_, ok := p.observe(c.view, true, true, at(4*time.Second))
				require.False(t, ok, "the limit of a cold endpoint goes first")
			}
			cause, ok := p.observe(c.view, false, true, at(5*time.Second))
			require.Equal(t, c.want, cause)
			require.Equal(t, c.want != "", ok)
			_, ok = p.observe(c.view, false, true, at(6*time.Second))
			require.False(t, ok, "once")
		})
	}
}

// TestStartingGatewayPacesNobody guards against a gateway that takes all endpoints for new
// since it has just started itself, and against signs that are long past.
func TestStartingGatewayPacesNobody(t *testing.T) {
	now := time.Now()
	observe := func(p *pacing, id string, isSettled bool, now time.Time) bool {
		_, ok := p.observe(fleet.EndpointView{
			Endpoint:  fleet.Endpoint{ID: id, Service: "s"},
			RefusedAt: now.Add(-markTime), EvacuationEndedAt: now.Add(-markTime),
		}, false, isSettled, now)
		return ok
	}
	p := newPacing(pace.New())
	require.False(t, observe(p, "a", false, now))
	require.False(t, observe(p, "b", true, now.Add(time.Second)))
	require.True(t, observe(p, "c", true, now.Add(firstLookTime)))
}

// TestRequestsInFlightAreCountedByIncarnation guards against requests to an incarnation that
// has ended taking the room of the next one, or giving it room when they end.
func TestRequestsInFlightAreCountedByIncarnation(t *testing.T) {
	p, now := newPacing(pace.New()), time.Now()
	view := fleet.EndpointView{Endpoint: fleet.Endpoint{ID: "e", Incarnation: 1, Service: "s"}}
	p.observe(view, false, true, now)
	p.begin("e", 1)
	p.begin("e", 1)
	require.Equal(t, 2, p.inFlight("e", 1))
	view.Incarnation = 2
	p.observe(view, false, true, now)
	require.Zero(t, p.inFlight("e", 2))
	p.begin("e", 2)
	p.end("e", 1)
	p.end("e", 1)
	require.Equal(t, 1, p.inFlight("e", 2))
	p.forget("e")
	p.end("e", 2)
	require.Zero(t, p.inFlight("e", 2))
}
