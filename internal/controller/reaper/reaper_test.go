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

// recorder notes what the reapers of several gateways do.
type recorder struct {
	mu     sync.Mutex
	parts  map[string]int
	sweeps int
}

func (r *recorder) RemoveExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweeps++
}

func (r *recorder) WritePendingOutcomes(context.Context, int) int { return 0 }

func (r *recorder) ReapClaims(_ context.Context, part string, _ int) (action.ReapReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts[part]++
	return action.ReapReport{}, nil
}

// TestEachPartHasOneReaper: together the gateways look at every part, each at
// its own, at one list call per gateway and two minutes.
func TestEachPartHasOneReaper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := []string{"g1", "g2", "g3", "g4"}
		all := &recorder{parts: map[string]int{}}
		owners := map[string]*recorder{}
		var tombs []*tomb.Tomb
		for _, id := range ids {
			board := blackboard.New(blackboard.Self{ID: id})
			for _, peer := range ids {
				board.Peers.Set(peer, blackboard.PeerState{ID: peer})
			}
			owners[id] = &recorder{parts: map[string]int{}}
			c := &reaper.Controller{Actions: owners[id], Board: board}
			tb := &tomb.Tomb{}
			tb.Go(func() error { return c.Run(tb) })
			tombs = append(tombs, tb)
		}
		time.Sleep(4 * time.Hour)
		for i, id := range ids {
			tombs[i].Kill(nil)
			require.NoError(t, tombs[i].Wait())
			calls := 0
			for part, n := range owners[id].parts {
				calls += n
				require.Zero(t, all.parts[part], "part %s has two reapers", part)
				all.parts[part] = n
			}
			require.LessOrEqual(t, calls, 120)
			require.GreaterOrEqual(t, owners[id].sweeps, 1400)
		}
		require.Len(t, all.parts, action.ClaimPartitions)
	})
}
