package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// prefillPerToken is the prefill time per token of the engines in these tests.
const prefillPerToken = 20 * time.Microsecond

// idleEngine returns an idle engine of the local region.
func idleEngine(id string) Candidate {
	return Candidate{ID: id, Slots: 64, KVCapacity: 400_000, PrefillTimePerToken: prefillPerToken, ServiceTime: 20 * time.Millisecond}
}

// longRequest returns a request with a long prompt, almost half of which is a
// shared prefix.
func longRequest() Request {
	return Request{PromptTokens: 12_000, SharedTokens: 5_400, OutputTokens: 400, Priority: 1, TimeToObjective: 1200 * time.Millisecond, TimeToDeadline: 12 * time.Second}
}

// shortRequest returns a request of the highest priority with a short prompt.
func shortRequest() Request {
	return Request{PromptTokens: 2_400, SharedTokens: 600, OutputTokens: 30, TimeToObjective: 800 * time.Millisecond, TimeToDeadline: 3 * time.Second}
}

func decide(t *testing.T, req Request, candidates ...Candidate) Decision {
	t.Helper()
	return Decide(req, candidates)
}

func TestDecideWithoutCandidatesRefuses(t *testing.T) {
	d := decide(t, shortRequest())
	require.Equal(t, Refuse, d.Kind)
	require.Equal(t, NoEndpoint, d.Reason)
	require.Positive(t, d.RetryAfter)
}

func TestCachedPrefixOutweighsShortWait(t *testing.T) {
	cached, idle := idleEngine("cached"), idleEngine("idle")
	cached.CachedTokens = 5_400
	cached.QueuedPrefill = 150 * time.Millisecond
	cached.Waiting = 1
	require.Equal(t, "cached", decide(t, longRequest(), idle, cached).Candidate.ID)
	cached.QueuedPrefill = 1100 * time.Millisecond
	require.Equal(t, "idle", decide(t, longRequest(), idle, cached).Candidate.ID, "the response would miss its objective")
}

func TestPrefixHomeIsPreferredBeforePrefixIsCached(t *testing.T) {
	home, other := idleEngine("home"), idleEngine("other")
	home.IsPrefixHome = true
	home.QueuedPrefill = 60 * time.Millisecond
	require.Equal(t, "home", decide(t, longRequest(), other, home).Candidate.ID)
	home.QueuedPrefill = 700 * time.Millisecond
	require.Equal(t, "other", decide(t, longRequest(), other, home).Candidate.ID)
}

func TestRemoteRegionIsUsedOnlyWhenFaster(t *testing.T) {
	local, remote := idleEngine("local"), idleEngine("remote")
	remote.Remote, remote.RoundTrip = true, 110*time.Millisecond
	require.Equal(t, "local", decide(t, shortRequest(), remote, local).Candidate.ID)
	local.QueuedPrefill = 650 * time.Millisecond
	require.Equal(t, "remote", decide(t, shortRequest(), remote, local).Candidate.ID)
	remote.RoundTrip = 900 * time.Millisecond
	require.Equal(t, "local", decide(t, shortRequest(), remote, local).Candidate.ID)
}

// TestPrefillLeavesTimeForGeneration guards against an engine taking one more
// prompt that it could start in time, but that would make its responses in
// flight miss their deadlines.
func TestPrefillLeavesTimeForGeneration(t *testing.T) {
	busy := idleEngine("busy")
	busy.Running, busy.PrefillUtilization = 20, 0.85
	d := decide(t, longRequest(), busy)
	require.Equal(t, Refuse, d.Kind)
	require.Positive(t, d.RetryAfter)
	require.Equal(t, Serve, decide(t, shortRequest(), busy).Kind, "higher priorities have a higher limit")
	started := longRequest()
	started.ResponseStarted = true
	require.Equal(t, Serve, decide(t, started, busy).Kind, "a started response is always continued")
	busy.Running = 0
	require.Equal(t, Serve, decide(t, longRequest(), busy).Kind, "no other request is slowed down")
}

func TestFullEndpointsAreSkipped(t *testing.T) {
	full, free := idleEngine("full"), idleEngine("free")
	full.Running, full.Waiting = 64, 32
	free.Running = 40
	require.Equal(t, "free", decide(t, shortRequest(), full, free).Candidate.ID)
	d := decide(t, shortRequest(), full)
	require.Equal(t, Full, d.Reason)
	big := idleEngine("big")
	big.KVTokens = 350_000
	require.Equal(t, Refuse, decide(t, longRequest(), big).Kind, "the KV cache is too small")
}

func TestRequestPastDeadlineIsRefused(t *testing.T) {
	slow := idleEngine("slow")
	slow.QueuedPrefill = 4 * time.Second
	d := decide(t, shortRequest(), slow)
	require.Equal(t, Refuse, d.Kind)
	require.Equal(t, TooLate, d.Reason)
	require.Greater(t, d.RetryAfter, time.Second, "the retry delay says when the request may be served in time")
}

func TestPlainServicePlacement(t *testing.T) {
	req := Request{TimeToObjective: 300 * time.Millisecond, TimeToDeadline: 3 * time.Second}
	local := Candidate{ID: "local", Slots: 6, ServiceTime: 15 * time.Millisecond}
	remote := Candidate{ID: "remote", Slots: 6, ServiceTime: 15 * time.Millisecond, Remote: true, RoundTrip: 110 * time.Millisecond}
	require.Equal(t, "local", decide(t, req, remote, local).Candidate.ID)
	local.Running = 6
	require.Equal(t, "local", decide(t, req, remote, local).Candidate.ID, "a short local queue is faster than another region")
	local.Running, local.Waiting = 6, 3
	require.Equal(t, Full, decide(t, req, local).Reason)
	require.Equal(t, "remote", decide(t, req, remote, local).Candidate.ID)
}

// TestFailuresOfAllEndpointsAreIgnored checks that requests which fail at every
// endpoint at a similar rate don't divert traffic, while one endpoint that
// fails far more often does.
func TestFailuresOfAllEndpointsAreIgnored(t *testing.T) {
	local := Candidate{ID: "local", Slots: 6, ServiceTime: 15 * time.Millisecond, FailureRate: 0.2}
	remote := Candidate{ID: "remote", Slots: 6, ServiceTime: 15 * time.Millisecond, FailureRate: 0.14, Remote: true, RoundTrip: 110 * time.Millisecond}
	req := Request{TimeToObjective: 300 * time.Millisecond, TimeToDeadline: 3 * time.Second}
	require.Equal(t, "local", decide(t, req, remote, local).Candidate.ID)
	local.FailureRate = 0.6
	require.Equal(t, "remote", decide(t, req, remote, local).Candidate.ID)
}

func TestTiesAreBrokenByRank(t *testing.T) {
	a, b := idleEngine("a"), idleEngine("b")
	a.Rank = 1
	require.Equal(t, "a", decide(t, shortRequest(), a, b).Candidate.ID)
	b.Rank = 2
	require.Equal(t, "b", decide(t, shortRequest(), a, b).Candidate.ID)
}

// TestLongRequestsGoWhereRequestsAreLimited guards against short requests that use up what
// an endpoint takes, so that long ones fill the others.
func TestLongRequestsGoWhereRequestsAreLimited(t *testing.T) {
	limited, other := idleEngine("limited"), idleEngine("other")
	limited.Limited = true
	limited.MeanPrefill = 80 * time.Millisecond
	require.Equal(t, "limited", decide(t, longRequest(), other, limited).Candidate.ID)
	require.Equal(t, "other", decide(t, shortRequest(), other, limited).Candidate.ID)
	other.QueuedPrefill = 400 * time.Millisecond
	require.Equal(t, "limited", decide(t, shortRequest(), other, limited).Candidate.ID, "the other one is busy")
}

func TestLimitedEndpointIsNoPrefixHome(t *testing.T) {
	limited, other := idleEngine("limited"), idleEngine("other")
	limited.Limited, limited.Rank = true, 2
	other.Rank = 1
	require.True(t, other.IsBetterHome(&limited))
	require.False(t, limited.IsBetterHome(&other))
	other.Limited = true
	require.True(t, limited.IsBetterHome(&other))
}
