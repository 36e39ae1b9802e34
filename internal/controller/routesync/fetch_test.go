package routesync

import (
	"context"
	"net"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/peerfetch"
	"github.com/hickorystage/hickorystage/internal/settings"
)

// neverConnects is the dial function of a network that loses all segments.
func neverConnects(ctx context.Context, _, _ string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	<-ctx.Done()
	return nil, ctx.Err()
}

// besideUnreachableReader runs test with a controller that hears the store reader of its
// region four times a second but can't connect to it. hear lets it hear the reader for a time.
func besideUnreachableReader(t *testing.T, test func(c *Controller, s *fakeSource, hear func(time.Duration))) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 250 * time.Millisecond
		s := newFakeSource()
		c := newController(t, s)
		c.Client = peerfetch.NewClient(neverConnects, nil)
		c.Board.Settings.Set(&settings.PlatformSettings{Limits: settings.Limits{ConfigPropagation: 3 * time.Second, Evacuation: 5 * time.Second}})
		reader := fleet.Gateway{ID: "reader", Incarnation: "1", Region: "north", MachineCapacity: 9, PeerAddress: "192.0.2.1:1"}
		seq := uint64(0)
		hear := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
				seq++
				c.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: reader, Seq: seq}, time.Now())
				var version uint64
				s.set(func() { version = s.version })
				c.StoreStatus.Set("reader", fleet.StoreStatus{ConfigVersion: version, OperatorsAgeMillis: 100}, time.Now())
			}
		}
		var tb tomb.Tomb
		s.addChange(Change{Routes: table(7)})
		tb.Go(func() error { return c.Run(&tb) })
		defer func() {
			tb.Kill(nil)
			require.NoError(t, tb.Wait())
			time.Sleep(2 * time.Second) // The last dial gives up.
		}()
		hear(2 * time.Second)
		require.Equal(t, uint64(7), version(c), "a gateway without a configuration reads the store")
		test(c, s, hear)
	})
}

// TestChangeIsInForceInTimeThoughItCannotBeFetched guards against a gateway that keeps an old
// version, however many follow it, while a cut in one direction lets it only hear the store
// reader.
func TestChangeIsInForceInTimeThoughItCannotBeFetched(t *testing.T) {
	besideUnreachableReader(t, func(c *Controller, s *fakeSource, hear func(time.Duration)) {
		for next := uint64(8); next <= 12; next++ {
			s.addChange(Change{Routes: table(next)})
			hear(3 * time.Second)
			require.Equal(t, next, version(c))
		}
		before := s.callCount()
		hear(20 * time.Second)
		require.Equal(t, before, s.callCount(), "the store is not called once the version is in force")
	})
}

// TestUnfetchableChangeCallsTheStoreSeldomWhileItIsAway guards against a call for each status.
func TestUnfetchableChangeCallsTheStoreSeldomWhileItIsAway(t *testing.T) {
	besideUnreachableReader(t, func(c *Controller, s *fakeSource, hear func(time.Duration)) {
		s.addChange(Change{Routes: table(8)})
		s.set(func() { s.down = true })
		before := s.callCount()
		hear(20 * time.Second)
		require.Equal(t, uint64(7), version(c))
		require.LessOrEqual(t, s.callCount()-before, 40, strconv.Itoa(s.callCount()-before)+" calls in 20 s")
		s.set(func() { s.down = false })
		hear(3 * time.Second)
		require.Equal(t, uint64(8), version(c))
	})
}

// TestFetchThatFailsForAMomentDoesNotCallTheStore guards against a region whose gateways all read
// the store, since they all fetch from one gateway at the same time.
func TestFetchThatFailsForAMomentDoesNotCallTheStore(t *testing.T) {
	besideUnreachableReader(t, func(c *Controller, s *fakeSource, hear func(time.Duration)) {
		s.addChange(Change{Routes: table(8)})
		before := s.callCount()
		hear(1500 * time.Millisecond)
		require.Equal(t, before, s.callCount())
	})
}
