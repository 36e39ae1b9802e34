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

// fakeFile is a settings file in memory.
type fakeFile struct {
	mu   sync.Mutex
	site settings.PlatformSettings
	err  error
}

func (f *fakeFile) read() (*settings.PlatformSettings, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.site
	return &s, f.err
}

func (f *fakeFile) set(seeds []string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.site.Seeds, f.err = seeds, err
}

func TestSettingsAreReloadedOnRequestAndPeriodically(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFile{site: settings.PlatformSettings{Instance: "a"}}
		first, _ := f.read()
		board := blackboard.NewEdge(first)
		settingsChanged := make(chan struct{}, 1)
		c := New(board, f.read, settingsChanged, log.New(io.Discard))
		var tb tomb.Tomb
		tb.Go(func() error { return c.Run(&tb) })
		seeds := func() []string { return board.Settings.Get().Seeds }

		f.set([]string{"s1"}, nil)
		settingsChanged <- struct{}{}
		time.Sleep(time.Millisecond)
		require.Equal(t, []string{"s1"}, seeds(), "reloaded at once on request")

		f.set([]string{"s2"}, nil)
		time.Sleep(pollInterval + time.Millisecond)
		require.Equal(t, []string{"s2"}, seeds(), "reloaded after the poll interval without a request")

		f.set([]string{"s3"}, io.ErrUnexpectedEOF)
		settingsChanged <- struct{}{}
		time.Sleep(time.Millisecond)
		require.Equal(t, []string{"s2"}, seeds(), "invalid settings leave the previous ones in force")

		before := board.Settings.Get()
		f.set([]string{"s2"}, nil)
		time.Sleep(3 * pollInterval)
		require.Same(t, before, board.Settings.Get(), "unchanged settings are not set again")
		tb.Kill(nil)
		require.NoError(t, tb.Wait())
	})
}

func TestChangesNeedingRestart(t *testing.T) {
	old := &settings.PlatformSettings{Instance: "a", CallerAddress: "1", Seeds: []string{"x"}}
	next := &settings.PlatformSettings{Instance: "a", CallerAddress: "2", StoreAddress: "3"}
	require.Equal(t, []string{"caller address", "store address"}, changesNeedingRestart(old, next))
}
