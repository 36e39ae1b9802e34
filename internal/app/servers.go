package app

import (
	"net"
	"time"

	"github.com/hickorystage/hickorystage/internal/connlimit"
	"github.com/hickorystage/hickorystage/internal/httpserver"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

// Limits of the HTTP servers.
const (
	maxHeaderBytes = 32 << 10
	// peerHeaderBytes covers what a head grows by when it is forwarded.
	peerHeaderBytes = 2 * maxHeaderBytes
	// internalIdleTimeout is longer than gateways and operators keep unused connections.
	internalIdleTimeout = 2 * time.Minute
	// peerReadTimeout limits the time to read the headers, and the time to read a whole
	// request, of other gateways and of operators.
	peerReadTimeout = 5 * time.Second
)

// listeners holds the open listeners of a gateway.
type listeners struct{ callers, peers, admin net.Listener }

func (a *App) newServers(signer *peer.Signer) {
	peers := peer.NewServer(signer, a.settings.PeerAdvertise, a.memory, peer.Handlers{
		Exchange:  a.gossip.HandleExchange,
		Snapshot:  a.snapshot,
		Endpoints: func() []peer.Endpoint { return a.gateway.Membership.Endpoints(time.Now()) },
		Announce: func(list []datastore.PrefillAnnouncement) {
			a.gateway.SchedulerData.ApplyAnnouncements(list, time.Now())
		},
		Owner:         a.gateway.OwnerHandlers(),
		RefuseForward: a.gateway.RefuseForward,
		Forward:       a.gateway.ForwardHandler(),
	})
	callers := a.limits(httpserver.WithMargin(a.settings.HeaderTimeout), httpserver.WithMargin(a.settings.IdleTimeout), maxHeaderBytes)
	callers.Group = connlimit.Callers
	internal := a.limits(peerReadTimeout, internalIdleTimeout, peerHeaderBytes)
	internal.ReadTimeout = peerReadTimeout
	peerConfig := internal
	peerConfig.RefusalHeader = relay.NotRunHeader()
	a.callerServer = httpserver.New(a.gateway.CallerHandler(), callers)
	a.peerServer = httpserver.New(peers.Handler(), peerConfig)
	a.adminServer = httpserver.New(a.gateway.AdminHandler(), internal)
}

// limits returns the configuration of a server that shares the pool with the others.
func (a *App) limits(headerTimeout, idleTimeout time.Duration, maxHeader int) httpserver.Config {
	l := httpserver.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	return httpserver.Config{Limits: func() httpserver.Limits { return l }, Pool: a.pool, Group: connlimit.Internal}
}

func (a *App) snapshot() ([]byte, uint64) {
	state := a.board.Intent.Get()
	return state.Snapshot, state.Revision
}

// ListenError reports that a listener could not be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// listen opens all listeners, or none if one of them fails.
func (a *App) listen() (*listeners, error) {
	var out listeners
	var opened []net.Listener
	for _, l := range []struct {
		address string
		dst     *net.Listener
	}{
		{a.settings.Listen, &out.callers},
		{a.settings.PeerListen, &out.peers},
		{a.settings.AdminListen, &out.admin},
	} {
		ln, err := a.network.Listen(l.address)
		if err != nil {
			for _, o := range opened {
				_ = o.Close()
			}
			return nil, &ListenError{Address: l.address, Cause: err}
		}
		opened = append(opened, ln)
		*l.dst = ln
	}
	return &out, nil
}

func (a *App) serve(l *listeners) {
	for _, s := range []struct {
		server *httpserver.Server
		ln     net.Listener
	}{{a.callerServer, l.callers}, {a.peerServer, l.peers}, {a.adminServer, l.admin}} {
		a.tomb.Go(func() error { return s.server.Serve(s.ln) })
	}
}
