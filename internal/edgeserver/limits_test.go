package edgeserver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/httpserver"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
)

// TestLimitsFollowTheConfiguration guards against fixed limits, against timeouts that a
// client within the configured ones reaches, and against closing connections that other
// gateways are about to use.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	s := &Server{board: blackboard.NewEdge(&settings.PlatformSettings{})}
	defaults := httpserver.Limits{HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 64 << 10}
	require.Equal(t, defaults, s.callerLimits(), "no configuration yet")
	s.board.Routes.Set(route.NewTable(1, nil, nil, route.Limits{}))
	require.Equal(t, defaults, s.callerLimits(), "none configured")
	s.board.Routes.Set(route.NewTable(2, nil, nil, route.Limits{MaxHeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 4 * time.Second}))
	require.Equal(t, httpserver.Limits{HeaderTimeout: 3750 * time.Millisecond, IdleTimeout: 5 * time.Second, MaxHeaderBytes: 16384}, s.callerLimits())
	require.Equal(t, httpserver.Limits{HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second, MaxHeaderBytes: 64 << 10}, s.peerLimits())
	s.board.Routes.Set(route.NewTable(3, nil, nil, route.Limits{MaxHeaderBytes: 60 << 10, IdleTimeout: time.Minute}))
	require.Equal(t, httpserver.Limits{HeaderTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second, MaxHeaderBytes: 120 << 10}, s.peerLimits())
}
