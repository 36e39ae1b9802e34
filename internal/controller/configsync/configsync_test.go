package configsync_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/standin/kv"
)

// today's sizes: 8 gateways in three regions.
var today = []int{3, 3, 2}

// rounds is the number of changes that each fault is tried with.
func rounds() int {
	if *full {
		return 40
	}
	return 6
}

// changes is the number of changes for faults of gateways and peers.
func changes() int {
	if *full {
		return 40
	}
	return 8
}

// run runs fn in virtual time on a fleet that holds revision 1.
func run(t *testing.T, sizes []int, fn func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, sizes...)
		f.publish()
		f.requireInForce(1, f.all())
		time.Sleep(10 * time.Second)
		fn(t, f)
	})
}

// TestInForceUnderStoreFaults publishes changes at odd moments while the
// store's calls fail in one way, in every region at once.
func TestInForceUnderStoreFaults(t *testing.T) {
	cases := []struct {
		name     string
		limit    time.Duration
		settings []fault.Setting
	}{
		{"calm", time.Second, nil},
		{"slow", inForceLimit, []fault.Setting{{Kind: fault.Delay, DelayMillis: 2500}}},
		{"connections silent", inForceLimit, []fault.Setting{{Kind: fault.Silent}}},
		{"answers lost", 2 * time.Second, []fault.Setting{{Kind: fault.DropResponse, Count: 4}}},
		{"requests lost", 2 * time.Second, []fault.Setting{{Kind: fault.DropRequest, Count: 4}}},
		{"answers cut", 2 * time.Second, []fault.Setting{{Kind: fault.Truncate, Count: 4, Bytes: 20}}},
		{"answers crossed", 2 * time.Second, []fault.Setting{{Kind: fault.SwapResponses, Count: 4}}},
		{"slow and silent", inForceLimit, []fault.Setting{{Kind: fault.Delay, DelayMillis: 500}, {Kind: fault.Silent}}},
		{"silent and lost", inForceLimit, []fault.Setting{{Kind: fault.Silent}, {Kind: fault.DropResponse, Count: 4}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, today, func(t *testing.T, f *fleet) {
				for i := range rounds() {
					time.Sleep(10*time.Second + time.Duration(i)*617*time.Millisecond)
					for _, r := range f.regions {
						r.server.Faults.Reset()
						for _, s := range c.settings {
							require.NoError(t, r.server.Faults.Set(s))
						}
					}
					f.requireInForce(f.publish(), f.all())
				}
				f.logTimes()
				require.Less(t, f.quantile(1), c.limit)
			})
		})
	}
}

// TestHoldersCutFromTheStore cuts every holder of a watch from the store; the
// polls of the others find the change.
func TestHoldersCutFromTheStore(t *testing.T) {
	for _, sizes := range [][]int{{3, 3, 2}, {6, 6}, {8}, {3}} {
		run(t, sizes, func(t *testing.T, f *fleet) {
			for _, r := range f.regions {
				f.cutHolders(r)
			}
			time.Sleep(10 * time.Second)
			for range changes() {
				f.requireInForce(f.publish(), f.all())
				time.Sleep(13 * time.Second)
			}
			f.logTimes()
		})
	}
}

// TestSilentPeers makes a third of the gateways never answer their peers.
func TestSilentPeers(t *testing.T) {
	run(t, []int{6, 6}, func(t *testing.T, f *fleet) {
		f.set(func() {
			for i, g := range f.all() {
				g.silentPeer = i%3 == 0
			}
		})
		for range changes() {
			f.requireInForce(f.publish(), f.all())
			time.Sleep(17 * time.Second)
		}
		f.logTimes()
	})
}

// TestIsolatedRegion cuts a region from the others and from the store for a
// quarter of an hour, restarts its gateways one by one meanwhile, and heals it.
func TestIsolatedRegion(t *testing.T) {
	run(t, today, func(t *testing.T, f *fleet) {
		cut := f.regions[1]
		f.set(func() { cut.cutOff = true })
		require.NoError(t, cut.server.Faults.Set(fault.Setting{Kind: fault.Freeze}))
		for range 15 {
			time.Sleep(time.Minute)
			f.requireInForce(f.publish(), append(f.regions[0].gateways, f.regions[2].gateways...))
		}
		for _, g := range cut.gateways {
			g.restart()
			f.requireInForce(1, cut.gateways)
			require.Equal(t, uint64(1), g.held())
		}
		f.set(func() { cut.cutOff = false })
		cut.server.Faults.Reset()
		f.requireInForce(f.revision, f.all())
		f.requireInForce(f.publish(), f.all())
	})
}

// TestRegionReachesOnlyOtherRegions cuts a region from the store alone.
func TestRegionReachesOnlyOtherRegions(t *testing.T) {
	run(t, today, func(t *testing.T, f *fleet) {
		require.NoError(t, f.regions[2].server.Faults.Set(fault.Setting{Kind: fault.Freeze}))
		for range 10 {
			f.requireInForce(f.publish(), f.all())
			time.Sleep(17 * time.Second)
		}
		f.logTimes()
	})
}

// TestStartWithoutTheStore starts gateways while the store is away: with no
// peer they hold nothing; when it is back they are ready in time, and a gateway
// that is replaced while it is away again learns the revision from its peers.
func TestStartWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, today...)
		down := func() {
			for _, r := range f.regions {
				require.NoError(t, r.server.Faults.Set(fault.Setting{Kind: fault.Freeze}))
			}
		}
		down()
		f.publish()
		time.Sleep(2 * time.Minute)
		require.Len(t, f.below(1, f.all()), 8)
		for _, r := range f.regions {
			r.server.Faults.Reset()
		}
		f.requireInForce(1, f.all())
		f.requireInForce(f.publish(), f.all())
		down()
		for _, g := range f.all() {
			g.restart()
			f.requireInForce(2, []*gateway{g})
		}
	})
}

// TestStoreRolledBack restores an old content of the store, or an empty one.
// No gateway goes back, a gateway that starts meanwhile takes the revision of
// its peers first, and the store gets the revision back.
func TestStoreRolledBack(t *testing.T) {
	for name, empty := range map[string]bool{"old": false, "empty": true} {
		t.Run(name, func(t *testing.T) {
			run(t, today, func(t *testing.T, f *fleet) {
				old := f.store.Dump()
				if empty {
					old = nil
				}
				for range 4 {
					f.requireInForce(f.publish(), f.all())
				}
				f.store.Restore(old)
				for _, g := range f.all() {
					g.restart()
					f.requireInForce(1, []*gateway{g})
					require.Equal(t, uint64(5), g.held(), "the first revision of a restarted gateway")
				}
				time.Sleep(10 * time.Second)
				e, err := f.store.Get(revision.HeadKey)
				require.NoError(t, err)
				require.Equal(t, f.parent, revision.Digest(e.Value), "the store holds revision 5 again")
				f.requireInForce(f.publish(), f.all())
			})
		})
	}
}

// TestRepairLosesToAPublication checks that a head that the revision in force
// does not descend from is left alone.
func TestRepairLosesToAPublication(t *testing.T) {
	run(t, today, func(t *testing.T, f *fleet) {
		for range 4 {
			f.requireInForce(f.publish(), f.all())
		}
		raw := f.write(2, "0000", "another lineage")
		time.Sleep(time.Minute)
		e, err := f.store.Get(revision.HeadKey)
		require.NoError(t, err)
		require.Equal(t, raw, e.Value)
		require.Empty(t, f.below(5, f.all()))
	})
}

// TestFailedReadIsTriedAgainSoon checks that a watch does not pass over a head
// whose content could not be read.
func TestFailedReadIsTriedAgainSoon(t *testing.T) {
	run(t, []int{1}, func(t *testing.T, f *fleet) {
		lost := fault.Setting{Kind: fault.DropResponse, Path: "/v1/kv/" + revision.BlobPrefix, Count: 4}
		require.NoError(t, f.regions[0].server.Faults.Set(lost))
		f.requireInForce(f.publish(), f.all())
		require.Less(t, f.quantile(1), time.Second)
	})
}

// TestBadContent puts into the store what must not be adopted, and then a good
// revision.
func TestBadContent(t *testing.T) {
	cases := map[string]func(f *fleet){
		"content does not match its digest": func(f *fleet) {
			f.write(2, f.parent, "good")
			key := revision.BlobKey(revision.Digest([]byte("good")))
			_, err := f.store.Put(key, []byte("tampered"), platform.PutOptions{})
			require.NoError(f.t, err)
		},
		"content missing": func(f *fleet) {
			f.write(2, f.parent, "good")
			require.NoError(f.t, f.store.Delete(revision.BlobKey(revision.Digest([]byte("good"))), nil))
		},
		"intent not valid": func(f *fleet) { f.write(2, f.parent, "invalid") },
		"same revision, other digest": func(f *fleet) {
			f.write(1, "", "other")
		},
		"head is not JSON": func(f *fleet) {
			_, err := f.store.Put(revision.HeadKey, []byte("{"), platform.PutOptions{})
			require.NoError(f.t, err)
		},
		"revision is zero": func(f *fleet) { f.write(0, f.parent, "good") },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, today, func(t *testing.T, f *fleet) {
				own := f.parent
				spoil(f)
				before := f.callsOf(kv.CallGet)
				time.Sleep(time.Minute)
				require.Less(t, f.callsOf(kv.CallGet)-before, int64(100), "bad content is not read in a loop")
				for _, g := range f.all() {
					require.Equal(t, own, g.board.Intent.Get().Digest)
				}
				f.mu.Lock()
				f.revision = 2
				f.mu.Unlock()
				f.requireInForce(f.publish(), f.all())
			})
		})
	}
}

// TestUntruePeers adds peers that claim revisions which they do not have, and
// peers whose snapshots are spoiled.
func TestUntruePeers(t *testing.T) {
	run(t, []int{4, 4}, func(t *testing.T, f *fleet) {
		liar := f.regions[0].gateways[0]
		f.set(func() { liar.spoil = true })
		f.requireInForce(f.publish(), f.all()[1:])
		for range 5 {
			time.Sleep(10 * time.Second)
			f.requireInForce(f.publish(), f.all()[1:])
		}
		honest := f.regions[0].gateways[1]
		honest.restart()
		f.requireInForce(f.revision, []*gateway{honest})
	})
}

// TestSmallChangesCostFewBytes changes one small file of a large configuration.
func TestSmallChangesCostFewBytes(t *testing.T) {
	run(t, []int{8}, func(t *testing.T, f *fleet) {
		large := strings.Repeat("x", 500_000)
		f.requireInForce(f.publish(large), f.all())
		time.Sleep(10 * time.Second)
		f.set(func() { f.peerBytes = 0 })
		f.requireInForce(f.publish(large), f.all())
		time.Sleep(10 * time.Second)
		f.set(func() { require.Less(t, f.peerBytes, 8*2000) })
	})
}
