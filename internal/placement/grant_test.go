package placement

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// coordinated plays the same load as ask, but for the own region: there the
// coordinators of the engines that rank first are asked, which know these as they
// are, with what was granted.
func coordinated(random *rand.Rand, req Request, region string, engines, view []played, now time.Time) bool {
	req.StaleView, req.HashFraction = true, random.Float64()
	all := rankedCandidates(random.Intn(subjects), region, view)
	near := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.Remote })
	slices.SortFunc(near, func(a, b Candidate) int { return compareRanks(b, a) })
	best, soonest := -1, time.Duration(0)
	for n, c := range near[:min(MaxGrantRequests, len(near))] {
		d := grantOf(req, []Candidate{c}, engines, now, GrantLimit(req, tokenTime, n))
		if d.Kind == Serve {
			return playOn(req, &engines[number(d.Candidate)], d.Candidate, now)
		}
		if d.Estimate > 0 && (best < 0 || d.Estimate < soonest) {
			best, soonest = number(c)/engineGroup, d.Estimate
		}
	}
	req.LocalRefused = true
	if d := Decide(req, all); d.Kind == Serve {
		// The gateway there asks its own coordinators.
		req.TimeToObjective -= d.Candidate.RoundTrip
		if d = bestOf(req, d.Candidate.Region, all, engines, now); d.Kind == Serve {
			return playOn(req, &engines[number(d.Candidate)], d.Candidate, now)
		}
	}
	if best >= 0 {
		group := slices.DeleteFunc(near, func(c Candidate) bool { return number(c)/engineGroup != best })
		if d := grantOf(req, group, engines, now, FinalGrantLimit(req)); d.Kind == Serve {
			return playOn(req, &engines[number(d.Candidate)], d.Candidate, now)
		}
	}
	return false
}

// engineGroup is the number of engines of one coordinator.
const engineGroup = 2

func number(c Candidate) int {
	var n int
	_, _ = fmt.Sscan(c.ID, &n)
	return n
}

func compareRanks(a, b Candidate) int {
	if a.Rank < b.Rank {
		return -1
	}
	return 1
}

// rankedCandidates returns the engines as the view shows them.
func rankedCandidates(subject int, region string, view []played) []Candidate {
	out := make([]Candidate, 0, len(view))
	for i := range view {
		c := engine(fmt.Sprint(i))
		c.Rank = xxhash.Sum64String(fmt.Sprint(subject, " ", i))
		c.QueuedPrefill, c.PrefillUtilization = view[i].queued, view[i].use.Seconds()/useTime.Seconds()
		c.Running, c.Region = 1, view[i].region
		if view[i].region != region {
			c.Remote, c.RoundTrip = true, 110*time.Millisecond
		}
		out = append(out, c)
	}
	return out
}

// grantOf is the decision of the coordinator of the given engines.
func grantOf(req Request, own []Candidate, engines []played, now time.Time, within time.Duration) Decision {
	exact := slices.Clone(own)
	for i := range exact {
		c, e := &exact[i], &engines[number(exact[i])]
		e.advance(now)
		c.Remote, c.RoundTrip = false, 0
		c.QueuedPrefill, c.PrefillUtilization = e.queued, e.use.Seconds()/useTime.Seconds()
	}
	req.TimeToDeadline = FinalGrantLimit(req)
	return DecideGrant(req, exact, within)
}

// bestOf asks the first coordinators of another region.
func bestOf(req Request, region string, all []Candidate, engines []played, now time.Time) Decision {
	there := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.Region != region })
	slices.SortFunc(there, func(a, b Candidate) int { return compareRanks(b, a) })
	var d Decision
	for n, c := range there[:min(MaxGrantRequests, len(there))] {
		if d = grantOf(req, []Candidate{c}, engines, now, GrantLimit(req, tokenTime, n)); d.Kind == Serve {
			d.Candidate.Remote, d.Candidate.RoundTrip = true, 110*time.Millisecond
			return d
		}
	}
	return d
}

// playOn gives an engine the request and says whether it is answered in time.
func playOn(req Request, e *played, c Candidate, now time.Time) bool {
	e.advance(now)
	c.QueuedPrefill = e.queued
	e.queued += readTime(req, &c)
	e.use += readTime(req, &c)
	return estimate(req, &c) <= req.TimeToObjective
}

// TestCoordinatorsServeMoreOfAPeak plays two regions at and above what they can
// read beside one with time to spare. What callers get is compared with gateways
// that choose by the late view alone.
func TestCoordinatorsServeMoreOfAPeak(t *testing.T) {
	for _, demands := range [][]demand{
		{{"north", 28, 0.85}},
		{{"north", 28, 1.2}, {"south", 28, 0.3}},
		{{"north", 28, 1.3}, {"south", 28, 1.3}, {"west", 8, 0.4}},
	} {
		view, granted := late(t, true, demands...), lateBy(t, coordinated, demands...)
		t.Logf("%v: late or refused by late view %v, by coordinators %v", demands, view, granted)
		var before, after float64
		for _, d := range demands {
			before += view[d.region] * d.share * float64(d.engines)
			after += granted[d.region] * d.share * float64(d.engines)
		}
		require.Less(t, after, before)
	}
}

// TestASmallRegionIsNotFloodedThroughCoordinators is the same bound as that of
// TestASmallRegionIsNotFlooded.
func TestASmallRegionIsNotFloodedThroughCoordinators(t *testing.T) {
	small := lateBy(t, coordinated, demand{"north", 28, 1.3}, demand{"south", 28, 1.3}, demand{"west", 8, 0.4})
	t.Logf("late or refused: %v", small)
	require.Less(t, small["west"], 0.1)
}

func TestLongPromptsMayTakeTheirOwnReading(t *testing.T) {
	long := Request{PromptTokens: 40_000, TimeToObjective: 1200 * time.Millisecond, TimeToDeadline: 12 * time.Second}
	short := Request{PromptTokens: 100, TimeToObjective: 1200 * time.Millisecond, TimeToDeadline: 12 * time.Second}
	read := time.Duration(long.PromptTokens) * tokenTime
	require.Greater(t, GrantLimit(long, tokenTime, 0), read)
	require.Less(t, GrantLimit(short, tokenTime, 0), 700*time.Millisecond)
	require.Less(t, GrantLimit(short, tokenTime, 1), GrantLimit(short, tokenTime, 0))
	require.Equal(t, long.TimeToObjective, FinalGrantLimit(long))
	begun := long
	begun.ResponseStarted = true
	require.Equal(t, long.TimeToDeadline, FinalGrantLimit(begun), "what has begun is not given up")
}

// TestAPromptWaitsForItsParts checks that an engine that holds the parts takes a
// request with a wait at which another one doesn't.
func TestAPromptWaitsForItsParts(t *testing.T) {
	req := Request{PromptTokens: 10_000, SharedTokens: 5_000, TimeToObjective: 1200 * time.Millisecond, TimeToDeadline: 12 * time.Second}
	c := engine("e")
	c.Running, c.QueuedPrefill = 1, 400*time.Millisecond
	within := 500 * time.Millisecond
	d := DecideGrant(req, []Candidate{c}, within)
	require.Equal(t, Refuse, d.Kind)
	require.Greater(t, d.Estimate, within, "who asks learns how long it would take")
	c.CachedTokens = 5_000
	require.Equal(t, Serve, DecideGrant(req, []Candidate{c}, within).Kind)
	c.QueuedPrefill = 2 * time.Second
	require.Equal(t, Refuse, DecideGrant(req, []Candidate{c}, within).Kind)
}

// TestLongPromptsAreNotShutOut checks that a prompt several times as long as
// others is taken by an engine that is as busy as those that take the others.
func TestLongPromptsAreNotShutOut(t *testing.T) {
	c := engine("e")
	c.Running, c.PrefillUtilization = 1, 0.6
	long := Request{PromptTokens: 50_000, Priority: 1, TimeToObjective: 1200 * time.Millisecond, TimeToDeadline: 12 * time.Second}
	require.Equal(t, Serve, Decide(long, []Candidate{c}).Kind)
	c.PrefillUtilization = 0.75
	require.Equal(t, Refuse, Decide(long, []Candidate{c}).Kind)
}
