package heartbeat

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/requestlimit"
	"github.com/hickorystage/hickorystage/internal/settings"
)

// newLargeHub returns the controller of a hub in a region of 100 gateways that knows
// loads of 80 endpoints, with two more regions of 100 gateways.
func newLargeHub(now time.Time) *Controller {
	c := New(Config{
		Board:             blackboard.NewEdge(&settings.PlatformSettings{}),
		Quarantine:        quarantine.New(),
		RequestQuarantine: quarantine.NewOfRequests(),
		Limits:            requestlimit.New(),
		Registry:          fleet.NewRegistry(nil),
		Gateways:          fleet.NewGateways(fleet.Gateway{ID: "gw-north-self", Incarnation: "1", Region: "north", MachineCapacity: 1}, time.Now()),
		Loads:             endpointload.New(),
		StoreStatus:       fleet.NewLatestStoreStatus(),
		Logger:            log.New(io.Discard),
	})
	for _, region := range []string{"north", "middle", "south"} {
		for i := range 100 {
			id := fmt.Sprintf("gw-%s-%d", region, i)
			c.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: id, Incarnation: "123456", Region: region, CallerAddress: "10.0.0.1:8144", PeerAddress: "10.0.0.1:8146", HeartbeatAddress: "10.0.0.1:7660", GrantAddress: "10.0.0.1:7661"}, Seq: 1, Ready: true}, now)
		}
	}
	for i := range 100 {
		c.Loads.ApplyGatewayLoads(fmt.Sprintf("gw-north-%d", i), largeLoads("north", 40), now)
	}
	return c
}

func largeLoads(region string, n int) []endpointload.EndpointLoad {
	var out []endpointload.EndpointLoad
	for i := range n {
		out = append(out, endpointload.EndpointLoad{ID: fmt.Sprintf("i-%s%08x", region[:2], i), Running: 3, Waiting: 1, KVTokens: 40_000, QueuedPrefillMillis: []int{10, 30}, RecentPrefillMillis: 300})
	}
	return out
}

// largeMessage returns a heartbeat of a hub with the summaries of three regions.
func largeMessage() Message {
	m := Message{From: fleet.GatewayStatus{Gateway: fleet.Gateway{ID: "gw-north-0", Incarnation: "123456", Region: "north"}, Seq: 2, Ready: true}}
	for region, endpoints := range map[string]int{"north": 80, "middle": 50, "south": 30} {
		summary := RegionSummary{Region: region, Hub: "gw-" + region + "-0/1", Seq: 3, Loads: largeLoads(region, endpoints)}
		for i := range 100 {
			summary.Alive = append(summary.Alive, fleet.CompactStatus(fmt.Sprintf("gw-%s-%d/123456+", region, i)))
		}
		for i := range uint64(64) {
			summary.CachedPrefixes = append(summary.CachedPrefixes, endpointload.CachedPrefix{ID: fmt.Sprintf("i-%s%08x", region[:2], i), PrefixHash: i << 40})
		}
		m.Summaries = append(m.Summaries, summary)
	}
	return m
}

// BenchmarkReceiveInALargeFleet measures what a gateway spends on one heartbeat of a
// hub.
func BenchmarkReceiveInALargeFleet(b *testing.B) {
	now := time.Now()
	c := newLargeHub(now)
	body, err := json.Marshal(largeMessage())
	require.NoError(b, err)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for seq := uint64(10); b.Loop(); seq++ {
		var m Message
		require.NoError(b, json.Unmarshal(body, &m))
		m.From.Seq = seq
		for i := range m.Summaries {
			m.Summaries[i].Seq = seq
		}
		c.applyMessage(m, time.Now())
	}
}

// BenchmarkSummaryInALargeFleet measures what a hub spends on one summary of its
// region.
func BenchmarkSummaryInALargeFleet(b *testing.B) {
	now := time.Now()
	c := newLargeHub(now)
	b.ReportAllocs()
	for b.Loop() {
		_, err := json.Marshal(c.regionSummary(c.ownStatus(), nil, time.Second, c.localDescriber, false, now))
		require.NoError(b, err)
	}
}
