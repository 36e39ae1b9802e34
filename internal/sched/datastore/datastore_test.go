package datastore_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newStore returns a store of region r1 with n endpoints e0.. in group g that
// have reported no load.
func newStore(n int) *datastore.Store {
	s := datastore.New(datastore.Options{Region: "r1", Health: datastore.DefaultHealthOptions()})
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		s.Upsert(datastore.Member{ID: id, Incarnation: "1", Group: "g", Region: "r1"}, start)
		s.Apply(id, blackboard.LoadReport{At: start, PrefillRate: 8000, DecodeRate: 30, MaxBatch: 32}, start)
	}
	return s
}

func request() *sched.Request {
	return &sched.Request{
		ID: "q", Model: "m", Groups: []string{"g"}, PromptTokens: 1000, OutputTokens: 100,
		PermittedRegions: map[string]bool{"r1": true}, MovesLeft: 1,
	}
}

func TestFailingEndpointIsEjectedAndReturnsSlowly(t *testing.T) {
	s := newStore(2)
	sc := sched.New(sched.DefaultOptions())
	now := start
	for i := range 3 {
		id := fmt.Sprintf("q%d", i)
		s.Sent("e0", id, 10, nil, now)
		s.Done("e0", id, datastore.Silent, now)
	}
	for rnd := range uint64(100) {
		require.Equal(t, "e1", sc.Decide(request(), s.View(now), rnd).Endpoint)
	}
	now = now.Add(6 * time.Second)
	s.Tick(now)
	share := 0
	for rnd := range uint64(1000) {
		if sc.Decide(request(), s.View(now), rnd).Endpoint == "e0" {
			share++
		}
	}
	require.Positive(t, share)
	require.Less(t, share, 100)
}

func TestLastEndpointStaysUsable(t *testing.T) {
	s := newStore(1)
	sc := sched.New(sched.DefaultOptions())
	for i := range 10 {
		id := fmt.Sprintf("q%d", i)
		s.Sent("e0", id, 10, nil, start)
		s.Done("e0", id, datastore.FailedDial, start)
	}
	require.Equal(t, "e0", sc.Decide(request(), s.View(start), 1).Endpoint)
}

func TestLeavingIsLiftedOnlyByAnotherIncarnation(t *testing.T) {
	s := newStore(2)
	sc := sched.New(sched.DefaultOptions())
	s.MarkLeaving("e0")
	s.Upsert(datastore.Member{ID: "e0", Incarnation: "1", Group: "g", Region: "r1"}, start)
	for rnd := range uint64(50) {
		require.Equal(t, "e1", sc.Decide(request(), s.View(start), rnd).Endpoint)
	}
	s.Upsert(datastore.Member{ID: "e0", Incarnation: "2", Group: "g", Region: "r1"}, start)
	s.MarkLeaving("e1")
	require.Equal(t, "e0", sc.Decide(request(), s.View(start), 1).Endpoint)
}

func TestSentWorkCountsUntilAReportHasIt(t *testing.T) {
	s := newStore(2)
	sc := sched.New(sched.DefaultOptions())
	s.Sent("e0", "a", 8000, nil, start.Add(time.Millisecond))
	now := start.Add(2 * time.Millisecond)
	require.Equal(t, "e1", sc.Decide(request(), s.View(now), 3).Endpoint)
	stale := blackboard.LoadReport{At: start, PrefillRate: 8000, DecodeRate: 30, MaxBatch: 32}
	s.Apply("e0", stale, now)
	require.Equal(t, "e1", sc.Decide(request(), s.View(now), 3).Endpoint, "a report from before the request doesn't undo it")
}

func TestPrefixIsFollowed(t *testing.T) {
	s := newStore(8)
	sc := sched.New(sched.DefaultOptions())
	prompt := make([]byte, 20000)
	for i := range prompt {
		prompt[i] = byte(i * i >> 3)
	}
	req := request()
	req.PromptTokens, req.Prefix = sched.EstimateTokens(len(prompt)), sched.PrefixHashes(prompt)
	d := sc.Decide(req, s.View(start), 1)
	s.Sent(d.Endpoint, "a", req.PromptTokens, req.Prefix, start)
	now := start.Add(5 * time.Second)
	for rnd := range uint64(50) {
		require.Equal(t, d.Endpoint, sc.Decide(req, s.View(now), rnd).Endpoint)
	}
}
