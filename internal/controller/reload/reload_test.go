package reload

import (
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/settings"
)

// file is a settings file in memory.
type file struct {
	mu   sync.Mutex
	site settings.Site
	err  error
}

func (f *file) read() (*settings.Site, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.site
	return &s, f.err
}

func (f *file) set(seeds []string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.site.Seeds, f.err = seeds, err
}

func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &file{site: settings.Site{Instance: "a"}}
		first, _ := f.read()
		board := blackboard.NewEdge(first)
		hangup := make(chan struct{}, 1)
		c := New(board, f.read, hangup, log.New(io.Discard))
		var tb tomb.Tomb
		tb.Go(func() error { return c.Run(&tb) })
		seeds := func() []string { return board.Site.Get().Seeds }

		f.set([]string{"s1"}, nil)
		hangup <- struct{}{}
		time.Sleep(time.Millisecond)
		require.Equal(t, []string{"s1"}, seeds(), "at once after a signal")

		f.set([]string{"s2"}, nil)
		time.Sleep(interval + time.Millisecond)
		require.Equal(t, []string{"s2"}, seeds(), "soon without one")

		f.set([]string{"s3"}, io.ErrUnexpectedEOF)
		hangup <- struct{}{}
		time.Sleep(time.Millisecond)
		require.Equal(t, []string{"s2"}, seeds(), "faulty settings change nothing")

		before := board.Site.Get()
		f.set([]string{"s2"}, nil)
		time.Sleep(3 * interval)
		require.Same(t, before, board.Site.Get(), "the same settings are no change")
		tb.Kill(nil)
		require.NoError(t, tb.Wait())
	})
}

func TestNeedRestart(t *testing.T) {
	old := &settings.Site{Instance: "a", CallerAddress: "1", Seeds: []string{"x"}}
	next := &settings.Site{Instance: "a", CallerAddress: "2", StoreAddress: "3"}
	require.Equal(t, []string{"caller address", "store address"}, needRestart(old, next))
}
