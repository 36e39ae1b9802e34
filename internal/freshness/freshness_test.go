package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	bound       = 5 * time.Second
	rewriteTime = 3 * time.Second
)

// at returns the point in time the given number of seconds after the boot.
func at(s float64) Instant { return Instant(s * float64(time.Second)) }

func TestNothingIsServedWithoutProof(t *testing.T) {
	tr := NewTracker(rewriteTime)
	require.False(t, tr.MayServe(at(0), bound))
	require.False(t, tr.Observe(Observation{AsOf: at(1), Version: 3}, 0, at(1)), "without a configuration there is nothing to prove")
	require.False(t, tr.MayServe(at(1), bound))
}

// TestProofsCountFromTheStartOfACall guards against a response that waited in a socket
// while the process was frozen: its arrival proves nothing.
func TestProofsCountFromTheStartOfACall(t *testing.T) {
	tr := NewTracker(rewriteTime)
	require.True(t, tr.Observe(Observation{AsOf: at(1), Version: 3}, 3, at(61)))
	require.False(t, tr.MayServe(at(61), bound))
	require.True(t, tr.Observe(Observation{AsOf: at(62), Version: 3}, 3, at(62.1)))
	require.True(t, tr.MayServe(at(67), bound))
	require.False(t, tr.MayServe(at(67.001), bound))
}

func TestOlderProofsDontReplaceNewerOnes(t *testing.T) {
	tr := NewTracker(rewriteTime)
	tr.Observe(Observation{AsOf: at(10), Version: 3}, 3, at(10.1))
	tr.Observe(Observation{AsOf: at(4), Version: 3}, 3, at(10.2))
	asOf, ok := tr.AsOf()
	require.True(t, ok)
	require.Equal(t, at(10), asOf)
}

// TestNewerVersionsProveNothing guards against a proof of a version that this gateway
// doesn't have: it may be the one that takes a key away.
func TestNewerVersionsProveNothing(t *testing.T) {
	tr := NewTracker(rewriteTime)
	require.False(t, tr.Observe(Observation{AsOf: at(1), Version: 4}, 3, at(1.1)))
	require.False(t, tr.MayServe(at(1.1), bound))
	require.True(t, tr.Observe(Observation{AsOf: at(1), Version: 4}, 4, at(1.2)), "it counts once the version is in force")
}

// TestObservationsOfTheFutureProveNothing guards against a gateway that states a negative
// age.
func TestObservationsOfTheFutureProveNothing(t *testing.T) {
	tr := NewTracker(rewriteTime)
	require.False(t, tr.Observe(Observation{AsOf: at(9), Version: 3}, 3, at(1)))
}

// TestRestoresStartANewProof guards against a proof by a store that has lost the newest
// configuration and has not been written again.
func TestRestoresStartANewProof(t *testing.T) {
	tr := NewTracker(rewriteTime)
	tr.Observe(Observation{AsOf: at(9), Version: 3, Era: 1, IsDirect: true}, 3, at(9.1))
	require.False(t, tr.Observe(Observation{AsOf: at(9.9), Version: 3, Era: 2, IsDirect: true}, 3, at(10)))
	require.False(t, tr.Observe(Observation{AsOf: at(12.9), Version: 3, Era: 2, IsDirect: true}, 3, at(12.95)))
	require.True(t, tr.MayServe(at(13), bound), "what was proved before the restore stays proved")
	require.False(t, tr.MayServe(at(14.1), bound))
	require.True(t, tr.Observe(Observation{AsOf: at(13), Version: 3, Era: 2, IsDirect: true}, 3, at(13.1)))
	require.True(t, tr.MayServe(at(14.1), bound))
	require.EqualValues(t, 2, tr.Era())
}

// TestOtherGatewaysWaitForTheRewriting checks that an observation by another gateway
// counts after a restore: that gateway has waited itself.
func TestOtherGatewaysWaitForTheRewriting(t *testing.T) {
	tr := NewTracker(rewriteTime)
	tr.Observe(Observation{AsOf: at(9), Version: 3, Era: 1}, 3, at(9.1))
	require.True(t, tr.Observe(Observation{AsOf: at(9.5), Version: 3, Era: 2}, 3, at(10)))
	require.False(t, tr.Observe(Observation{AsOf: at(11), Version: 3, Era: 2, IsDirect: true}, 3, at(11.1)), "this gateway knows of the restore too")
}

// TestTheFirstEraIsNoRestore guards against a gateway that refuses everything for a while
// after its start.
func TestTheFirstEraIsNoRestore(t *testing.T) {
	tr := NewTracker(rewriteTime)
	require.True(t, tr.Observe(Observation{AsOf: at(1), Version: 3, Era: 7, IsDirect: true}, 3, at(1.1)))
}

// TestAnswerOfAnUnfetchedVersionProvesNothing guards against a gateway that hears that another
// one is current, can't fetch that one's configuration, and serves by its own older one.
func TestAnswerOfAnUnfetchedVersionProvesNothing(t *testing.T) {
	tr := NewTracker(rewriteTime)
	require.True(t, tr.Observe(Observation{AsOf: at(0), Version: 1, IsDirect: true}, 1, at(0.1)))
	require.False(t, tr.Observe(Observation{AsOf: at(2), Version: 3}, 1, at(4)))
	require.False(t, tr.MayServe(at(0).Add(bound+1), bound))
	require.True(t, tr.Observe(Observation{AsOf: at(2), Version: 3}, 3, at(4)), "fetched")
}

// TestNoRequestRunsAfterTheBound plays random sequences of configurations, reads with
// delays, and freezes at gateways that ask each other. A request that MayServe lets pass
// must find every configuration that had been acknowledged a bound before.
func TestNoRequestRunsAfterTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 3
		type gateway struct {
			tracker *Tracker
			version uint64
			// offset is the difference between the gateway's clock and the real time.
			offset time.Duration
		}
		var all [gateways]*gateway
		for i := range all {
			all[i] = &gateway{tracker: NewTracker(rewriteTime), offset: time.Duration(i) * time.Hour}
		}
		stored := uint64(1)
		acknowledged := map[uint64]time.Duration{1: 0}
		var now time.Duration
		pass := func(label string) {
			now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, label))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			g := all[rapid.IntRange(0, gateways-1).Draw(t, "gateway")]
			clock := func() Instant { return Instant(now + g.offset) }
			switch rapid.SampledFrom([]string{"write", "read", "ask", "check"}).Draw(t, "step") {
			case "write":
				stored++
				acknowledged[stored] = now
			case "read":
				started := clock()
				pass("to the store")
				version := stored
				pass("from the store")
				g.version = max(g.version, version)
				g.tracker.Observe(Observation{AsOf: started, Version: version, IsDirect: true}, g.version, clock())
			case "ask":
				other := all[rapid.IntRange(0, gateways-1).Draw(t, "other")]
				started := clock()
				pass("request")
				age, ok := other.tracker.Age(Instant(now + other.offset))
				version := other.version
				pass("response")
				if !ok {
					continue
				}
				if rapid.Bool().Draw(t, "fetched") {
					g.version = max(g.version, version)
				}
				g.tracker.Observe(Observation{AsOf: started.Add(-age), Version: version}, g.version, clock())
			case "check":
				if !g.tracker.MayServe(clock(), bound) {
					continue
				}
				for version, ackedAt := range acknowledged {
					if now-ackedAt > bound {
						require.GreaterOrEqual(t, g.version, version)
					}
				}
			}
			pass("pause")
		}
	})
}
