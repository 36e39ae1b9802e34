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

// changeEvery is the time between two changes at 2,500 a day.
const changeEvery = 24 * time.Hour / 2500

// spread splits n gateways over regions whose sizes differ by one at most.
func spread(n, regions int) []int {
	sizes := make([]int, regions)
	for i := range n {
		sizes[i%regions]++
	}
	return sizes
}

// TestStoreCalls counts the store's calls, a waiting watch as one, with a
// change every 34.56 s. They grow with the regions and not with the gateways.
// With -full it prints the table up to 380 gateways in 13 regions.
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
			f := newFleet(t, spread(s.gateways, s.regions)...)
			f.publish()
			f.requireInForce(1, f.all())
			time.Sleep(10 * time.Second)
			f.set(func() { f.peerBytes, f.exchanges, f.parses = 0, 0, 0 })
			before, watches, gets := f.calls(), f.callsOf(kv.CallWatch), f.callsOf(kv.CallGet)
			start := time.Now()
			for range changes {
				time.Sleep(changeEvery)
				f.publish()
			}
			took := time.Since(start)
			perMinute := func(n int64) float64 { return float64(n) / took.Minutes() }
			all := perMinute(f.calls() - before)
			f.requireInForce(f.revision, f.all())
			t.Logf("%8d %7d | %9.0f %6.0f %4.0f %11.1f | %8.1f %8.2f | %s %s %s", s.gateways, s.regions,
				all, perMinute(f.callsOf(kv.CallWatch)-watches), perMinute(f.callsOf(kv.CallGet)-gets), all/float64(s.regions),
				float64(f.peerBytes)/took.Seconds()/float64(s.gateways), float64(f.exchanges)/took.Seconds()/float64(s.gateways),
				f.quantile(0.5).Round(time.Millisecond), f.quantile(0.99).Round(time.Millisecond), f.quantile(1).Round(time.Millisecond))
			require.Less(t, all/float64(s.regions), 100.0)
			require.Equal(t, changes*s.gateways, f.parses, "each gateway parses a revision once")
			require.Less(t, f.quantile(1), inForceLimit)
		})
	}
}

func (f *fleet) callsOf(kind kv.CallKind) int64 {
	var total int64
	for _, r := range f.regions {
		total += r.server.Calls().Calls[kind]
	}
	return total
}
