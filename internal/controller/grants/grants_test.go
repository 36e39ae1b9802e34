package grants

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/endpointload"
)

// decider grants every question the endpoint that its key names.
type decider struct{ asked atomic.Int64 }

func (d *decider) Grant(q Request, _ time.Time) Response {
	d.asked.Add(1)
	if q.RankKey == "" {
		return Response{Reason: "full", EstimateMillis: 700}
	}
	return Response{Endpoint: "at " + q.RankKey, EstimateMillis: q.EstimateLimitMillis, CachedTokens: q.Segments[0].Tokens}
}

func listen(t *testing.T) net.PacketConn {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// start runs a controller on loopback.
func start(t *testing.T, d Coordinator) (*Controller, string) {
	conn := listen(t)
	c := New(conn, log.New(io.Discard))
	c.SetCoordinator(d)
	tb := new(tomb.Tomb)
	tb.Go(func() error { return c.Run(tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		require.NoError(t, tb.Wait())
	})
	return c, conn.LocalAddr().String()
}

func TestAskAndAnswer(t *testing.T) {
	d := &decider{}
	asker, _ := start(t, &decider{})
	_, address := start(t, d)
	q := Request{Service: "s", RankKey: "k", EstimateLimitMillis: 40, Segments: []endpointload.Segment{{PrefixHash: 7, Tokens: 512}}}
	a, err := asker.RequestGrant(t.Context(), "g2", address, q)
	require.NoError(t, err)
	require.Equal(t, Response{Endpoint: "at k", EstimateMillis: 40, CachedTokens: 512}, a)
	a, err = asker.RequestGrant(t.Context(), "g2", address, Request{})
	require.NoError(t, err)
	require.Empty(t, a.Endpoint)
	require.Equal(t, 700*time.Millisecond, a.Estimate())
	require.EqualValues(t, 2, d.asked.Load())
	require.Empty(t, asker.waiting)
}

// TestSilentGatewaysAreLeftAlone asks a socket that nobody reads.
func TestSilentGatewaysAreLeftAlone(t *testing.T) {
	asker, _ := start(t, &decider{})
	silent := listen(t).LocalAddr().String()
	var none *NoResponseError
	_, err := asker.RequestGrant(t.Context(), "g2", silent, Request{})
	require.ErrorAs(t, err, &none)
	require.True(t, asker.isQuiet("g2", time.Now()))
	_, err = asker.RequestGrant(t.Context(), "g2", silent, Request{})
	require.ErrorAs(t, err, &none, "it is not asked again at once")
	require.EqualValues(t, 1, asker.number)
	require.False(t, asker.isQuiet("g2", time.Now().Add(quietTime)), "but later")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = asker.RequestGrant(ctx, "g3", silent, Request{})
	require.ErrorIs(t, err, context.Canceled)
	require.False(t, asker.isQuiet("g3", time.Now()), "the caller's leaving says nothing of the gateway")
}

// TestStrayDatagrams sends what is no question, answers that nobody waits for,
// and one answer twice.
func TestStrayDatagrams(t *testing.T) {
	asker, address := start(t, &decider{})
	stray := listen(t)
	to, err := net.ResolveUDPAddr("udp", address)
	require.NoError(t, err)
	for _, text := range []string{"", "{", `{"n":1}`, `{"n":9,"a":{"e":"x"}}`, `{"q":7}`, "\x00\xff"} {
		_, err := stray.WriteTo([]byte(text), to)
		require.NoError(t, err)
	}
	number, ch := asker.begin()
	require.True(t, asker.deliver(number, Response{Endpoint: "e"}))
	require.False(t, asker.deliver(number, Response{Endpoint: "f"}))
	require.Equal(t, "e", (<-ch).Endpoint)
	_, other := start(t, &decider{})
	_, err = asker.RequestGrant(t.Context(), "g2", other, Request{})
	require.NoError(t, err, "it still works")
}
