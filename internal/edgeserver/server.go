// Package edgeserver assembles the gateway process that serves routes on the
// platform: it wires the components together, runs the controllers and the servers,
// and shuts them down gracefully.
package edgeserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/backoff"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/budget"
	"github.com/hickorystage/hickorystage/internal/controller"
	"github.com/hickorystage/hickorystage/internal/controller/configproof"
	"github.com/hickorystage/hickorystage/internal/controller/discovery"
	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/controller/heartbeat"
	"github.com/hickorystage/hickorystage/internal/controller/lagprobe"
	"github.com/hickorystage/hickorystage/internal/controller/peerlist"
	"github.com/hickorystage/hickorystage/internal/controller/reload"
	"github.com/hickorystage/hickorystage/internal/controller/routesync"
	"github.com/hickorystage/hickorystage/internal/controller/stats"
	"github.com/hickorystage/hickorystage/internal/edge"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/freshness"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/httpserver"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/pace"
	"github.com/hickorystage/hickorystage/internal/peerfetch"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/readlag"
	"github.com/hickorystage/hickorystage/internal/requestlimit"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/store"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// Platform holds the services of the platform that the gateway runs on.
type Platform struct {
	// Settings reads the current settings of the site.
	Settings func() (*settings.PlatformSettings, error)
	// SettingsChanged receives a value when the settings have to be read again.
	SettingsChanged <-chan struct{}
	Store           store.Store
	// Lag is filled by the server; nil if nothing else uses it.
	Lag *readlag.Meter
	// OperatorSource reads the operators' configuration, EndpointSource the entries
	// of endpoints.
	OperatorSource routesync.Source
	EndpointSource discovery.Source
	Codec          httpmeta.HeaderCodec
	// MetricsPort is the port on which the counters are served; 0 disables it.
	MetricsPort int
	// EndpointPace switches on the pace of endpoints that have just started or recovered.
	EndpointPace bool
	// ResponseForecast and RegionSpill are those of edge.Config.
	ResponseForecast bool
	RegionSpill      bool
	// NewDirectoryHandler and NewReadinessHandler return the handlers of the directory
	// listener and the readiness listener. The addresses function
	// returns the caller addresses of gateways and how long they may be cached.
	NewDirectoryHandler func(addresses func(host, region string) ([]string, time.Duration)) http.Handler
	NewReadinessHandler func(ready func() bool) http.Handler
}

// Server is one gateway process. Its Run may be called once.
type Server struct {
	platform Platform
	logger   *log.Logger
	board    *blackboard.Edge
	edge     *edge.Edge
	registry *fleet.Registry
	gateways *fleet.Gateways
	// memory is the account of what requests hold.
	memory *memory.Account
	// pool bounds the connections of all listeners.
	pool *httpserver.Pool

	controllers  []controller.Controller
	servers      []*listeningServer
	callerServer *listeningServer
	peerServer   *listeningServer
	tomb         tomb.Tomb
}

// New assembles a gateway and opens its listeners. Nothing is served before Run. The
// error is a ListenError if a listener can't be opened.
func New(site *settings.PlatformSettings, p Platform, logger *log.Logger) (*Server, error) {
	s := &Server{platform: p, logger: logger, board: blackboard.NewEdge(site), memory: memory.NewAccount(memory.Limit(site.MemoryBytes))}
	s.pool = httpserver.NewPool(s.memory, logger)
	s.pool.SetBounds(site.MaxOpenFiles, site.MemoryBytes)
	heartbeatAddress := net.JoinHostPort(site.IP, strconv.Itoa(site.FirstPort))
	grantAddress := net.JoinHostPort(site.IP, strconv.Itoa(site.FirstPort+1))
	s.gateways = fleet.NewGateways(fleet.Gateway{
		ID:               site.Instance,
		Incarnation:      uuid.NewString(),
		Region:           site.Region,
		DataCentre:       site.DataCentre,
		CallerAddress:    site.CallerAddress,
		PeerAddress:      site.PeerAddress,
		HeartbeatAddress: heartbeatAddress,
		GrantAddress:     grantAddress,
		MachineCapacity:  machineCapacity(site),
		Millicores:       millicores(site),
	}, time.Now())
	s.registry = fleet.NewRegistry(site.Regions)
	loads := endpointload.New()
	var sockets openSockets
	defer sockets.close()
	heartbeatConn, err := net.ListenPacket("udp", heartbeatAddress)
	if err != nil {
		return nil, &ListenError{Address: heartbeatAddress, Cause: err}
	}
	sockets.add(heartbeatConn)
	grantConn, err := net.ListenPacket("udp", grantAddress)
	if err != nil {
		return nil, &ListenError{Address: grantAddress, Cause: err}
	}
	sockets.add(grantConn)
	probeAddress := net.JoinHostPort(site.IP, strconv.Itoa(site.FirstPort+2))
	probeConn, err := net.ListenPacket("udp", probeAddress)
	if err != nil {
		return nil, &ListenError{Address: probeAddress, Cause: err}
	}
	sockets.add(probeConn)
	lag := p.Lag
	if lag == nil {
		lag = &readlag.Meter{}
	}
	grantController := grants.New(grantConn, logger)
	quarantined, quarantinedRequests, limits := quarantine.New(), quarantine.NewOfRequests(), requestlimit.New()
	clock, proofs := freshness.BootClock(), freshness.NewTracker(routesync.RewriteTime)
	s.edge = edge.New(edge.Config{
		Board:             s.board,
		Registry:          s.registry,
		Gateways:          s.gateways,
		Codec:             p.Codec,
		Loads:             loads,
		RetryBudget:       budget.NewRetryBudget(retrySettings(site)),
		ColdStarts:        budget.NewColdStartLimiter(coldSettings(site)),
		Quarantine:        quarantined,
		RequestQuarantine: quarantinedRequests,
		Pauses:            backoff.New[int64](),
		Limits:            limits,
		EndpointTransport: transport.New(transport.NewDialFunc(), transport.LocalDialTimeout),
		GatewayTransport:  transport.New(transport.NewDialFunc(), transport.RemoteDialTimeout),
		Grants:            grantController,
		Credit:            grantController,
		Memory:            s.memory,
		Freshness:         edge.Freshness{Tracker: proofs, Clock: clock},
		Pace:              newPace(p.EndpointPace),
		PaceReporter:      grantController,
		StreamPeers:       grantController,
		ReadLag:           lag.Lag,
		ResponseForecast:  p.ResponseForecast,
		RegionSpill:       p.RegionSpill,
		Logger:            logger,
	})
	grantController.SetCoordinator(s.edge)
	grantController.SetCreditKeeper(s.edge)
	grantController.SetStreamKeeper(s.edge)
	grantController.SetPaceRecorder(s.edge.RecordPaceReport)
	latestStatus := fleet.NewLatestStoreStatus()
	peerClient := peerfetch.NewClient(transport.NewDialFunc(), lag.Lag)
	routeController := routesync.New(routesync.Config{
		Board: s.board, Gateways: s.gateways, StoreStatus: latestStatus, Source: p.OperatorSource, Client: peerClient,
		StartupWait: startupWait(site), Proofs: proofs, Clock: clock, Logger: logger,
	})
	s.edge.Configs = routeController
	proofController := configproof.New(configproof.Config{
		Board: s.board, Gateways: s.gateways, Tracker: proofs, Clock: clock, Peers: grantController, Configs: routeController, Logger: logger,
	})
	grantController.SetProver(proofController)
	s.controllers = []controller.Controller{
		routeController,
		proofController,
		discovery.New(discovery.Config{
			Board: s.board, Registry: s.registry, Gateways: s.gateways, StoreStatus: latestStatus,
			Source: p.EndpointSource, Client: peerClient, StartupWait: startupWait(site), OnRemoved: s.edge.Forget, Logger: logger,
		}),
		peerlist.New(s.board, p.Store, s.gateways, logger),
		stats.New(logger),
		lagprobe.New(probeConn, lag, logger),
		grantController,
		edge.Allowances{Edge: s.edge},
		edge.StreamVersions{Edge: s.edge},
		reload.New(s.board, p.Settings, p.SettingsChanged, logger),
		heartbeat.New(heartbeat.Config{
			Board: s.board, Gateways: s.gateways, Registry: s.registry, Loads: loads, StoreStatus: latestStatus, Quarantine: quarantined, RequestQuarantine: quarantinedRequests, Limits: limits, OwnStoreStatus: s.storeStatus,
			Conn: heartbeatConn, Seeds: seedHeartbeatAddresses(site), Logger: logger,
		}),
	}
	if err = s.openListeners(site); err != nil {
		for _, srv := range s.servers {
			sockets.add(srv.listener)
		}
		return nil, err
	}
	sockets.keep()
	return s, nil
}

// newPace returns the tracker of the pace, nil if it is off.
func newPace(on bool) *pace.Tracker {
	if !on {
		return nil
	}
	return pace.New()
}

// openSockets closes what has been opened so far unless all could be opened.
type openSockets []io.Closer

func (o *openSockets) add(c io.Closer) { *o = append(*o, c) }

// keep leaves the sockets to their users.
func (o *openSockets) keep() { *o = nil }

func (o *openSockets) close() {
	for _, c := range *o {
		_ = c.Close()
	}
}

// machineCapacity returns the link capacity in Mbit/s or the processor capacity in
// thousandths of a core, whichever is less.
func machineCapacity(s *settings.PlatformSettings) int {
	return min(int(s.LinkMbps), millicores(s))
}

// millicores returns the processor capacity in thousandths of a core.
func millicores(s *settings.PlatformSettings) int { return int(millicoresPerCore * s.CPUCores) }

const millicoresPerCore = 1000

// defaultStartupWait is how long a starting gateway waits for the data of a gateway
// that has read the store, before it reads the store itself. It covers the start
// of the other gateways and a few heartbeats.
const defaultStartupWait = 800 * time.Millisecond

// startupWait returns how long this gateway waits at its start. Seeds don't wait: the
// other gateways get their data from them. Nor does a gateway without seeds.
func startupWait(s *settings.PlatformSettings) time.Duration {
	if len(s.Seeds) == 0 || slices.Contains(s.Seeds, s.PeerAddress) {
		return 0
	}
	return defaultStartupWait
}

// seedHeartbeatAddresses returns the addresses to which heartbeats for the seeds are
// sent. Seeds are configured by their peer addresses; the heartbeat port is the same
// on all machines.
func seedHeartbeatAddresses(s *settings.PlatformSettings) []string {
	var out []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(s.FirstPort)))
		}
	}
	return out
}

// storeStatus returns what this gateway has read from the store.
func (s *Server) storeStatus(now time.Time) fleet.StoreStatus {
	status := fleet.StoreStatus{
		EndpointsFingerprint: s.registry.Fingerprint(),
		Evacuated:            routesync.SortedNames(s.board.Evacuated.Get()),
		Era:                  s.board.StoreEra.Get(),
		EndpointsAgeMillis:   ageMillis(s.board.EndpointsReadAt.Get(), now),
		OperatorsAgeMillis:   ageMillis(s.board.OperatorsReadAt.Get(), now),
	}
	if routes := s.board.Routes.Get(); routes != nil {
		status.ConfigVersion = routes.Version
	}
	return status
}

// knownStoreStatus returns what a gateway that starts can take over from this one, nil
// before this one has it.
func (s *Server) knownStoreStatus() *fleet.StoreStatus {
	if !s.board.EndpointsDiscovered.Get() || s.board.Routes.Get() == nil {
		return nil
	}
	status := s.storeStatus(time.Now())
	return &status
}

// ageMillis returns the milliseconds since at, or those of an hour if at is zero.
func ageMillis(at, now time.Time) int64 {
	if at.IsZero() {
		return int64(time.Hour / time.Millisecond)
	}
	return now.Sub(at).Milliseconds()
}

// endpointEntries returns the entries that other gateways may fetch from this one,
// nil before they have been read.
func (s *Server) endpointEntries() []fleet.Endpoint {
	if !s.board.EndpointsDiscovered.Get() {
		return nil
	}
	return s.registry.Entries(time.Now())
}

// endpointChanges returns the changes of the entries since they had the given fingerprint, and
// whether they are known.
func (s *Server) endpointChanges(fingerprint uint64) (fleet.EntryChanges, bool) {
	if !s.board.EndpointsDiscovered.Get() {
		return fleet.EntryChanges{}, false
	}
	return s.registry.EntriesSince(fingerprint, time.Now())
}

// rawRoutes returns the configuration as operators wrote it, nil if there is none.
func (s *Server) rawRoutes() []byte {
	if routes := s.board.Routes.Get(); routes != nil {
		return routes.Raw
	}
	return nil
}

func retrySettings(s *settings.PlatformSettings) budget.RetrySettings {
	return budget.RetrySettings{Ratio: s.Limits.RetryRatio, Slack: s.Limits.RetrySlack, Window: s.Limits.RetryWindow}
}

// maxColdSenders is the number of gateways that may act as the coordinator of one
// cold endpoint at the same time, while a change of the fleet is propagating.
const maxColdSenders = 3

func coldSettings(s *settings.PlatformSettings) budget.ColdStartSettings {
	return budget.ColdStartSettings{Overage: s.Limits.ColdOverage, Slack: s.Limits.ColdSlack, ConcurrentSenders: maxColdSenders}
}

// applySiteChanges applies the site's settings to the components, at the start and
// after each change.
func (s *Server) applySiteChanges() error {
	for {
		site, changed := s.board.Settings.Watch()
		s.edge.RetryBudget.Configure(retrySettings(site))
		s.edge.ColdStarts.Configure(coldSettings(site))
		s.registry.SetRegions(site.Regions, time.Now())
		s.memory.SetLimit(memory.Limit(site.MemoryBytes))
		s.pool.SetBounds(site.MaxOpenFiles, site.MemoryBytes)
		select {
		case <-s.tomb.Dying():
			return nil
		case <-changed:
		}
	}
}

// Run serves until ctx ends and then shuts down gracefully, or until a server or
// controller fails, whose error it returns.
func (s *Server) Run(ctx context.Context) error {
	self := s.gateways.Self()
	s.logger.Info("starting", "region", self.Region, "data_centre", self.DataCentre, "incarnation", self.Incarnation, "seeds", s.board.Settings.Get().Seeds, "strength", self.MachineCapacity)
	for _, srv := range s.servers {
		s.tomb.Go(func() error { return srv.Serve(srv.listener) })
	}
	for _, c := range s.controllers {
		s.tomb.Go(func() error { return errors.Wrapf(c.Run(&s.tomb), "controller %s", c.Name()) })
	}
	s.tomb.Go(s.serveWhenReady)
	s.tomb.Go(s.applySiteChanges)
	select {
	case <-ctx.Done():
		s.drain()
	case <-s.tomb.Dying():
	}
	s.tomb.Kill(nil)
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	return s.tomb.Wait()
}

// serveWhenReady declares the gateway ready once it has configuration and endpoints.
func (s *Server) serveWhenReady() error {
	for {
		routes, routesChanged := s.board.Routes.Watch()
		known, knownChanged := s.board.EndpointsDiscovered.Watch()
		if routes != nil && known {
			break
		}
		select {
		case <-s.tomb.Dying():
			return nil
		case <-routesChanged:
		case <-knownChanged:
		}
	}
	s.board.Lifecycle.Update(func(old blackboard.Lifecycle) (blackboard.Lifecycle, bool) {
		return blackboard.Serving, old == blackboard.Starting
	})
	s.logger.Info("serving", "routes", s.board.Routes.Get().Version)
	return nil
}

const (
	// callerDrainTime is how long a gateway that shuts down still accepts requests
	// of callers that don't know yet that it is leaving.
	callerDrainTime = 1200 * time.Millisecond
	// peerDrainTime is how long it still serves other gateways, which may have
	// forwarded requests before they learned that it is leaving.
	peerDrainTime = 2500 * time.Millisecond
	// graceMargin is the part of the grace period kept in reserve at its end.
	graceMargin = 500 * time.Millisecond
	// interruptTime is how long requests that are interrupted at the end have to answer.
	interruptTime = 300 * time.Millisecond
)

// drain announces that the gateway is leaving, keeps serving until callers and other
// gateways have learned it, and waits for the requests in flight. At the end it
// interrupts those that are left. It returns before the grace period ends.
func (s *Server) drain() {
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(s.board.Settings.Get().Limits.ShutdownGrace-graceMargin))
	defer cancel()
	s.gateways.SetLeaving()
	s.board.Lifecycle.Set(blackboard.Draining)
	s.callerServer.DisableKeepAlives()
	_, n := s.edge.Idle()
	s.logger.Info("stopping", "in_flight", n)
	refuseNew := time.AfterFunc(peerDrainTime, s.edge.RefuseNew)
	defer refuseNew.Stop()
	sleep(ctx, callerDrainTime)
	if err := s.callerServer.Shutdown(ctx); err != nil {
		s.logger.Warn("caller requests unfinished at the end of the grace period", "err", err)
	}
	sleep(ctx, time.Until(began.Add(peerDrainTime)))
	if err := s.peerServer.Shutdown(ctx); err != nil {
		s.logger.Warn("forwarded requests unfinished at the end of the grace period", "err", err)
	}
	if n = s.finishInFlight(ctx); n > 0 {
		s.interruptInFlight()
	}
	s.logger.Info("stopped", "interrupted", n, "took", time.Since(began))
}

// interruptInFlight ends the requests in flight and gives them time to answer.
func (s *Server) interruptInFlight() {
	ctx, cancel := context.WithTimeout(context.Background(), interruptTime)
	defer cancel()
	s.edge.RefuseNew()
	s.edge.Interrupt()
	if n := s.finishInFlight(ctx); n > 0 {
		s.logger.Warn("requests cut off without an answer", "requests", n)
	}
	for _, srv := range []*listeningServer{s.callerServer, s.peerServer} {
		_ = srv.Shutdown(ctx)
	}
}

// finishInFlight waits until no request is in flight, and returns 0, or the number
// of requests that are in flight when ctx ends.
func (s *Server) finishInFlight(ctx context.Context) int {
	for {
		idle, n := s.edge.Idle()
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
