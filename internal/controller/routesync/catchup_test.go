package routesync

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/peerfetch"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/standin/memnet"
	"github.com/hickorystage/hickorystage/internal/standin/slowlink"
)

const largestConfig = 1 << 20

// paddedSource decodes configurations that consist of the version, a space and padding.
type paddedSource struct{ *fakeSource }

func (s paddedSource) Decode(raw []byte) (*route.Table, error) {
	version, _, _ := bytes.Cut(raw, []byte(" "))
	return s.fakeSource.Decode(version)
}

// largeConfig returns a configuration of version 8 that can't be compressed.
func largeConfig() []byte {
	raw := make([]byte, largestConfig)
	_, _ = rand.Read(raw)
	copy(raw, "8 ")
	return raw
}

// besideSlowLink runs test with a controller that has version 7 and a link that carries rate
// bytes per second. The gateway "reader" has version 8, of largestConfig bytes. hear lets the
// controller hear of it, and of evacuated data centres.
func besideSlowLink(t *testing.T, rate int, test func(c *Controller, hear func(evacuated ...string))) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSource()
		s.addChange(Change{Routes: table(7)})
		c := newController(t, paddedSource{s})
		c.Board.Settings.Set(&settings.PlatformSettings{Limits: settings.Limits{ConfigPropagation: 5 * time.Second, Evacuation: 5 * time.Second}})
		c.adopt(table(7))
		listener := memnet.Listen("reader")
		raw := largeConfig()
		server := &http.Server{Handler: peerfetch.Handler(peerfetch.Sources{Routes: func() []byte { return raw }})}
		served := make(chan error)
		go func() { served <- server.Serve(listener) }()
		c.Client = peerfetch.NewClient(slowlink.Dial(listener.Dial, rate), nil)
		reader := fleet.Gateway{ID: "reader", Incarnation: "1", Region: "north", MachineCapacity: 9, PeerAddress: "reader:1"}
		seq := uint64(0)
		hear := func(evacuated ...string) {
			seq++
			c.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: reader, Seq: seq}, time.Now())
			c.StoreStatus.Set("reader", fleet.StoreStatus{ConfigVersion: 8, Evacuated: evacuated, OperatorsAgeMillis: 100}, time.Now())
		}
		hear()
		var tb tomb.Tomb
		tb.Go(func() error { return c.Run(&tb) })
		test(c, hear)
		tb.Kill(nil)
		require.NoError(t, tb.Wait())
		require.NoError(t, server.Close())
		<-served
	})
}

// TestEvacuationIsInForceDuringALongFetch guards against an evacuation that waits until a large
// configuration has arrived.
func TestEvacuationIsInForceDuringALongFetch(t *testing.T) {
	besideSlowLink(t, largestConfig/3, func(c *Controller, hear func(...string)) {
		for range 4 {
			time.Sleep(250 * time.Millisecond)
			hear()
		}
		hear("north-a")
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, map[string]bool{"north-a": true}, c.Board.Evacuated.Get())
		require.Equal(t, uint64(7), version(c), "the fetch is under way")
		for range 16 {
			time.Sleep(250 * time.Millisecond)
			hear("north-a")
		}
		require.Equal(t, uint64(8), version(c))
	})
}

// TestFetchOutlastsTheRequestsThatWaitForIt guards against a fetch that is begun anew with each
// forwarded request, none of which waits for as long as it takes.
func TestFetchOutlastsTheRequestsThatWaitForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := memnet.Listen("reader")
		raw := largeConfig()
		server := &http.Server{Handler: peerfetch.Handler(peerfetch.Sources{Routes: func() []byte { return raw }})}
		served := make(chan error)
		go func() { served <- server.Serve(listener) }()
		c := newController(t, paddedSource{newFakeSource()})
		c.adopt(table(7))
		c.Client = peerfetch.NewClient(slowlink.Dial(listener.Dial, slowlink.TenMegabits), nil)
		c.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: "reader", Incarnation: "1", Region: "north", PeerAddress: "reader:1"}, Seq: 1}, time.Now())
		for range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			require.False(t, c.Fetch(ctx, "reader", 8))
			<-ctx.Done()
			cancel()
		}
		require.Equal(t, uint64(8), version(c))
		c.stopCatchUp()
		require.NoError(t, server.Close())
		<-served
	})
}
