package app

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/settings"
)

// TestPeersAreRefusedAsNotRun guards against a listener for gateways whose refusals for lack of
// a place don't say that the request has not run.
func TestPeersAreRefusedAsNotRun(t *testing.T) {
	a := New(&settings.Gateway{
		ID: "gw1", Region: "r1", DataCentre: "r1-1", PeerSecrets: []string{"a-secret-of-the-gateways"},
		StoreURL: "http://127.0.0.1:1", DirectoryURL: "http://127.0.0.1:1", InstancesURL: "http://127.0.0.1:1",
	}, TCP{}, log.New(io.Discard))
	// One place: a request finds no second one.
	a.pool.SetBounds(201, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- a.peerServer.Serve(l) }()
	resp, err := http.Get("http://" + l.Addr().String() + "/")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	for name, values := range relay.NotRunHeader() {
		require.Equal(t, values, resp.Header[name])
	}
	require.NoError(t, a.peerServer.Close())
	require.NoError(t, <-done)
}
