package memory

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
)

// TestMemoryIsReleasedOncePerBurst counts the releases of memory after one change
// and after a burst of changes.
func TestMemoryIsReleasedOncePerBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := blackboard.New(blackboard.Self{ID: "gw1"})
		c := New(board)
		var releases atomic.Int32
		c.release = func() { releases.Add(1) }
		var life tomb.Tomb
		life.Go(func() error { return c.Run(&life) })

		time.Sleep(time.Hour)
		require.Zero(t, releases.Load(), "nothing to release without a configuration")
		board.Intent.Set(blackboard.IntentState{Revision: 1})
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, releases.Load())
		for r := range uint64(8) {
			board.Intent.Set(blackboard.IntentState{Revision: 2 + r})
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		require.EqualValues(t, 2, releases.Load(), "one for the burst")
		life.Kill(nil)
		require.NoError(t, life.Wait())
	})
}
