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
	"github.com/hickorystage/hickorystage/internal/requestlimit"
)

// fakeCoordinator grants each request at an endpoint named after its rank key,
// and refuses requests without one.
type fakeCoordinator struct{ requests atomic.Int64 }

func (c *fakeCoordinator) Grant(req Request, _ time.Time) Response {
	c.requests.Add(1)
	if req.RankKey == "" {
		return Response{Reason: "full", EstimateMillis: 700}
	}
	return Response{Endpoint: "at " + req.RankKey, EstimateMillis: req.EstimateLimitMillis, CachedTokens: req.Segments[0].Tokens}
}

// Release counts as a request.
func (c *fakeCoordinator) Release(Release, time.Time) { c.requests.Add(1) }

// Permit permits requests to endpoints whose limit is at least 1 a second.
func (c *fakeCoordinator) Permit(req PermitRequest, _ time.Time) PermitResponse {
	return PermitResponse{Granted: req.Limit.PerSecond >= 1, HoldMillis: 300}
}

func listen(t *testing.T) net.PacketConn {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// start runs a controller on a loopback address and returns the address.
func start(t *testing.T, coordinator Coordinator) (*Controller, string) {
	return startWith(t, listen(t), coordinator, func(*Controller) {})
}

// startOn is start with the given connection.
func startOn(t *testing.T, conn net.PacketConn, coordinator Coordinator) (*Controller, string) {
	return startWith(t, conn, coordinator, func(*Controller) {})
}

// startWith is startOn with a further set-up.
func startWith(t *testing.T, conn net.PacketConn, coordinator Coordinator, setUp func(*Controller)) (*Controller, string) {
	c := New(conn, log.New(io.Discard))
	c.SetCoordinator(coordinator)
	setUp(c)
	tb := new(tomb.Tomb)
	tb.Go(func() error { return c.Run(tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		require.NoError(t, tb.Wait())
	})
	return c, conn.LocalAddr().String()
}

func TestRequestGrant(t *testing.T) {
	coordinator := &fakeCoordinator{}
	requester, _ := start(t, &fakeCoordinator{})
	_, address := start(t, coordinator)
	req := Request{Service: "s", RankKey: "k", EstimateLimitMillis: 40, Segments: []endpointload.Segment{{PrefixHash: 7, Tokens: 512}}}
	resp, err := requester.RequestGrant(t.Context(), "g2", address, req)
	require.NoError(t, err)
	require.Equal(t, Response{Endpoint: "at k", EstimateMillis: 40, CachedTokens: 512}, resp)
	resp, err = requester.RequestGrant(t.Context(), "g2", address, Request{})
	require.NoError(t, err)
	require.Empty(t, resp.Endpoint)
	require.Equal(t, 700*time.Millisecond, resp.Estimate())
	require.EqualValues(t, 2, coordinator.requests.Load())
	require.Empty(t, requester.pending)
}

// TestSilentGatewaysAreLeftAlone sends requests to a socket that nobody reads.
func TestSilentGatewaysAreLeftAlone(t *testing.T) {
	requester, _ := start(t, &fakeCoordinator{})
	silent := listen(t).LocalAddr().String()
	var noResponse *NoResponseError
	_, err := requester.RequestGrant(t.Context(), "g2", silent, Request{})
	require.ErrorAs(t, err, &noResponse)
	require.True(t, requester.isUnresponsive("g2", time.Now()))
	_, err = requester.RequestGrant(t.Context(), "g2", silent, Request{})
	require.ErrorAs(t, err, &noResponse, "no second request is sent at once")
	require.EqualValues(t, 1, requester.lastRequestID)
	require.False(t, requester.isUnresponsive("g2", time.Now().Add(unresponsiveBackoff)), "the gateway gets requests again later")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = requester.RequestGrant(ctx, "g3", silent, Request{})
	require.ErrorIs(t, err, context.Canceled)
	require.False(t, requester.isUnresponsive("g3", time.Now()), "a cancelled request doesn't mark the gateway as unresponsive")
}

// TestUnexpectedDatagramsAreIgnored sends malformed datagrams, responses to no
// outstanding request, and two responses to one request.
func TestUnexpectedDatagramsAreIgnored(t *testing.T) {
	requester, address := start(t, &fakeCoordinator{})
	stray := listen(t)
	to, err := net.ResolveUDPAddr("udp", address)
	require.NoError(t, err)
	for _, text := range []string{"", "{", `{"n":1}`, `{"n":9,"a":{"e":"x"}}`, `{"q":7}`, "\x00\xff"} {
		_, err := stray.WriteTo([]byte(text), to)
		require.NoError(t, err)
	}
	requestID, ch := requester.register()
	require.True(t, requester.deliver(message{RequestID: requestID, Response: &Response{Endpoint: "e"}}))
	require.False(t, requester.deliver(message{RequestID: requestID, Response: &Response{Endpoint: "f"}}))
	require.Equal(t, "e", (<-ch).Response.Endpoint)
	_, other := start(t, &fakeCoordinator{})
	_, err = requester.RequestGrant(t.Context(), "g2", other, Request{})
	require.NoError(t, err, "the controller still answers requests")
}

func TestRequestPermit(t *testing.T) {
	requester, _ := start(t, &fakeCoordinator{})
	_, address := start(t, &fakeCoordinator{})
	for perSecond, granted := range map[float64]bool{2: true, 0.5: false} {
		resp, err := requester.RequestPermit(t.Context(), "g2", address, PermitRequest{Limit: requestlimit.Limit{ID: "e", PerSecond: perSecond}})
		require.NoError(t, err)
		require.Equal(t, granted, resp.Granted)
		require.Equal(t, 300*time.Millisecond, resp.Hold())
	}
	silent := listen(t).LocalAddr().String()
	var noResponse *NoResponseError
	_, err := requester.RequestPermit(t.Context(), "g3", silent, PermitRequest{})
	require.ErrorAs(t, err, &noResponse)
}
