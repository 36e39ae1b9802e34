package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorystage/hickorystage/internal/sched"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drawEndpoint(t *rapid.T, i int) *sched.Endpoint {
	return &sched.Endpoint{
		ID: fmt.Sprintf("e%d", i), Group: "g", Region: "r1", Ordinal: i,
		Leaving:       rapid.IntRange(0, 3).Draw(t, "leaving") == 0,
		Health:        sched.Health(rapid.IntRange(0, 2).Draw(t, "health")),
		RecoveryShare: rapid.Float64Range(0, 1).Draw(t, "recovery share"),
		ReportAt:      now, BacklogAt: now, PrefillRate: 8000, DecodeRate: 30, MaxBatch: 32,
		BacklogTokens: rapid.Float64Range(0, 50000).Draw(t, "backlog"),
		Running:       rapid.IntRange(0, 40).Draw(t, "running"),
		MaxConcurrent: rapid.SampledFrom([]int{0, 36}).Draw(t, "max concurrent"),
		Preferred:     rapid.Bool().Draw(t, "preferred"),
	}
}

func drawView(t *rapid.T) *sched.View {
	gv := &sched.GroupView{}
	for i := range rapid.IntRange(0, 6).Draw(t, "endpoints") {
		gv.Endpoints = append(gv.Endpoints, sched.NewEndpointRef(drawEndpoint(t, i)))
	}
	v := &sched.View{
		Now: now, Region: "r1", Groups: map[string]*sched.GroupView{"g": gv}, Regions: make(map[string]*sched.RegionView), Gateways: 2,
		Policy:       sched.RoutingPolicy{TailLatencyWeight: 1, ForwardWeight: 1, ForwardMargin: 50 * time.Millisecond, MaxForwardShare: 0.5},
		ForwardShare: rapid.Float64Range(0, 1).Draw(t, "forward share"),
	}
	for _, name := range []string{"r2", "r3"} {
		v.Regions[name] = &sched.RegionView{
			Region: name, SummaryReceivedAt: now.Add(-time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) * time.Second), RecoveryShare: 1,
			Link:   sched.Link{OneWayDelay: 55 * time.Millisecond, BytesPerSecond: 1e7},
			Groups: map[string]sched.GroupSummary{"g": {Endpoints: rapid.IntRange(0, 3).Draw(t, "remote"), FreeSlots: 20, PrefillRate: 24000}},
		}
	}
	return v
}

func drawRequest(t *rapid.T) *sched.Request {
	req := &sched.Request{
		ID: "q", Groups: []string{"g"}, PromptTokens: rapid.IntRange(1, 9000).Draw(t, "prompt"), OutputTokens: 50,
		Priority: rapid.IntRange(0, 9).Draw(t, "priority"), ForwardsLeft: rapid.IntRange(0, 1).Draw(t, "forwards left"),
		TimeToDeadline:   time.Duration(rapid.IntRange(0, 20).Draw(t, "remaining")) * time.Second,
		PermittedRegions: make(map[string]bool), ExcludedEndpoints: make(map[string]bool),
	}
	for _, r := range []string{"r1", "r2", "r3"} {
		req.PermittedRegions[r] = rapid.Bool().Draw(t, "permitted")
	}
	for i := range 6 {
		req.ExcludedEndpoints[fmt.Sprintf("e%d", i)] = rapid.IntRange(0, 4).Draw(t, "excluded") == 0
	}
	return req
}

func TestDecisionIsRepeatableAndPermitted(t *testing.T) {
	s := sched.New(sched.DefaultOptions())
	rapid.Check(t, func(t *rapid.T) {
		v, req := drawView(t), drawRequest(t)
		rnd := rapid.Uint64().Draw(t, "rnd")
		d := s.Decide(req, v, rnd)
		require.Equal(t, d, s.Decide(req, v, rnd), "equal inputs give equal decisions")
		switch d.Kind {
		case sched.Forward:
			require.True(t, req.PermittedRegions[d.Region])
			require.NotEqual(t, v.Region, d.Region)
			require.Positive(t, req.ForwardsLeft)
			require.LessOrEqual(t, now.Sub(v.Regions[d.Region].SummaryReceivedAt), 5*time.Second)
		case sched.Serve:
			require.True(t, req.PermittedRegions[v.Region])
			requireEligible(t, v, req, d.Endpoint)
		}
	})
}

// requireEligible checks that the chosen endpoint is not leaving, excluded or at its
// concurrency limit, and not ejected unless every other usable endpoint is too.
func requireEligible(t *rapid.T, v *sched.View, req *sched.Request, id string) {
	healthy := false
	var picked *sched.Endpoint
	for _, slot := range v.Groups["g"].Endpoints {
		e := slot.Load()
		if e.ID == id {
			picked = e
		}
		if !e.Leaving && !req.ExcludedEndpoints[e.ID] && e.Health != sched.Ejected {
			healthy = true
		}
	}
	require.NotNil(t, picked)
	require.False(t, picked.Leaving)
	require.False(t, req.ExcludedEndpoints[id])
	require.True(t, picked.MaxConcurrent == 0 || picked.Occupancy() < picked.MaxConcurrent)
	if healthy {
		require.NotEqual(t, sched.Ejected, picked.Health)
	}
}

func TestForwardsOnlyForGainBeyondMarginWithinBudgets(t *testing.T) {
	s := sched.New(sched.DefaultOptions())
	busy := &sched.Endpoint{ID: "e0", Group: "g", ReportAt: now, BacklogAt: now, PrefillRate: 8000, DecodeRate: 30, MaxBatch: 32, Preferred: true}
	v := &sched.View{
		Now: now, Region: "r1", Groups: map[string]*sched.GroupView{"g": {Endpoints: []*sched.EndpointRef{sched.NewEndpointRef(busy)}}}, Gateways: 1,
		Policy: sched.RoutingPolicy{TailLatencyWeight: 1, ForwardMargin: 300 * time.Millisecond, MaxForwardShare: 0.5, MaxLinkShare: 0.5},
		Regions: map[string]*sched.RegionView{"r2": {
			Region: "r2", SummaryReceivedAt: now, RecoveryShare: 1, Link: sched.Link{OneWayDelay: 55 * time.Millisecond, BytesPerSecond: 1e7},
			Groups: map[string]sched.GroupSummary{"g": {Endpoints: 2, FreeSlots: 20, PrefillRate: 16000}},
		}},
	}
	req := &sched.Request{Groups: []string{"g"}, PromptTokens: 100, ForwardsLeft: 1, PermittedRegions: map[string]bool{"r1": true, "r2": true}}
	decide := func(backlog float64, change func(v *sched.View)) sched.Decision {
		e, w, r := *busy, *v, *v.Regions["r2"]
		e.BacklogTokens = backlog
		w.Groups = map[string]*sched.GroupView{"g": {Endpoints: []*sched.EndpointRef{sched.NewEndpointRef(&e)}}}
		w.Regions = map[string]*sched.RegionView{"r2": &r}
		change(&w)
		return s.Decide(req, &w, 1)
	}
	unchanged := func(*sched.View) {}
	require.Equal(t, sched.Serve, decide(2400, unchanged).Kind, "0.3 s of backlog: the gain is below the margin")
	require.Equal(t, sched.Forward, decide(8000, unchanged).Kind, "1 s of backlog")
	require.Equal(t, sched.Forward, decide(2400, func(v *sched.View) { v.Regions["r2"].RecentlyUsed = true }).Kind, "the margin is lower for a recently used region")
	for name, change := range map[string]func(v *sched.View){
		"forwarding budget spent": func(v *sched.View) { v.ForwardShare = 0.6 },
		"link budget spent":       func(v *sched.View) { v.Regions["r2"].LinkBytesPerSecond = 6e6 },
		"stale summary":           func(v *sched.View) { v.Regions["r2"].SummaryReceivedAt = now.Add(-6 * time.Second) },
		"high forwarding weight":  func(v *sched.View) { v.Policy.ForwardWeight = 9 },
		"no free slots":           func(v *sched.View) { v.Regions["r2"].ForwardedSinceSummary = 20 },
		"recovering":              func(v *sched.View) { v.Regions["r2"].RecoveryShare = 0 },
	} {
		require.Equal(t, sched.Serve, decide(8000, change).Kind, name)
	}
}

func TestPrefixHashesCoverPromptUpToTheirBlock(t *testing.T) {
	a, b := make([]byte, 1024), make([]byte, 1024)
	b[300] = 1
	ha, hb := sched.PrefixHashes(a), sched.PrefixHashes(b)
	require.Len(t, ha, 4)
	require.Equal(t, ha[0], hb[0])
	for i := 1; i < 4; i++ {
		require.NotEqual(t, ha[i], hb[i])
	}
}

func TestSlotsAreReservedForHigherPriorities(t *testing.T) {
	s := sched.New(sched.DefaultOptions())
	for _, c := range []struct {
		running, priority int
		want              sched.Kind
	}{{31, 9, sched.Serve}, {32, 9, sched.Wait}, {23, 0, sched.Serve}, {24, 0, sched.Wait}, {24, 9, sched.Serve}} {
		e := &sched.Endpoint{ID: "e0", Group: "g", ReportAt: now, PrefillRate: 8000, Running: c.running, MaxConcurrent: 32, MaxBatch: 64}
		v := &sched.View{Now: now, Region: "r1", Groups: map[string]*sched.GroupView{"g": {Endpoints: []*sched.EndpointRef{sched.NewEndpointRef(e)}}}}
		req := &sched.Request{Groups: []string{"g"}, PromptTokens: 10, Priority: c.priority, PermittedRegions: map[string]bool{"r1": true}}
		require.Equal(t, c.want, s.Decide(req, v, 1).Kind, "%+v", c)
	}
}
