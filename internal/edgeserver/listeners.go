package edgeserver

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorystage/hickorystage/internal/connlimit"
	"github.com/hickorystage/hickorystage/internal/edge"
	"github.com/hickorystage/hickorystage/internal/httpserver"
	"github.com/hickorystage/hickorystage/internal/peerfetch"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// listeningServer is an HTTP server with its open listener.
type listeningServer struct {
	*httpserver.Server
	listener net.Listener
}

// ListenError reports a listener that could not be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Limits of the listeners where the configuration sets none, or there is none yet.
const (
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultMaxHeaderBytes = 64 << 10
)

const (
	// minPeerIdleTimeout is longer than gateways keep unused connections to each other,
	// which is up to 5 s.
	minPeerIdleTimeout = 10 * time.Second
	// peerHeaderFactor covers what a head grows by when it is forwarded: the names of lines
	// of 4 bytes are written with a space, and the forwarding gateway adds lines.
	peerHeaderFactor = 2
)

// callerLimits returns the limits that the configuration in force sets for callers.
func (s *Server) callerLimits() httpserver.Limits {
	var configured route.Limits
	if table := s.board.Routes.Get(); table != nil {
		configured = table.Limits
	}
	out := httpserver.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultMaxHeaderBytes}
	if configured.HeaderTimeout > 0 {
		out.HeaderTimeout = httpserver.WithMargin(configured.HeaderTimeout)
	}
	if configured.IdleTimeout > 0 {
		out.IdleTimeout = httpserver.WithMargin(configured.IdleTimeout)
	}
	if configured.MaxHeaderBytes > 0 {
		out.MaxHeaderBytes = configured.MaxHeaderBytes
	}
	return out
}

// peerLimits returns the limits for other gateways.
func (s *Server) peerLimits() httpserver.Limits {
	out := s.callerLimits()
	out.IdleTimeout = max(out.IdleTimeout, minPeerIdleTimeout)
	// A connection that a gateway has opened and not needed is used as late as others. Before
	// its first request, the header timeout applies to it.
	out.HeaderTimeout = max(out.HeaderTimeout, minPeerIdleTimeout)
	out.MaxHeaderBytes = max(peerHeaderFactor*out.MaxHeaderBytes, defaultMaxHeaderBytes)
	return out
}

// openListeners opens the servers of callers, readiness, other gateways, metrics and
// the directory. The last two are optional.
func (s *Server) openListeners(site *settings.PlatformSettings) error {
	callers := httpserver.Config{Limits: s.callerLimits, Pool: s.pool, Group: connlimit.Callers}
	internal := httpserver.Config{Limits: s.peerLimits, Pool: s.pool, Group: connlimit.Internal}
	peers := internal
	peers.RefusalHeader = edge.NotRunHeader()
	var err error
	if s.callerServer, err = s.openServer(site.CallerAddress, s.edge.CallerHandler(), callers); err != nil {
		return err
	}
	if _, err = s.openServer(site.ReadyAddress, s.platform.NewReadinessHandler(s.edge.IsReady), internal); err != nil {
		return err
	}
	if s.peerServer, err = s.openServer(site.PeerAddress, s.edge.PeerHandler(peerfetch.Handler(peerfetch.Sources{
		Endpoints:      s.endpointEntries,
		EndpointsSince: s.endpointChanges,
		Routes:         s.rawRoutes,
		StoreStatus:    s.knownStoreStatus,
	})), peers); err != nil {
		return err
	}
	if s.platform.MetricsPort > 0 {
		address := net.JoinHostPort(site.IP, strconv.Itoa(s.platform.MetricsPort))
		if _, err = s.openServer(address, telemetry.MetricsHandler(), internal); err != nil {
			return err
		}
	}
	if site.DirectoryAddress == "" {
		return nil
	}
	_, err = s.openServer(site.DirectoryAddress, s.platform.NewDirectoryHandler(s.edge.Addresses), callers)
	return err
}

// openServer adds a server for h that listens on the TCP address (host:port).
func (s *Server) openServer(address string, h http.Handler, config httpserver.Config) (*listeningServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	srv := &listeningServer{listener: l, Server: httpserver.New(h, config)}
	s.servers = append(s.servers, srv)
	return srv, nil
}
