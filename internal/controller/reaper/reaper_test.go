package reaper_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/controller/reaper"
)

// recorder counts the calls of a reaper.
type recorder struct {
	mu         sync.Mutex
	partitions map[string]int
	sweeps     int
}

func (r *recorder) RemoveExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweeps++
}

func (r *recorder) WritePendingOutcomes(context.Context, int) int { return 0 }

func (r *recorder) ReapClaims(_ context.Context, partition string, _ int) (action.ReapReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitions[partition]++
	return action.ReapReport{}, nil
}

// TestEachPartitionHasOneReaper checks that every partition is processed by exactly
// one gateway, with at most one list call per gateway every two minutes.
func TestEachPartitionHasOneReaper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := []string{"g1", "g2", "g3", "g4"}
		combined := &recorder{partitions: map[string]int{}}
		recorders := map[string]*recorder{}
		var tombs []*tomb.Tomb
		for _, id := range ids {
			board := blackboard.New(blackboard.Self{ID: id})
			for _, peer := range ids {
				board.Peers.Set(peer, blackboard.PeerState{ID: peer})
			}
			recorders[id] = &recorder{partitions: map[string]int{}}
			c := &reaper.Controller{Actions: recorders[id], Board: board}
			tb := &tomb.Tomb{}
			tb.Go(func() error { return c.Run(tb) })
			tombs = append(tombs, tb)
		}
		time.Sleep(4 * time.Hour)
		for i, id := range ids {
			tombs[i].Kill(nil)
			require.NoError(t, tombs[i].Wait())
			calls := 0
			for partition, count := range recorders[id].partitions {
				calls += count
				require.Zero(t, combined.partitions[partition], "partition %s has two reapers", partition)
				combined.partitions[partition] = count
			}
			require.LessOrEqual(t, calls, 120)
			require.GreaterOrEqual(t, recorders[id].sweeps, 1400)
		}
		require.Len(t, combined.partitions, action.ClaimPartitionCount)
	})
}
