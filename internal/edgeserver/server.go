// Package edgeserver assembles a gateway that serves routes on the platform: it
// wires the parts, runs the controllers and the listeners, and stops them
// gracefully.
package edgeserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/budget"
	"github.com/hickorystage/hickorystage/internal/controller"
	"github.com/hickorystage/hickorystage/internal/controller/discovery"
	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/controller/heartbeat"
	"github.com/hickorystage/hickorystage/internal/controller/peerlist"
	"github.com/hickorystage/hickorystage/internal/controller/reload"
	"github.com/hickorystage/hickorystage/internal/controller/routesync"
	"github.com/hickorystage/hickorystage/internal/controller/stats"
	"github.com/hickorystage/hickorystage/internal/edge"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/peerfetch"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/store"
	"github.com/hickorystage/hickorystage/internal/telemetry"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// Platform is what the gateway uses of the platform that it runs on.
type Platform struct {
	// Settings returns the settings of the site as they are now.
	Settings func() (*settings.Site, error)
	// SettingsChanged has a value when the settings have changed.
	SettingsChanged <-chan struct{}
	Store           store.Store
	OperatorSource  routesync.Source
	EndpointSource  discovery.Source
	Codec           httpmeta.HeaderCodec
	// MetricsPort is the port of the counters; 0 serves none.
	MetricsPort int
	// NewDirectoryHandler and Readiness make the handlers of their listeners.
	NewDirectoryHandler func(addresses func(host, region string) ([]string, time.Duration)) http.Handler
	NewReadinessHandler func(ready func() bool) http.Handler
}

// Server is one gateway process.
type Server struct {
	platform Platform
	logger   *log.Logger
	board    *blackboard.Edge
	edge     *edge.Edge
	registry *fleet.Registry
	gateways *fleet.Gateways

	controllers []controller.Controller
	servers     []*server
	callers     *server
	tomb        tomb.Tomb
}

// server is one listener with what it serves.
type server struct {
	*http.Server
	listener net.Listener
}

// New assembles a gateway and opens its listeners. Nothing runs yet.
func New(site *settings.Site, p Platform, logger *log.Logger) (*Server, error) {
	a := &Server{platform: p, logger: logger, board: blackboard.NewEdge(site)}
	beatAddress := net.JoinHostPort(site.IP, strconv.Itoa(site.FirstPort))
	grantAddress := net.JoinHostPort(site.IP, strconv.Itoa(site.FirstPort+1))
	a.gateways = fleet.NewGateways(fleet.Gateway{
		ID:               site.Instance,
		Incarnation:      uuid.NewString(),
		Region:           site.Region,
		DataCentre:       site.DataCentre,
		CallerAddress:    site.CallerAddress,
		PeerAddress:      site.PeerAddress,
		HeartbeatAddress: beatAddress,
		GrantAddress:     grantAddress,
		MachineCapacity:  strength(site),
	})
	a.registry = fleet.NewRegistry(site.Regions)
	accounts := endpointload.New()
	conn, err := net.ListenPacket("udp", beatAddress)
	if err != nil {
		return nil, &ListenError{Address: beatAddress, Cause: err}
	}
	grantConn, err := net.ListenPacket("udp", grantAddress)
	if err != nil {
		return nil, &ListenError{Address: grantAddress, Cause: err}
	}
	asking := grants.New(grantConn, logger)
	a.edge = edge.New(edge.Config{
		Board:       a.board,
		Registry:    a.registry,
		Gateways:    a.gateways,
		Codec:       p.Codec,
		Loads:       accounts,
		RetryBudget: budget.NewRetryBudget(retrySettings(site)),
		ColdStarts:  budget.NewColdStartLimiter(coldSettings(site)),
		Near:        transport.New(transport.NewDialFunc(), transport.LocalDialTimeout),
		Far:         transport.New(transport.NewDialFunc(), transport.RemoteDialTimeout),
		Grants:      asking,
		Logger:      logger,
	})
	asking.SetCoordinator(a.edge)
	words := fleet.NewLatestStoreStatus()
	client := peerfetch.NewClient(transport.NewDialFunc())
	a.controllers = []controller.Controller{
		routesync.New(routesync.Config{
			Board: a.board, Gateways: a.gateways, StoreStatus: words, Source: p.OperatorSource, Client: client, StartupWait: patience(site), Logger: logger,
		}),
		discovery.New(discovery.Config{
			Board: a.board, Registry: a.registry, Gateways: a.gateways, StoreStatus: words,
			Source: p.EndpointSource, Client: client, StartupWait: patience(site), OnRemoved: a.edge.Forget, Logger: logger,
		}),
		peerlist.New(a.board, p.Store, a.gateways, logger),
		stats.New(logger),
		asking,
		reload.New(a.board, p.Settings, p.SettingsChanged, logger),
		heartbeat.New(heartbeat.Config{
			Board: a.board, Gateways: a.gateways, Loads: accounts, StoreStatus: words, OwnStoreStatus: a.word,
			Conn: conn, Seeds: seedBeats(site), Logger: logger,
		}),
	}
	return a, a.listen(site)
}

// strength is the number of Mbit/s and thousandths of a core that a machine has,
// whichever is less.
func strength(s *settings.Site) int {
	return int(min(s.LinkMbps, thousandths*s.Processor))
}

const thousandths = 1000

// startPatience is how long a gateway waits at its start for the word of one
// that has read the store: a few beats, and the start of the others.
const startPatience = 800 * time.Millisecond

// patience returns the wait of a gateway at its start. Seeds don't wait: the
// others hear from them.
func patience(s *settings.Site) time.Duration {
	if len(s.Seeds) == 0 || slices.Contains(s.Seeds, s.PeerAddress) {
		return 0
	}
	return startPatience
}

// seedBeats returns the beat addresses of the seeds, which are given by their
// addresses for other gateways. Ports are the same on all machines.
func seedBeats(s *settings.Site) []string {
	var out []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(s.FirstPort)))
		}
	}
	return out
}

// word is what this gateway has read from the store.
func (a *Server) word(now time.Time) fleet.StoreStatus {
	w := fleet.StoreStatus{
		EndpointsFingerprint: a.registry.Fingerprint(),
		Evacuated:            routesync.SortedNames(a.board.Evacuated.Get()),
		EndpointsAgeMillis:   age(a.board.EndpointsReadAt.Get(), now),
		OperatorsAgeMillis:   age(a.board.OperatorsReadAt.Get(), now),
	}
	if routes := a.board.Routes.Get(); routes != nil {
		w.ConfigVersion = routes.Version
	}
	return w
}

// age returns the milliseconds since at; a great many if that is never.
func age(at, now time.Time) int64 {
	if at.IsZero() {
		return int64(time.Hour / time.Millisecond)
	}
	return now.Sub(at).Milliseconds()
}

// endpoints returns what other gateways may take over from this one.
func (a *Server) endpoints() []fleet.Endpoint {
	if !a.board.Discovered.Get() {
		return nil
	}
	return a.registry.Entries(time.Now())
}

func (a *Server) rawRoutes() []byte {
	if routes := a.board.Routes.Get(); routes != nil {
		return routes.Raw
	}
	return nil
}

func retrySettings(s *settings.Site) budget.RetrySettings {
	return budget.RetrySettings{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow}
}

// coldSenders is the number of gateways that may take themselves for the one
// that sends to a cold endpoint, while a change of the fleet gets around.
const coldSenders = 3

func coldSettings(s *settings.Site) budget.ColdStartSettings {
	return budget.ColdStartSettings{Overage: s.Bounds.ColdOverage, Slack: s.Bounds.ColdSlack, ConcurrentSenders: coldSenders}
}

// followSite passes changed settings of the site on to the parts.
func (a *Server) followSite() error {
	for {
		site, changed := a.board.Site.Watch()
		a.edge.RetryBudget.Configure(retrySettings(site))
		a.edge.ColdStarts.Configure(coldSettings(site))
		a.registry.SetRegions(site.Regions)
		select {
		case <-a.tomb.Dying():
			return nil
		case <-changed:
		}
	}
}

// ListenError says that a listener could not be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Limits of the listeners.
const (
	// headerTimeout and idleTimeout are at least what operators let callers
	// take.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

func (a *Server) listen(site *settings.Site) error {
	var err error
	if a.callers, err = a.open(site.CallerAddress, a.edge.CallerHandler()); err != nil {
		return err
	}
	if _, err = a.open(site.ReadyAddress, a.platform.NewReadinessHandler(a.edge.Ready)); err != nil {
		return err
	}
	if _, err = a.open(site.PeerAddress, a.edge.PeerHandler(peerfetch.Handler(peerfetch.Sources{
		Endpoints: a.endpoints,
		Routes:    a.rawRoutes,
	}))); err != nil {
		return err
	}
	if a.platform.MetricsPort > 0 {
		address := net.JoinHostPort(site.IP, strconv.Itoa(a.platform.MetricsPort))
		if _, err = a.open(address, telemetry.TextHandler()); err != nil {
			return err
		}
	}
	if site.DirectoryAddress == "" {
		return nil
	}
	_, err = a.open(site.DirectoryAddress, a.platform.NewDirectoryHandler(a.edge.Addresses))
	return err
}

func (a *Server) open(address string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	s := &server{listener: l, Server: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}
	a.servers = append(a.servers, s)
	return s, nil
}

// Run serves until the context ends, then stops gracefully.
func (a *Server) Run(ctx context.Context) error {
	self := a.gateways.Self()
	a.logger.Info("starting", "region", self.Region, "data_centre", self.DataCentre, "incarnation", self.Incarnation, "seeds", a.board.Site.Get().Seeds, "strength", self.MachineCapacity)
	for _, s := range a.servers {
		a.tomb.Go(func() error {
			if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	for _, c := range a.controllers {
		a.tomb.Go(func() error { return errors.Wrapf(c.Run(&a.tomb), "controller %s", c.Name()) })
	}
	a.tomb.Go(a.becomeReady)
	a.tomb.Go(a.followSite)
	select {
	case <-ctx.Done():
		a.stop()
	case <-a.tomb.Dying():
	}
	a.tomb.Kill(nil)
	for _, s := range a.servers {
		_ = s.Close()
	}
	return a.tomb.Wait()
}

// becomeReady begins to serve once configuration and endpoints are known.
func (a *Server) becomeReady() error {
	for {
		routes, routesChanged := a.board.Routes.Watch()
		known, knownChanged := a.board.Discovered.Watch()
		if routes != nil && known {
			break
		}
		select {
		case <-a.tomb.Dying():
			return nil
		case <-routesChanged:
		case <-knownChanged:
		}
	}
	a.board.Lifecycle.Update(func(old blackboard.Lifecycle) (blackboard.Lifecycle, bool) {
		return blackboard.Serving, old == blackboard.Starting
	})
	a.logger.Info("serving", "routes", a.board.Routes.Get().Version)
	return nil
}

const (
	// acceptAfterStop is how long a stopping gateway still takes requests of
	// callers that have not heard of its leaving.
	acceptAfterStop = 1200 * time.Millisecond
	// lingerAfterStop is how long it still answers other gateways, which may
	// have sent requests on before they heard of its leaving.
	lingerAfterStop = 2500 * time.Millisecond
	// stopMargin is kept free at the end of the grace time.
	stopMargin = 500 * time.Millisecond
)

// stop leaves the fleet, lets callers go elsewhere, and finishes what is in
// flight.
func (a *Server) stop() {
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(a.board.Site.Get().Bounds.Grace-stopMargin))
	defer cancel()
	a.gateways.SetLeaving()
	a.board.Lifecycle.Set(blackboard.Draining)
	a.callers.SetKeepAlivesEnabled(false)
	_, n := a.edge.Idle()
	a.logger.Info("stopping", "in_flight", n)
	sleep(ctx, acceptAfterStop)
	if err := a.callers.Shutdown(ctx); err != nil {
		a.logger.Warn("callers' requests not finished", "err", err)
	}
	sleep(ctx, time.Until(began.Add(lingerAfterStop)))
	n = a.finishInFlight(ctx)
	a.logger.Info("stopped", "cut_off", n, "took", time.Since(began))
}

// finishInFlight waits until no request is under way, and returns how many
// are when ctx ends.
func (a *Server) finishInFlight(ctx context.Context) int {
	for {
		idle, n := a.edge.Idle()
		if n == 0 {
			return 0
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return n
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
