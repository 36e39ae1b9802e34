package configsync_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/standin/kv"
)

var full = flag.Bool("full", false, "more changes for each fault, and the store's calls up to 380 gateways")

// changeInterval is the time between two changes at 2,500 changes a day.
const changeInterval = 24 * time.Hour / 2500

// splitEvenly distributes n gateways over regions whose sizes differ by at most one.
func splitEvenly(n, regions int) []int {
	sizes := make([]int, regions)
	for i := range n {
		sizes[i%regions]++
	}
	return sizes
}

// TestStoreCalls checks that the number of calls on the store grows with the regions
// and not with the gateways, with a change every 34.56 s. A waiting watch counts as
// one call. With -full it prints a table for up to 380 gateways in 13 regions.
func TestStoreCalls(t *testing.T) {
	type size struct{ gateways, regions int }
	sizes, changes := []size{{8, 3}, {30, 3}}, 3
	if *full {
		sizes = append(sizes, size{100, 3}, size{100, 13}, size{200, 13}, size{380, 13})
		changes = 10
	}
	t.Logf("gateways regions | calls/min  watch  get  per region | snapshot bytes/s and exchanges/s a gateway | in force p50 p99 max")
	for _, s := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, splitEvenly(s.gateways, s.regions)...)
			f.publish()
			f.requireInForce(1, f.allGateways())
			time.Sleep(10 * time.Second)
			f.withLock(func() { f.peerBytes, f.exchangeCount, f.parseCount = 0, 0, 0 })
			before, watches, gets := f.storeCalls(), f.storeCallsOf(kv.CallWatch), f.storeCallsOf(kv.CallGet)
			start := time.Now()
			for range changes {
				time.Sleep(changeInterval)
				f.publish()
			}
			took := time.Since(start)
			perMinute := func(n int64) float64 { return float64(n) / took.Minutes() }
			all := perMinute(f.storeCalls() - before)
			f.requireInForce(f.revision, f.allGateways())
			t.Logf("%8d %7d | %9.0f %6.0f %4.0f %11.1f | %8.1f %8.2f | %s %s %s", s.gateways, s.regions,
				all, perMinute(f.storeCallsOf(kv.CallWatch)-watches), perMinute(f.storeCallsOf(kv.CallGet)-gets), all/float64(s.regions),
				float64(f.peerBytes)/took.Seconds()/float64(s.gateways), float64(f.exchangeCount)/took.Seconds()/float64(s.gateways),
				f.adoptionQuantile(0.5).Round(time.Millisecond), f.adoptionQuantile(0.99).Round(time.Millisecond), f.adoptionQuantile(1).Round(time.Millisecond))
			require.Less(t, all/float64(s.regions), 100.0)
			require.Equal(t, changes*s.gateways, f.parseCount, "each gateway parses each revision once")
			require.Less(t, f.adoptionQuantile(1), inForceLimit)
		})
	}
}

func (f *fleet) storeCallsOf(kind kv.CallKind) int64 {
	var total int64
	for _, r := range f.regions {
		total += r.server.Calls().Calls[kind]
	}
	return total
}
