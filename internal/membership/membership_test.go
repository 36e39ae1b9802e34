package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/peer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newView(id string) *View {
	return New(blackboard.New(blackboard.Self{ID: id, Incarnation: id + "-1", Region: "tuul"}))
}

func endpoint(incarnation string, leaving bool, at time.Time) blackboard.EndpointState {
	return blackboard.EndpointState{ID: "e1", Incarnation: incarnation, Group: "planner", Region: "tuul", Leaving: leaving, LastListed: at}
}

// TestLeavingMarkIsLiftedOnlyByAnotherIncarnation applies random updates of one
// endpoint, stale and repeated ones included, and checks the leaving mark after
// each.
func TestLeavingMarkIsLiftedOnlyByAnotherIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView("gw1")
		left := map[string]bool{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			now = now.Add(time.Second)
			incarnation := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "incarnation")
			leaving := rapid.Float64Range(0, 1).Draw(t, "leaving") < 0.2
			switch rapid.SampledFrom([]string{"list", "report", "peer"}).Draw(t, "source") {
			case "list":
				old, had := v.board.Endpoints.Get("e1")
				v.ApplyEndpoint(endpoint(incarnation, leaving, now))
				if had && old.Incarnation != incarnation && !left[incarnation] && !leaving {
					left[old.Incarnation] = true
				}
				left[incarnation] = left[incarnation] || leaving
			case "report":
				taken := v.ApplyLoadReport("e1", incarnation, blackboard.LoadReport{TakenAt: now, Leaving: leaving}, true)
				left[incarnation] = left[incarnation] || taken && leaving
			case "peer":
				msg := peer.Exchange{From: peer.GatewayStatus{ID: "gw2", Incarnation: "x", Region: "tuul"}}
				if leaving {
					msg.Retired = []peer.RetiredIncarnation{{ID: "e1", Incarnation: incarnation}}
					left[incarnation] = true
				}
				v.ApplyExchange(msg, now)
			}
			if e, ok := v.board.Endpoints.Get("e1"); ok {
				require.Equal(t, left[e.Incarnation], e.Leaving, "incarnation %s", e.Incarnation)
			}
		}
	})
}

// TestViewsConverge checks that a leaving endpoint and a restarted peer, seen by
// one gateway, reach every gateway along a chain of exchanges.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "gateways")
		views := make([]*View, n)
		for i := range views {
			views[i] = newView(fmt.Sprintf("gw%d", i))
			views[i].ApplyEndpoint(endpoint("a", false, start))
			views[i].ApplyPeer(blackboard.PeerState{ID: "other", Incarnation: "1", Region: "tuul", Ready: true, HeartbeatSeq: 9, LastSeen: start}, false)
		}
		now := start.Add(time.Second)
		views[0].Retire("e1", "a", now)
		views[0].ApplyPeer(blackboard.PeerState{ID: "other", Incarnation: "2", Region: "tuul", Ready: true, HeartbeatSeq: 1, LastSeen: now}, true)
		for round := 1; round < n; round++ {
			a, b := views[round-1], views[round]
			now = now.Add(100 * time.Millisecond)
			exchange(t, a, b, now)
		}
		for _, v := range views {
			e, _ := v.board.Endpoints.Get("e1")
			require.True(t, e.Leaving)
			p, _ := v.board.Peers.Get("other")
			require.Equal(t, "2", p.Incarnation)
			require.True(t, v.IsRetired("other", "1"))
		}
	})
}

func exchange(t require.TestingT, a, b *View, now time.Time) {
	send := func(from, to *View) {
		self := from.board.Self
		raw, err := json.Marshal(from.BuildExchange(peer.GatewayStatus{ID: self.ID, Incarnation: self.Incarnation, Region: self.Region, Ready: true, HeartbeatSeq: uint64(now.Unix())}, 0, now))
		require.NoError(t, err)
		var msg peer.Exchange
		require.NoError(t, json.Unmarshal(raw, &msg))
		msg.Gateways = from.GatewayStatuses(now)
		to.ApplyExchange(msg, now)
	}
	send(a, b)
	send(b, a)
}

func TestSilentPeersAreNotCountedOnAndThenForgotten(t *testing.T) {
	v := newView("gw1")
	v.ApplyPeer(blackboard.PeerState{ID: "gw2", Incarnation: "1", Region: "tuul", LastSeen: start}, true)
	require.Equal(t, []string{"gw1", "gw2"}, v.LiveGatewayIDs(start.Add(time.Second)))
	require.Equal(t, []string{"gw1"}, v.LiveGatewayIDs(start.Add(LivenessTimeout)))
	_, known := v.PeerByIncarnation("1")
	require.True(t, known, "requests for its tickets can still be sent to it")
	v.RemoveExpired(start.Add(PeerRetention + time.Second))
	_, known = v.PeerByIncarnation("1")
	require.False(t, known)
}

func TestRegionSummariesKeepTheFresher(t *testing.T) {
	v := newView("gw1")
	v.ApplyRegionSummary(blackboard.RegionSummary{Region: "kherlen", From: "k1", Seq: 5, Revision: 5}, start)
	v.ApplyRegionSummary(blackboard.RegionSummary{Region: "kherlen", From: "k1", Seq: 4, Revision: 4}, start.Add(time.Second))
	v.ApplyRegionSummary(blackboard.RegionSummary{Region: "kherlen", From: "k2", Seq: 9, Revision: 3, AgeMillis: 5000}, start.Add(2*time.Second))
	v.ApplyRegionSummary(blackboard.RegionSummary{Region: "tuul", From: "x", Seq: 9, Revision: 9}, start)
	s, _ := v.board.Regions.Get("kherlen")
	require.Equal(t, uint64(5), s.Revision)
	_, own := v.board.Regions.Get("tuul")
	require.False(t, own, "summaries of the own region are ignored")
}

// BenchmarkExchange measures one direction of an exchange: build, encode, decode
// and apply, and reports the encoded size.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []struct{ gateways, endpoints int }{{3, 8}, {8, 23}, {29, 285}, {82, 800}} {
		b.Run(fmt.Sprintf("gateways=%d/endpoints=%d", size.gateways, size.endpoints), func(b *testing.B) {
			v, other := fleetView(size.gateways, size.endpoints), fleetView(size.gateways, size.endpoints)
			self := peer.GatewayStatus{ID: "gw1", Incarnation: "gw1-1", Region: "tuul", Address: "10.0.0.1:8081", CallerAddress: "10.0.0.1:8080"}
			bytes := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(2*time.Second + time.Duration(i)*time.Microsecond)
				raw, _ := json.Marshal(v.BuildExchange(self, uint64(i), now))
				bytes = len(raw)
				var msg peer.Exchange
				_ = json.Unmarshal(raw, &msg)
				other.ApplyExchange(msg, now)
			}
			b.ReportMetric(float64(bytes), "wire-bytes")
		})
	}
}

func fleetView(gateways, endpoints int) *View {
	v := newView("gw0")
	for i := range gateways {
		id := fmt.Sprintf("gateway-%d", i)
		v.ApplyPeer(blackboard.PeerState{
			ID: id, Incarnation: "tuul_" + id + "_0123456789ab", Region: "tuul", Address: "10.0.0.1:8081",
			CallerAddress: "10.0.0.1:8080", Ready: true, Revision: 100, HeartbeatSeq: 1000, LastSeen: start,
		}, true)
	}
	for i := range endpoints {
		id := fmt.Sprintf("engine-%d", i)
		v.ApplyEndpoint(blackboard.EndpointState{ID: id, Incarnation: "0123456789ab", Group: "planner", Region: "tuul", Address: "10.1.0.1:80", LastListed: start})
		v.ApplyLoadReport(id, "", blackboard.LoadReport{
			TakenAt: start.Add(time.Duration(i) * time.Millisecond), Running: 12, Waiting: 3, QueuedPrefillTokens: 4096,
			PrefillRate: 9000, DecodeRate: 55, MaxBatch: 64, KVUsed: 0.61,
		}, i%2 == 0)
	}
	for i := range 12 {
		v.ApplyRegionSummary(blackboard.RegionSummary{Region: fmt.Sprintf("region-%d", i), From: "x", Seq: 1, Groups: map[string]blackboard.GroupSummary{"planner": {Endpoints: 20}}}, start)
	}
	return v
}
