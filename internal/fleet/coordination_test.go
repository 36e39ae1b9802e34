package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mayCoordinate returns the ids of the gateways that may coordinate.
func mayCoordinate(g *Gateways, now time.Time) []string {
	var out []string
	for _, r := range g.RememberedEverywhere(now) {
		if r.MayCoordinate {
			out = append(out, r.ID)
		}
	}
	return out
}

// TestNewGatewaysDontCoordinateAtOnce guards against a gateway that is chosen before it
// knows the fleet, and against one that starts and chooses others than the rest does.
func TestNewGatewaysDontCoordinateAtOnce(t *testing.T) {
	g := NewGateways(gateway("self", "north"), start)
	withGrants := func(id, region, incarnation string, seq uint64) GatewayStatus {
		s := status(id, region, seq)
		s.GrantAddress, s.Incarnation = id+":4", incarnation
		return s
	}
	g.ApplyStatus(withGrants("a", "north", "1", 1), at(time.Second))
	g.ApplyStatus(status("no-address", "north", 1), at(time.Second))
	require.Equal(t, []string{"a"}, mayCoordinate(g, at(time.Second)), "found at the start")
	require.False(t, g.MayCoordinate(at(2900*time.Millisecond)))
	require.True(t, g.MayCoordinate(at(3*time.Second)))

	g.ApplyStatus(withGrants("a", "north", "1", 2), at(10*time.Second))
	g.ApplyStatus(withGrants("b", "south", "1", 1), at(10*time.Second))
	require.Equal(t, []string{"a"}, mayCoordinate(g, at(11*time.Second)), "b is new")
	g.ApplyStatus(withGrants("a", "north", "2", 1), at(12*time.Second))
	g.ApplyStatus(withGrants("b", "south", "1", 2), at(13*time.Second))
	require.Equal(t, []string{"b"}, mayCoordinate(g, at(13*time.Second)), "a has started again")
	g.ApplyStatus(withGrants("a", "north", "2", 2), at(15*time.Second))
	require.Equal(t, []string{"a"}, mayCoordinate(g, at(15*time.Second)), "b is silent")
	require.Len(t, g.RememberedEverywhere(at(15*time.Second)), 3, "b may still run")
	leaving := withGrants("a", "north", "2", 3)
	leaving.Leaving = true
	g.ApplyStatus(leaving, at(15*time.Second))
	require.Empty(t, mayCoordinate(g, at(15*time.Second)))
	g.SetLeaving()
	require.False(t, g.MayCoordinate(at(15*time.Second)))
}

// TestHearsAllNeedsTheStoreListAndAllGateways guards against a gateway behind a cut that takes
// its side for the whole fleet.
func TestHearsAllNeedsTheStoreListAndAllGateways(t *testing.T) {
	g := NewGateways(gateway("self", "north"), start)
	g.ApplyStatus(status("a", "north", 1), at(time.Second))
	require.False(t, g.HearsAll(at(time.Second)), "the store may list others")
	g.ApplyStoreList([]Gateway{gateway("self", "north"), gateway("a", "north"), gateway("b", "south")}, at(time.Second))
	require.False(t, g.HearsAll(at(time.Second)), "b has not been heard")
	g.ApplyStatus(status("b", "south", 1), at(time.Second))
	require.True(t, g.HearsAll(at(time.Second)))
	require.False(t, g.HearsAll(at(time.Second+SilenceTimeout+time.Millisecond)), "both are silent")
}

// TestGatewaysOfUnheardDataCentresAreCounted guards against a gateway that has started behind
// a cut, without the store's list, and takes its side for the whole fleet.
func TestGatewaysOfUnheardDataCentresAreCounted(t *testing.T) {
	dataCentres := slices.Values([]string{"north-a", "north-b", "south-a", "west-a"})
	g := NewGateways(Gateway{ID: "a", DataCentre: "north-a"}, at(0))
	require.Equal(t, 3, g.CountUnheard(dataCentres, at(time.Second)))
	for _, id := range []string{"b", "c"} {
		g.ApplyStatus(GatewayStatus{Gateway: Gateway{ID: id, Incarnation: "1", DataCentre: "north-b"}, Seq: 1}, at(time.Second))
	}
	require.Equal(t, 3, g.CountUnheard(dataCentres, at(time.Second)), "two data centres, of one and a half gateways each")
	g.ApplyStatus(GatewayStatus{Gateway: Gateway{ID: "d", Incarnation: "1", DataCentre: "south-a"}, Seq: 1, Leaving: true}, at(time.Second))
	require.Equal(t, 3, g.CountUnheard(dataCentres, at(time.Second)), "its only gateway is leaving")
	g.ApplyStoreList(nil, at(2*time.Second))
	require.Zero(t, g.CountUnheard(dataCentres, at(time.Second)))
}

// TestGatewaysBehindALongCutAreCounted guards against groups that forget each other in a cut
// of an hour, and against gateways that ended one by one and are counted as if they ran.
func TestGatewaysBehindALongCutAreCounted(t *testing.T) {
	dataCentres := slices.Values([]string{"north-a", "south-a", "south-b", "west-a"})
	g, seq := NewGateways(Gateway{ID: "n1", DataCentre: "north-a"}, at(0)), uint64(0)
	hear := func(id, dataCentre string, isLeaving bool, now time.Time) {
		seq++
		g.ApplyStatus(GatewayStatus{Gateway: Gateway{ID: id, Incarnation: "1", DataCentre: dataCentre}, Seq: seq, Leaving: isLeaving}, now)
	}
	for _, id := range []string{"s1", "s2", "s3"} {
		hear(id, "south-a", false, at(0))
	}
	hear("b1", "south-b", false, at(0))
	hear("b1", "south-b", true, at(time.Second))
	hear("w1", "west-a", false, at(0))
	hear("w2", "west-a", false, at(0))
	for s := time.Duration(1); s <= 200; s++ {
		hear("w2", "west-a", false, at(s*time.Second))
		if s == 100 {
			require.Equal(t, 4, g.CountUnheard(dataCentres, at(s*time.Second)), "the store may list others where one has left")
		}
		if s > 100 {
			g.ApplyStoreList([]Gateway{{ID: "w2", Incarnation: "1", DataCentre: "west-a"}}, at(s*time.Second))
		}
	}
	require.Equal(t, 3, g.CountUnheard(dataCentres, at(200*time.Second)), "one data centre has left, another one is heard")
	require.Zero(t, g.CountUnheard(slices.Values([]string{"north-a", "west-a"}), at(200*time.Second)), "the settings no longer name it")
	hear("s2", "south-a", false, at(201*time.Second))
	require.Zero(t, g.CountUnheard(dataCentres, at(201*time.Second)))
	g.ApplyStoreList(nil, at(3*time.Hour))
	require.Zero(t, g.CountUnheard(dataCentres, at(3*time.Hour)))
}
