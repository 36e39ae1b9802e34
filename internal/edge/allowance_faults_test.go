package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/fleet"
)

// allowanceFault is a fault or change of the fleet.
type allowanceFault struct {
	begin func(f *allowanceFleet)
	// least is the least part of the demand that is served in the 12 s from its beginning,
	// leastOver the least part of the limit while the demand is higher.
	least, leastOver float64
}

var allowanceFaults = map[string]allowanceFault{
	"calm": {begin: func(*allowanceFleet) {}, least: 1, leastOver: 0.95},
	"coordinator killed": {
		begin: func(f *allowanceFleet) { f.coordinator().stop() },
		least: 0.85, leastOver: 0.8,
	},
	"coordinator leaves and starts again": {
		begin: func(f *allowanceFleet) {
			g := f.coordinator()
			g.edge.Gateways.SetLeaving()
			g.sendHeartbeats()
			f.later = map[int]func(){200: g.stop, 300: g.start}
		},
		least: 0.9, leastOver: 0.85,
	},
	"coordinator restarts at once": {
		begin: func(f *allowanceFleet) {
			g := f.coordinator()
			g.stop()
			g.start()
		},
		least: 0.85, leastOver: 0.8,
	},
	"a region cut off": {
		begin: func(f *allowanceFleet) {
			f.setHears(func(from, to *allowanceGateway) bool { return (from.region() == "west") == (to.region() == "west") })
		},
		least: 0.85, leastOver: 0.8,
	},
	"a region cut off, then deaf": {
		begin: func(f *allowanceFleet) {
			f.setHears(func(from, to *allowanceGateway) bool { return (from.region() == "west") == (to.region() == "west") })
			f.later = map[int]func(){600: func() {
				f.setHears(func(from, to *allowanceGateway) bool { return from.region() == to.region() || to.region() != "west" })
			}}
		},
		least: 0.85, leastOver: 0.8,
	},
	"a region hears nobody": {
		begin: func(f *allowanceFleet) {
			f.setHears(func(from, to *allowanceGateway) bool { return from.region() == to.region() || to.region() != "west" })
		},
		least: 0.85, leastOver: 0.8,
	},
	"nobody hears a region": {
		begin: func(f *allowanceFleet) {
			f.setHears(func(from, to *allowanceGateway) bool { return from.region() == to.region() || from.region() != "west" })
		},
		least: 0.85, leastOver: 0.8,
	},
}

// TestAllowanceHoldsForTheSumOfAllGateways guards against gateways that choose different
// coordinators, or take over too early or not at all, when gateways end, start or can't
// hear each other.
func TestAllowanceHoldsForTheSumOfAllGateways(t *testing.T) {
	for name, fault := range allowanceFaults {
		for load, part := range map[string]float64{"half": 0.5, "five times": 5} {
			t.Run(name+", "+load, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newAllowanceFleet(t)
					f.run(12*time.Second, 0)
					rate := f.account.Allowance.RatePerSecond
					f.run(3*time.Second, 0.2*rate)
					_, refused := f.takeCounts()
					require.Zero(t, refused)
					f.run(2*time.Second, part*rate)
					f.takeCounts()
					fault.begin(f)
					f.run(12*time.Second, part*rate)
					time.Sleep(time.Second)
					served, refused := f.takeCounts()
					ofLimit := served * allowanceCost / (12 * rate)
					t.Logf("served %.0f, refused %.0f, %.3f of the limit; worst window %.3f", served, refused, ofLimit, f.worst())
					require.LessOrEqual(t, f.worst(), 1.0)
					if part > 1 {
						require.GreaterOrEqual(t, ofLimit, fault.leastOver)
					} else {
						require.GreaterOrEqual(t, served/(served+refused), fault.least)
					}
					for _, g := range f.gateways {
						g.tomb.Kill(nil)
						require.NoError(t, g.tomb.Wait())
					}
				})
			})
		}
	}
}

// restartAll ends and starts the gateways that match selects. They find all gateways in the
// store's list, which keeps them until their leases end.
func (f *allowanceFleet) restartAll(selects func(*allowanceGateway) bool) {
	for _, g := range f.gateways {
		if selects(g) {
			g.stop()
		}
	}
	var listed []fleet.Gateway
	for _, g := range f.gateways {
		if selects(g) {
			g.start()
		}
		listed = append(listed, g.edge.Gateways.Self())
	}
	for _, g := range f.gateways {
		if selects(g) {
			g.edge.Gateways.ApplyStoreList(listed, time.Now())
		}
	}
}

// TestAccountsAreServedAfterAllGatewaysStarted guards against gateways that refuse the
// requests of accounts for seconds since none coordinates yet, and against own parts that
// exceed the limit when only a part of the gateways starts and can't hear the others.
func TestAccountsAreServedAfterAllGatewaysStarted(t *testing.T) {
	isWest := func(g *allowanceGateway) bool { return g.region() == "west" }
	cases := map[string]struct {
		cut     bool
		selects func(*allowanceGateway) bool
		// least and leastOver are as those of allowanceFault, in the first 4 s. In a cut, gateways
		// that have started use no part of the limit before others count them as gone.
		least, leastOver float64
	}{
		"all":                         {selects: func(*allowanceGateway) bool { return true }, least: 0.5, leastOver: 0.3},
		"a region":                    {selects: isWest, least: 0.5, leastOver: 0.3},
		"a region that is cut off":    {cut: true, selects: isWest, least: 0.5, leastOver: 0.3},
		"all but a region, cut off":   {cut: true, selects: func(g *allowanceGateway) bool { return !isWest(g) }, least: 0.15, leastOver: 0.1},
		"all, a region being cut off": {cut: true, selects: func(*allowanceGateway) bool { return true }, least: 0.15, leastOver: 0.1},
	}
	for name, c := range cases {
		for load, part := range map[string]float64{"half": 0.5, "five times": 5} {
			t.Run(name+", "+load, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newAllowanceFleet(t)
					rate := f.account.Allowance.RatePerSecond
					f.run(12*time.Second, 0)
					f.run(4*time.Second, part*rate)
					f.takeCounts()
					if c.cut {
						f.setHears(func(from, to *allowanceGateway) bool { return isWest(from) == isWest(to) })
					}
					f.restartAll(c.selects)
					f.run(4*time.Second, part*rate)
					served, refused := f.takeCounts()
					t.Logf("first 4 s: served %.0f, refused %.0f", served, refused)
					f.run(8*time.Second, part*rate)
					time.Sleep(time.Second)
					for _, g := range f.gateways {
						g.tomb.Kill(nil)
						require.NoError(t, g.tomb.Wait())
					}
					t.Logf("worst window %.3f", f.worst())
					require.LessOrEqual(t, f.worst(), 1.0)
					if part > 1 {
						require.GreaterOrEqual(t, served*allowanceCost/(4*rate), c.leastOver)
					} else {
						require.GreaterOrEqual(t, served/(served+refused), c.least)
					}
				})
			})
		}
	}
}

// TestAllowanceHoldsInALongCut guards against groups that have been apart for so long that
// they forget each other, and each hand out the whole limit.
func TestAllowanceHoldsInALongCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isWest := func(g *allowanceGateway) bool { return g.region() == "west" }
		f := newAllowanceFleet(t)
		rate := f.account.Allowance.RatePerSecond
		f.run(12*time.Second, 0.1*rate)
		f.setHears(func(from, to *allowanceGateway) bool { return isWest(from) == isWest(to) })
		for range 10 {
			f.run(9*time.Second, 0.1*rate)
			// The store can't be reached from the west, and its leases of gateways there end.
			var listed []fleet.Gateway
			for _, g := range f.gateways {
				if !isWest(g) {
					listed = append(listed, g.edge.Gateways.Self())
				}
			}
			for _, g := range f.gateways {
				if !isWest(g) {
					g.edge.Gateways.ApplyStoreList(listed, time.Now())
				}
			}
		}
		f.takeCounts()
		f.run(12*time.Second, 5*rate)
		time.Sleep(time.Second)
		for _, g := range f.gateways {
			g.tomb.Kill(nil)
			require.NoError(t, g.tomb.Wait())
		}
		served, refused := f.takeCounts()
		t.Logf("served %.0f, refused %.0f; worst window %.3f", served, refused, f.worst())
		require.LessOrEqual(t, f.worst(), 1.0)
		require.GreaterOrEqual(t, served*allowanceCost/(12*rate), 0.8)
	})
}
