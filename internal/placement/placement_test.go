package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tokenTime is what an engine of these tests takes to read one token.
const tokenTime = 20 * time.Microsecond

// engine returns an idle engine of this region.
func engine(id string) Candidate {
	return Candidate{ID: id, Slots: 64, KVCapacity: 400_000, PrefillTimePerToken: tokenTime, ServiceTime: 20 * time.Millisecond}
}

// consultation is a long prompt most of which others share.
func consultation() Request {
	return Request{PromptTokens: 12_000, SharedTokens: 5_400, OutputTokens: 400, Priority: 1, TimeToObjective: 1200 * time.Millisecond, TimeToDeadline: 12 * time.Second}
}

// question is a short, urgent prompt.
func question() Request {
	return Request{PromptTokens: 2_400, SharedTokens: 600, OutputTokens: 30, TimeToObjective: 800 * time.Millisecond, TimeToDeadline: 3 * time.Second}
}

func place(t *testing.T, req Request, candidates ...Candidate) Decision {
	t.Helper()
	return Decide(req, candidates)
}

func TestNoCandidateIsRefusedAtOnce(t *testing.T) {
	d := place(t, question())
	require.Equal(t, Refuse, d.Kind)
	require.Equal(t, NoEndpoint, d.Reason)
	require.Positive(t, d.RetryAfter)
}

func TestKeptPartsOutweighAShortWait(t *testing.T) {
	warm, idle := engine("warm"), engine("idle")
	warm.CachedTokens = 5_400
	warm.QueuedPrefill = 150 * time.Millisecond
	warm.Waiting = 1
	require.Equal(t, "warm", place(t, consultation(), idle, warm).Candidate.ID)
	warm.QueuedPrefill = 1100 * time.Millisecond
	require.Equal(t, "idle", place(t, consultation(), idle, warm).Candidate.ID, "the answer would be late")
}

func TestPromptsMeetAtHomeBeforeAnyoneHoldsTheirParts(t *testing.T) {
	home, other := engine("home"), engine("other")
	home.IsPrefixHome = true
	home.QueuedPrefill = 60 * time.Millisecond
	require.Equal(t, "home", place(t, consultation(), other, home).Candidate.ID)
	home.QueuedPrefill = 700 * time.Millisecond
	require.Equal(t, "other", place(t, consultation(), other, home).Candidate.ID)
}

func TestOtherRegionsHelpOnlyWhenItPays(t *testing.T) {
	near, far := engine("near"), engine("far")
	far.Remote, far.RoundTrip = true, 110*time.Millisecond
	require.Equal(t, "near", place(t, question(), far, near).Candidate.ID)
	near.QueuedPrefill = 650 * time.Millisecond
	require.Equal(t, "far", place(t, question(), far, near).Candidate.ID)
	far.RoundTrip = 900 * time.Millisecond
	require.Equal(t, "near", place(t, question(), far, near).Candidate.ID)
}

// TestReadingLeavesTimeForGenerating plays an engine that could take one more
// prompt in time, but whose streams would then run into their deadlines.
func TestReadingLeavesTimeForGenerating(t *testing.T) {
	busy := engine("busy")
	busy.Running, busy.PrefillUtilization = 20, 0.85
	d := place(t, consultation(), busy)
	require.Equal(t, Refuse, d.Kind)
	require.Positive(t, d.RetryAfter)
	require.Equal(t, Serve, place(t, question(), busy).Kind, "more urgent requests go further")
	begun := consultation()
	begun.ResponseStarted = true
	require.Equal(t, Serve, place(t, begun, busy).Kind, "the rest of a begun stream goes before all")
	busy.Running = 0
	require.Equal(t, Serve, place(t, consultation(), busy).Kind, "nobody is slowed down")
}

func TestFullEndpointsAreLeftOut(t *testing.T) {
	full, free := engine("full"), engine("free")
	full.Running, full.Waiting = 64, 32
	free.Running = 40
	require.Equal(t, "free", place(t, question(), full, free).Candidate.ID)
	d := place(t, question(), full)
	require.Equal(t, Full, d.Reason)
	big := engine("big")
	big.KVTokens = 350_000
	require.Equal(t, Refuse, place(t, consultation(), big).Kind, "the memory would not do")
}

func TestWhatCannotBeInTimeIsRefused(t *testing.T) {
	slow := engine("slow")
	slow.QueuedPrefill = 4 * time.Second
	d := place(t, question(), slow)
	require.Equal(t, Refuse, d.Kind)
	require.Equal(t, TooLate, d.Reason)
	require.Greater(t, d.RetryAfter, time.Second, "callers are told when it may be in time")
}

func TestPlainServices(t *testing.T) {
	req := Request{TimeToObjective: 300 * time.Millisecond, TimeToDeadline: 3 * time.Second}
	near := Candidate{ID: "near", Slots: 6, ServiceTime: 15 * time.Millisecond}
	far := Candidate{ID: "far", Slots: 6, ServiceTime: 15 * time.Millisecond, Remote: true, RoundTrip: 110 * time.Millisecond}
	require.Equal(t, "near", place(t, req, far, near).Candidate.ID)
	near.Running = 6
	require.Equal(t, "near", place(t, req, far, near).Candidate.ID, "a short queue is nearer than another region")
	near.Running, near.Waiting = 6, 3
	require.Equal(t, Full, place(t, req, near).Reason)
	require.Equal(t, "far", place(t, req, far, near).Candidate.ID)
}

// TestFailuresEverywhereSpeakAgainstNoOne plays requests of which some fail at
// every endpoint, and one endpoint that fails far more.
func TestFailuresEverywhereSpeakAgainstNoOne(t *testing.T) {
	near := Candidate{ID: "near", Slots: 6, ServiceTime: 15 * time.Millisecond, FailureRate: 0.2}
	far := Candidate{ID: "far", Slots: 6, ServiceTime: 15 * time.Millisecond, FailureRate: 0.14, Remote: true, RoundTrip: 110 * time.Millisecond}
	req := Request{TimeToObjective: 300 * time.Millisecond, TimeToDeadline: 3 * time.Second}
	require.Equal(t, "near", place(t, req, far, near).Candidate.ID)
	near.FailureRate = 0.6
	require.Equal(t, "far", place(t, req, far, near).Candidate.ID)
}

func TestTiesDependOnTheRequest(t *testing.T) {
	a, b := engine("a"), engine("b")
	a.Rank = 1
	require.Equal(t, "a", place(t, question(), a, b).Candidate.ID)
	b.Rank = 2
	require.Equal(t, "b", place(t, question(), a, b).Candidate.ID)
}
