package routesync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/store"
)

// slowSource delays the responses of a store.
type slowSource struct {
	*fakeSource
	delay time.Duration
	// waits holds the wait of each watch.
	waits []time.Duration
}

func (s *slowSource) Read(ctx context.Context) ([]Change, store.Revision, error) {
	changes, revision, err := s.fakeSource.Read(ctx)
	time.Sleep(s.delay)
	return changes, revision, err
}

func (s *slowSource) Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]Change, store.Revision, error) {
	s.waits = append(s.waits, wait)
	changes, revision, err := s.fakeSource.Watch(ctx, after, wait)
	time.Sleep(s.delay)
	return changes, revision, err
}

func (s *slowSource) ReadConfig(ctx context.Context) ([]Change, store.Revision, error) {
	changes, revision, err := s.fakeSource.ReadConfig(ctx)
	time.Sleep(s.delay)
	return changes, revision, err
}

// TestProofsDateFromTheStartOfCalls guards against a watch that counts as a proof of the
// time at which its response came.
func TestProofsDateFromTheStartOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowSource{fakeSource: newFakeSource(), delay: 3 * time.Second}
		s.addChange(Change{Routes: table(1)})
		c := newController(t, s)
		require.NoError(t, c.readAll(t.Context()))
		age, ok := c.Proofs.Age(c.Clock.Now())
		require.True(t, ok)
		require.Equal(t, 3*time.Second, age)
		require.NoError(t, c.watch(t.Context()))
		age, _ = c.Proofs.Age(c.Clock.Now())
		require.Equal(t, 3*time.Second+watchWait, age)
		require.NoError(t, c.ReadConfig(t.Context()))
		age, _ = c.Proofs.Age(c.Clock.Now())
		require.Equal(t, 3*time.Second, age)
		s.set(func() { s.down = true })
		require.Error(t, c.ReadConfig(t.Context()))
		require.Error(t, c.watch(t.Context()))
		age, _ = c.Proofs.Age(c.Clock.Now())
		require.Greater(t, age, 6*time.Second, "failed calls prove nothing")
	})
}

// TestReadConfigAdoptsTheConfiguration checks the read with which a gateway without
// answers of others keeps up.
func TestReadConfigAdoptsTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSource()
		s.addChange(Change{Routes: table(1)})
		s.addChange(Change{DataCentre: "north-a", Evacuate: true})
		c := newController(t, s)
		require.NoError(t, c.ReadConfig(t.Context()))
		require.EqualValues(t, 1, c.Board.Routes.Get().Version)
		require.Empty(t, c.Board.Evacuated.Get(), "it doesn't read evacuations")
		s.addChange(Change{Routes: table(2)})
		require.NoError(t, c.ReadConfig(t.Context()))
		require.EqualValues(t, 2, c.Board.Routes.Get().Version)
	})
}

// TestWatchesAreShorterForStrictRevocation checks that the calls of other deployments
// don't change.
func TestWatchesAreShorterForStrictRevocation(t *testing.T) {
	strict := &settings.PlatformSettings{Limits: settings.Limits{RevokeStrict: true, Revocation: 5 * time.Second}}
	for _, tc := range []struct {
		strict, accounts bool
		want             time.Duration
	}{{false, false, watchWait}, {true, false, watchWait}, {false, true, watchWait}, {true, true, 500 * time.Millisecond}} {
		c := newController(t, newFakeSource())
		if tc.strict {
			c.Board.Settings.Set(strict)
		}
		routes := table(1)
		if tc.accounts {
			routes.Accounts, _ = account.NewIndex(nil)
		}
		c.Board.Routes.Set(routes)
		require.Equal(t, tc.want, c.watchWait(time.Now()))
	}
}

// TestARestoreIsReadAgainInTime checks that everything is read right when operators have
// had time to write again, and that this read is the first proof after the restore.
func TestARestoreIsReadAgainInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowSource{fakeSource: newFakeSource()}
		s.era = 1
		s.addChange(Change{Routes: table(1)})
		c := newController(t, s)
		require.NoError(t, c.refresh(t.Context(), time.Now()))
		before, _ := c.Proofs.AsOf()
		time.Sleep(time.Second)
		s.set(func() { s.era = 2 })
		c.watchFrom = store.Revision{}
		restoredAt := time.Now()
		for time.Since(restoredAt) < RewriteTime {
			require.NoError(t, c.refresh(t.Context(), time.Now()))
			asOf, _ := c.Proofs.AsOf()
			require.Equal(t, before, asOf)
		}
		require.Equal(t, RewriteTime, time.Since(restoredAt), "the last watch ends in time")
		require.NoError(t, c.refresh(t.Context(), time.Now()))
		age, _ := c.Proofs.Age(c.Clock.Now())
		require.Zero(t, age)
	})
}

// TestVersionsInForceAreNotFetched guards against two fetches of each new version, of
// which heartbeats and proofs tell at about the same time.
func TestVersionsInForceAreNotFetched(t *testing.T) {
	c := newController(t, newFakeSource())
	c.Board.Routes.Set(table(5))
	require.True(t, c.Fetch(t.Context(), "unknown", 5))
	require.False(t, c.Fetch(t.Context(), "unknown", 6))
}

// TestFetchesForProofsDontQueue guards against goroutines that pile up, several a second, when
// a gateway answers with a newer version and fetches from it hang.
func TestFetchesForProofsDontQueue(t *testing.T) {
	c := newController(t, newFakeSource())
	c.Board.Routes.Set(table(5))
	release := make(chan struct{})
	_, started := c.startCatchUp(func(context.Context) bool { <-release; return false })
	require.True(t, started)
	done := make(chan bool)
	go func() { done <- c.Fetch(t.Context(), "unknown", 6) }()
	require.False(t, <-done, "another fetch is under way")
	require.True(t, c.Fetch(t.Context(), "unknown", 5))
	close(release)
	c.stopCatchUp()
}
