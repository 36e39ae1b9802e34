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

// fleetSizes lists the gateways per region of the usual fleet: 8 in three regions.
var fleetSizes = []int{3, 3, 2}

// changesPerStoreFault returns the number of changes published per fault of the
// store.
func changesPerStoreFault() int {
	if *full {
		return 40
	}
	return 6
}

// changesPerPeerFault returns the number of changes published per fault of
// gateways and peers.
func changesPerPeerFault() int {
	if *full {
		return 40
	}
	return 8
}

// runFleet runs fn in virtual time on a fleet that has revision 1 in force.
func runFleet(t *testing.T, sizes []int, fn func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, sizes...)
		f.publish()
		f.requireInForce(1, f.allGateways())
		time.Sleep(10 * time.Second)
		fn(t, f)
	})
}

// TestInForceUnderStoreFaults checks that changes are in force everywhere within the
// limit while calls on the store fail in every region. Changes are published at
// varying times relative to the controller's intervals.
func TestInForceUnderStoreFaults(t *testing.T) {
	cases := []struct {
		name     string
		limit    time.Duration
		settings []fault.Setting
	}{
		{"calm", time.Second, nil},
		{"slow", inForceLimit, []fault.Setting{{Kind: fault.Delay, DelayMillis: 2500}}},
		{"connections silent", inForceLimit, []fault.Setting{{Kind: fault.Silent}}},
		{"responses lost", 2 * time.Second, []fault.Setting{{Kind: fault.DropResponse, Count: 4}}},
		{"requests lost", 2 * time.Second, []fault.Setting{{Kind: fault.DropRequest, Count: 4}}},
		{"responses truncated", 2 * time.Second, []fault.Setting{{Kind: fault.Truncate, Count: 4, Bytes: 20}}},
		{"responses swapped", 2 * time.Second, []fault.Setting{{Kind: fault.SwapResponses, Count: 4}}},
		{"slow and silent", inForceLimit, []fault.Setting{{Kind: fault.Delay, DelayMillis: 500}, {Kind: fault.Silent}}},
		{"silent and lost", inForceLimit, []fault.Setting{{Kind: fault.Silent}, {Kind: fault.DropResponse, Count: 4}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
				for i := range changesPerStoreFault() {
					time.Sleep(10*time.Second + time.Duration(i)*617*time.Millisecond)
					for _, r := range f.regions {
						r.server.Faults.Reset()
						for _, s := range c.settings {
							require.NoError(t, r.server.Faults.Set(s))
						}
					}
					f.requireInForce(f.publish(), f.allGateways())
				}
				f.logAdoptionTimes()
				require.Less(t, f.adoptionQuantile(1), c.limit)
			})
		})
	}
}

// TestHoldersCutFromTheStore checks that changes are found by polling if no watch
// holder can reach the store.
func TestHoldersCutFromTheStore(t *testing.T) {
	for _, sizes := range [][]int{{3, 3, 2}, {6, 6}, {8}, {3}} {
		runFleet(t, sizes, func(t *testing.T, f *fleet) {
			for _, r := range f.regions {
				f.disconnectWatchHolders(r)
			}
			time.Sleep(10 * time.Second)
			for range changesPerPeerFault() {
				f.requireInForce(f.publish(), f.allGateways())
				time.Sleep(13 * time.Second)
			}
			f.logAdoptionTimes()
		})
	}
}

// TestSilentPeers checks that changes spread if a third of the gateways never respond
// to their peers.
func TestSilentPeers(t *testing.T) {
	runFleet(t, []int{6, 6}, func(t *testing.T, f *fleet) {
		f.withLock(func() {
			for i, g := range f.allGateways() {
				g.silentToPeers = i%3 == 0
			}
		})
		for range changesPerPeerFault() {
			f.requireInForce(f.publish(), f.allGateways())
			time.Sleep(17 * time.Second)
		}
		f.logAdoptionTimes()
	})
}

// TestIsolatedRegion disconnects a region from the others and from the store for 15
// minutes. Gateways of the region that restart meanwhile get its revision from their
// peers, and after the region is reconnected it gets the newest one.
func TestIsolatedRegion(t *testing.T) {
	runFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
		isolated := f.regions[1]
		f.withLock(func() { isolated.isolated = true })
		require.NoError(t, isolated.server.Faults.Set(fault.Setting{Kind: fault.Freeze}))
		for range 15 {
			time.Sleep(time.Minute)
			f.requireInForce(f.publish(), append(f.regions[0].gateways, f.regions[2].gateways...))
		}
		for _, g := range isolated.gateways {
			g.restart()
			f.requireInForce(1, isolated.gateways)
			require.Equal(t, uint64(1), g.revisionInForce())
		}
		f.withLock(func() { isolated.isolated = false })
		isolated.server.Faults.Reset()
		f.requireInForce(f.revision, f.allGateways())
		f.requireInForce(f.publish(), f.allGateways())
	})
}

// TestRegionReachesOnlyOtherRegions checks that a region without access to the store
// gets changes from other regions.
func TestRegionReachesOnlyOtherRegions(t *testing.T) {
	runFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
		require.NoError(t, f.regions[2].server.Faults.Set(fault.Setting{Kind: fault.Freeze}))
		for range 10 {
			f.requireInForce(f.publish(), f.allGateways())
			time.Sleep(17 * time.Second)
		}
		f.logAdoptionTimes()
	})
}

// TestStartWithoutTheStore starts gateways during a store outage. They have no
// revision until the store is available; during the next outage, a gateway that
// restarts gets the revision from its peers.
func TestStartWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSizes...)
		stopStore := func() {
			for _, r := range f.regions {
				require.NoError(t, r.server.Faults.Set(fault.Setting{Kind: fault.Freeze}))
			}
		}
		stopStore()
		f.publish()
		time.Sleep(2 * time.Minute)
		require.Len(t, f.gatewaysBelow(1, f.allGateways()), 8)
		for _, r := range f.regions {
			r.server.Faults.Reset()
		}
		f.requireInForce(1, f.allGateways())
		f.requireInForce(f.publish(), f.allGateways())
		stopStore()
		for _, g := range f.allGateways() {
			g.restart()
			f.requireInForce(2, []*gateway{g})
		}
	})
}

// TestStoreRolledBack restores the store to an older state or to an empty one. No
// gateway returns to an older revision, a restarted gateway adopts the revision of
// its peers first, and the gateways write the revision back into the store.
func TestStoreRolledBack(t *testing.T) {
	for name, empty := range map[string]bool{"old": false, "empty": true} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
				old := f.store.Dump()
				if empty {
					old = nil
				}
				for range 4 {
					f.requireInForce(f.publish(), f.allGateways())
				}
				f.store.Restore(old)
				for _, g := range f.allGateways() {
					g.restart()
					f.requireInForce(1, []*gateway{g})
					require.Equal(t, uint64(5), g.revisionInForce(), "the first revision of a restarted gateway")
				}
				time.Sleep(10 * time.Second)
				e, err := f.store.Get(revision.HeadKey)
				require.NoError(t, err)
				require.Equal(t, f.parent, revision.Digest(e.Value), "the store holds revision 5 again")
				f.requireInForce(f.publish(), f.allGateways())
			})
		})
	}
}

// TestRepairLosesToAPublication checks that the gateways do not overwrite a head from
// which the revision in force does not descend.
func TestRepairLosesToAPublication(t *testing.T) {
	runFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
		for range 4 {
			f.requireInForce(f.publish(), f.allGateways())
		}
		raw := f.write(2, "0000", "another lineage")
		time.Sleep(time.Minute)
		e, err := f.store.Get(revision.HeadKey)
		require.NoError(t, err)
		require.Equal(t, raw, e.Value)
		require.Empty(t, f.gatewaysBelow(5, f.allGateways()))
	})
}

// TestFailedBlobReadIsRetriedSoon checks that a watch does not skip a head whose
// files could not be read.
func TestFailedBlobReadIsRetriedSoon(t *testing.T) {
	runFleet(t, []int{1}, func(t *testing.T, f *fleet) {
		dropResponses := fault.Setting{Kind: fault.DropResponse, Path: "/v1/kv/" + revision.BlobPrefix, Count: 4}
		require.NoError(t, f.regions[0].server.Faults.Set(dropResponses))
		f.requireInForce(f.publish(), f.allGateways())
		require.Less(t, f.adoptionQuantile(1), time.Second)
	})
}

// TestInvalidContentIsNotAdopted writes an invalid revision to the store and then a
// valid one, which must be adopted.
func TestInvalidContentIsNotAdopted(t *testing.T) {
	cases := map[string]func(f *fleet){
		"content does not match its digest": func(f *fleet) {
			f.write(2, f.parent, "good")
			key := revision.BlobKey(revision.Digest([]byte("good")))
			_, err := f.store.Put(key, []byte("tampered"), platform.PutOptions{})
			require.NoError(f.t, err)
		},
		"content missing": func(f *fleet) {
			f.write(2, f.parent, "good")
			require.NoError(f.t, f.store.Delete(revision.BlobKey(revision.Digest([]byte("good"))), platform.DeleteOptions{}))
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
	for name, writeInvalid := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
				own := f.parent
				writeInvalid(f)
				before := f.storeCallsOf(kv.CallGet)
				time.Sleep(time.Minute)
				require.Less(t, f.storeCallsOf(kv.CallGet)-before, int64(100), "invalid content is not read in a loop")
				for _, g := range f.allGateways() {
					require.Equal(t, own, g.board.Intent.Get().Digest)
				}
				f.mu.Lock()
				f.revision = 2
				f.mu.Unlock()
				f.requireInForce(f.publish(), f.allGateways())
			})
		})
	}
}

// TestUntruthfulPeerDoesNotBlockChanges has a peer that claims revisions it does not
// have and sends corrupt snapshots.
func TestUntruthfulPeerDoesNotBlockChanges(t *testing.T) {
	runFleet(t, []int{4, 4}, func(t *testing.T, f *fleet) {
		untruthful := f.regions[0].gateways[0]
		f.withLock(func() { untruthful.untruthful = true })
		f.requireInForce(f.publish(), f.allGateways()[1:])
		for range 5 {
			time.Sleep(10 * time.Second)
			f.requireInForce(f.publish(), f.allGateways()[1:])
		}
		honest := f.regions[0].gateways[1]
		honest.restart()
		f.requireInForce(f.revision, []*gateway{honest})
	})
}

// TestSmallChangeTransfersFewBytes changes one small file of a large configuration.
func TestSmallChangeTransfersFewBytes(t *testing.T) {
	runFleet(t, []int{8}, func(t *testing.T, f *fleet) {
		large := strings.Repeat("x", 500_000)
		f.requireInForce(f.publish(large), f.allGateways())
		time.Sleep(10 * time.Second)
		f.withLock(func() { f.peerBytes = 0 })
		f.requireInForce(f.publish(large), f.allGateways())
		time.Sleep(10 * time.Second)
		f.withLock(func() { require.Less(t, f.peerBytes, 8*2000) })
	})
}
