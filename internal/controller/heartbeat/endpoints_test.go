package heartbeat

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/fleet"
)

// TestAllGatewaysLearnOfLeavingEndpoint lets one gateway read in a response that an
// endpoint is leaving, while every entry shows it as ready.
func TestAllGatewaysLearnOfLeavingEndpoint(t *testing.T) {
	forEachFleetSize(t, func(f *testFleet) {
		for _, n := range f.nodes {
			n.Registry.SetRegions(map[string]string{"dc": "north"}, time.Now())
			n.Registry.Apply([]fleet.Entry{{ID: "e", Endpoint: &fleet.Endpoint{ID: "e", Incarnation: 7, Service: "s", DataCentre: "dc"}}}, time.Now())
		}
		before := f.nodes[0].Registry.Fingerprint()
		f.nodes[1].Registry.MarkLeaving("e", 7, time.Now())
		usable := func() (ids []string) {
			for _, n := range f.nodes {
				if len(n.Registry.Usable("s", time.Second, time.Now())) > 0 {
					ids = append(ids, n.id)
				}
			}
			return ids
		}
		for end := time.Now().Add(3 * time.Second); len(usable()) > 0 && time.Now().Before(end); {
			time.Sleep(50 * time.Millisecond)
		}
		require.Empty(t, usable())
		require.Equal(t, before, f.nodes[1].Registry.Fingerprint(), "the entries are the same, so that nobody fetches them again")
		time.Sleep(10 * time.Second)
		require.Empty(t, f.nodes[0].Registry.NewlyLeaving(time.Now()), "told for a while only")
	})
}

// TestAllGatewaysOfRegionLearnOfRefusedConnection has one gateway of a region find that an
// endpoint refuses connections, before it runs again.
func TestAllGatewaysOfRegionLearnOfRefusedConnection(t *testing.T) {
	forEachFleetSize(t, func(f *testFleet) {
		for _, n := range f.nodes {
			n.Registry.SetRegions(map[string]string{"dc": "north"}, time.Now())
			n.Registry.Apply([]fleet.Entry{{ID: "e", Endpoint: &fleet.Endpoint{ID: "e", Incarnation: 7, Service: "s", DataCentre: "dc"}}}, time.Now())
		}
		f.nodes[1].Registry.MarkRefused("e", 7, time.Now())
		warm := func() (ids []string) {
			for _, n := range f.nodes {
				if v, _ := n.Registry.Get("e"); n.Gateways.Self().Region == f.nodes[1].Gateways.Self().Region && !v.IsCold(time.Second, time.Now()) {
					ids = append(ids, n.id)
				}
			}
			return ids
		}
		for end := time.Now().Add(1500 * time.Millisecond); len(warm()) > 0 && time.Now().Before(end); {
			time.Sleep(50 * time.Millisecond)
		}
		require.Empty(t, warm())
		time.Sleep(10 * time.Second)
		require.Empty(t, f.nodes[0].Registry.NewlyRefused(time.Now()), "told for a while only")
	})
}
