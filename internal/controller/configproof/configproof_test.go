package configproof

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
)

// bubble runs a test of a region with the given number of gateways, once the proofs have
// spread.
func bubble(t *testing.T, gateways int, fn func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, gateways, 0)
		time.Sleep(10 * time.Second)
		fn(t, w)
	})
}

// TestCalmRegionsStayWellInsideTheBound checks the age of the proofs and what they cost,
// in regions of different sizes.
func TestCalmRegionsStayWellInsideTheBound(t *testing.T) {
	for _, gateways := range []int{1, 2, 8, 100} {
		bubble(t, gateways, func(t *testing.T, w *world) {
			const duration = 10 * time.Second
			for _, n := range w.nodes {
				n.asked.Store(0)
				n.reads.Store(0)
				n.watches.Store(0)
			}
			var oldest time.Duration
			w.pass(duration, func() { oldest = max(oldest, w.maxAge()) })
			require.Less(t, oldest, 2*time.Second)
			for i, n := range w.nodes {
				require.LessOrEqual(t, n.asked.Load(), int64(3*duration/time.Second))
				require.Zero(t, n.reads.Load())
				if i > 0 {
					require.Zero(t, n.watches.Load(), "only the store reader calls the store")
				}
			}
			require.LessOrEqual(t, w.nodes[0].watches.Load(), int64(2*duration/time.Second))
			t.Logf("%d gateways: oldest proof %v", gateways, oldest)
		})
	}
}

// TestRevocationsReachEveryGateway checks that a new version is in force everywhere
// without a gap in which requests are refused.
func TestRevocationsReachEveryGateway(t *testing.T) {
	bubble(t, 20, func(t *testing.T, w *world) {
		for range 5 {
			w.write()
			w.pass(3*time.Second, func() { require.Equal(t, 20, w.check()) })
			for _, n := range w.nodes {
				require.Equal(t, w.version, n.version())
			}
		}
	})
}

// TestTheStoreGoesAway checks that every gateway stops once its proof is too old, not
// much sooner, and goes on soon after the store is back.
func TestTheStoreGoesAway(t *testing.T) {
	bubble(t, 12, func(t *testing.T, w *world) {
		for _, n := range w.nodes {
			w.cutStore(n, true)
		}
		w.pass(3*time.Second, func() { require.Equal(t, 12, w.check(), "0.6 of the bound is bridged") })
		w.write()
		w.pass(3*time.Second, nil)
		require.Zero(t, w.check())
		w.pass(20*time.Second, func() { require.Zero(t, w.check()) })
		for _, n := range w.nodes {
			require.LessOrEqual(t, n.reads.Load(), int64(30), "reads are paced")
			w.cutStore(n, false)
		}
		w.pass(3*time.Second, nil)
		require.Equal(t, 12, w.check())
	})
}

// TestShortCutsAreBridged checks cuts of 0.6 of the bound at any phase of the calls:
// requests are served all the time.
func TestShortCutsAreBridged(t *testing.T) {
	bubble(t, 10, func(t *testing.T, w *world) {
		for i := range 12 {
			w.pass(4*time.Second+time.Duration(i)*70*time.Millisecond, nil)
			for _, n := range w.nodes {
				w.cutStore(n, true)
			}
			serveAll := func() { require.Equal(t, 10, w.check()) }
			w.pass(3*time.Second, serveAll)
			for _, n := range w.nodes {
				w.cutStore(n, false)
			}
			w.pass(4*time.Second, serveAll)
		}
	})
}

// TestTheStoreReaderEnds checks that others serve on while the region finds a new one.
func TestTheStoreReaderEnds(t *testing.T) {
	bubble(t, 30, func(t *testing.T, w *world) {
		before := w.totalReads()
		w.nodes[0].end()
		w.pass(10*time.Second, func() { require.Equal(t, 29, w.check()) })
		require.LessOrEqual(t, w.totalReads()-before, int64(6), "the second hub reads for all")
		w.write()
		w.pass(3*time.Second, nil)
		for _, n := range w.nodes[1:] {
			require.Equal(t, w.version, n.version())
		}
	})
}

// TestBothHubsEnd checks that the others read the store themselves before their proofs end.
func TestBothHubsEnd(t *testing.T) {
	bubble(t, 30, func(t *testing.T, w *world) {
		w.nodes[0].end()
		w.nodes[1].end()
		w.pass(10*time.Second, func() { require.Equal(t, 28, w.check()) })
	})
}

// TestTheStoreReaderIsOutOfTouch cuts the store reader from the store alone. Its answers
// are truthful and too old.
func TestTheStoreReaderIsOutOfTouch(t *testing.T) {
	bubble(t, 15, func(t *testing.T, w *world) {
		w.cutStore(w.nodes[0], true)
		w.write()
		w.pass(10*time.Second, func() { require.Equal(t, 15, w.check()) })
	})
}

// TestOneWayLoss drops what a gateway sends to the others, or what they send to it. It
// reads the store itself.
func TestOneWayLoss(t *testing.T) {
	for _, outgoing := range []bool{true, false} {
		bubble(t, 9, func(t *testing.T, w *world) {
			lone := w.nodes[5]
			for _, o := range w.nodes {
				if outgoing {
					w.cut(lone.id, o.id, true)
				} else {
					w.cut(o.id, lone.id, true)
				}
			}
			w.write()
			w.pass(15*time.Second, func() { require.Equal(t, 9, w.check()) })
			require.Positive(t, lone.reads.Load()+lone.watches.Load())
			require.LessOrEqual(t, lone.reads.Load(), int64(15))
		})
	}
}

// TestAnotherRegionHelps cuts a whole region from the store, but not from another region
// whose store reader is answered.
func TestAnotherRegionHelps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 12, 1)
		w.pass(10*time.Second, nil)
		for _, n := range w.nodes[:12] {
			w.cutStore(n, true)
		}
		serveAll := func() { require.Equal(t, 13, w.check()) }
		w.pass(10*time.Second, serveAll)
		w.write()
		w.pass(10*time.Second, serveAll)
		for _, n := range w.nodes {
			require.Equal(t, w.version, n.version())
		}
	})
}

// TestLateAnswersCount delays all datagrams by more than a round waits.
func TestLateAnswersCount(t *testing.T) {
	bubble(t, 10, func(t *testing.T, w *world) {
		w.delay.Store(int64(300 * time.Millisecond))
		before := w.totalReads()
		w.pass(20*time.Second, func() { require.Equal(t, 10, w.check()) })
		require.Equal(t, before, w.totalReads(), "nobody needs the store")
	})
}

// TestLossAndSlowStoreRefuseNothing loses three of ten datagrams and then slows the store
// down by some hundreds of milliseconds.
func TestLossAndSlowStoreRefuseNothing(t *testing.T) {
	bubble(t, 15, func(t *testing.T, w *world) {
		serveAll := func() { require.Equal(t, 15, w.check()) }
		w.lostPerTen.Store(3)
		w.pass(20*time.Second, serveAll)
		w.storeDelay.Store(int64(350 * time.Millisecond))
		w.pass(20*time.Second, serveAll)
		require.Less(t, w.maxAge(), 4*time.Second)
	})
}

// TestAGatewayCutFromAllStops guards against a gateway that serves on with a key that was
// taken away.
func TestAGatewayCutFromAllStops(t *testing.T) {
	bubble(t, 9, func(t *testing.T, w *world) {
		lone := w.nodes[5]
		for _, o := range w.nodes {
			w.cut(lone.id, o.id, true)
			w.cut(o.id, lone.id, true)
		}
		w.cutStore(lone, true)
		w.write()
		w.pass(6*time.Second, nil)
		require.False(t, lone.tracker.MayServe(lone.Now(), testBound))
		w.pass(10*time.Second, func() { require.Equal(t, 8, w.check()) })
	})
}

// TestFrozenGatewaysWakeWithWaitingDatagrams freezes gateways for longer than the bound
// while a key is taken away: requests and responses wait in their sockets meanwhile.
func TestFrozenGatewaysWakeWithWaitingDatagrams(t *testing.T) {
	bubble(t, 9, func(t *testing.T, w *world) {
		for round := range 6 {
			frozen := w.nodes[round%3]
			frozen.freeze()
			w.pass(time.Duration(200*round)*time.Millisecond, nil)
			w.write()
			w.pass(7*time.Second, nil)
			frozen.thaw()
			w.pass(3*time.Second, nil)
			require.Equal(t, 9, w.check())
		}
	})
}

// TestARestoreLosesAVersion restores the store from a copy without the newest version,
// which takes a key away, while one gateway doesn't have it yet. The operator writes it
// again in time.
func TestARestoreLosesAVersion(t *testing.T) {
	bubble(t, 9, func(t *testing.T, w *world) {
		lone := w.nodes[4]
		for _, o := range w.nodes {
			w.cut(lone.id, o.id, true)
			w.cut(o.id, lone.id, true)
		}
		w.cutStore(lone, true)
		w.write()
		lost := w.version
		w.pass(2*time.Second, nil)
		w.mu.Lock()
		w.version, w.era = lost-1, 2
		w.mu.Unlock()
		w.cutStore(lone, false)
		w.pass(2900*time.Millisecond, nil)
		w.mu.Lock()
		w.version = lost
		w.mu.Unlock()
		w.pass(6*time.Second, nil)
		require.Equal(t, 9, w.check())
		require.Equal(t, lost, lone.version())
	})
}

// TestARestoreInCalmRefusesNothing checks that the proof from before a restore lasts until
// the store has been written again.
func TestARestoreInCalmRefusesNothing(t *testing.T) {
	bubble(t, 9, func(t *testing.T, w *world) {
		w.mu.Lock()
		w.era = 2
		close(w.changed)
		w.changed = make(chan struct{})
		w.mu.Unlock()
		w.pass(10*time.Second, func() { require.Equal(t, 9, w.check()) })
	})
}

// TestNothingRunsWhereItIsNotAskedFor checks that no message is sent without strict
// revocation or without accounts, and that proofs begin when both are there.
func TestNothingRunsWhereItIsNotAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, start: time.Now(), version: 1, era: 1, ackedAt: make(map[uint64]time.Duration), cuts: make(map[string]bool), changed: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		w.ctx = ctx
		w.nodes = []*node{w.newNode("a", "r", 2), w.newNode("b", "r", 1)}
		lax := &settings.PlatformSettings{Limits: settings.Limits{Revocation: testBound}}
		strict := w.nodes[1].board.Settings.Get()
		w.nodes[0].board.Settings.Set(lax)
		w.nodes[1].board.Routes.Set(route.NewTable(1, nil, nil, route.Limits{}))
		for _, n := range w.nodes {
			n.run()
		}
		defer func() {
			cancel()
			for _, n := range w.nodes {
				n.tomb.Kill(nil)
				_ = n.tomb.Wait()
			}
			w.wg.Wait()
		}()
		time.Sleep(20 * time.Second)
		for _, n := range w.nodes {
			require.Zero(t, n.asked.Load()+n.reads.Load())
		}
		w.nodes[0].board.Settings.Set(strict)
		w.nodes[1].adopt(2)
		time.Sleep(2 * time.Second)
		require.Positive(t, w.nodes[1].asked.Load())
		require.True(t, w.nodes[1].tracker.MayServe(w.nodes[1].Now(), testBound))
	})
}

// TestRandomFaults plays random cuts, freezes and writes; check is the oracle.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type event struct{ kind, node, other, wait int }
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{rapid.IntRange(0, 5).Draw(rt, "kind"), rapid.IntRange(0, 4).Draw(rt, "node"), rapid.IntRange(0, 4).Draw(rt, "other"), rapid.IntRange(0, 3000).Draw(rt, "wait")}
		}), 5, 30).Draw(rt, "events")
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 4, 1)
			for _, e := range events {
				n, o := w.nodes[e.node], w.nodes[e.other]
				switch e.kind {
				case 0:
					w.write()
				case 1:
					w.cutStore(n, w.arrives(n.id, storeName))
				case 2:
					w.cut(n.id, o.id, w.arrives(n.id, o.id))
				case 3:
					w.cut(storeName, n.id, w.arrives(storeName, n.id))
				case 4:
					n.freeze()
				case 5:
					n.thaw()
				}
				w.pass(time.Duration(e.wait)*time.Millisecond, nil)
			}
		})
	})
}

func (w *world) totalReads() (sum int64) {
	for _, n := range w.nodes {
		sum += n.reads.Load()
	}
	return sum
}
