// Package edgeapp assembles a gateway that serves routes on the platform: it
// wires the parts, runs the controllers and the listeners, and stops them
// gracefully.
package edgeapp

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/budget"
	"github.com/hickorystage/hickorystage/internal/controller"
	"github.com/hickorystage/hickorystage/internal/controller/beats"
	"github.com/hickorystage/hickorystage/internal/controller/discovery"
	"github.com/hickorystage/hickorystage/internal/controller/enlist"
	"github.com/hickorystage/hickorystage/internal/controller/routesync"
	"github.com/hickorystage/hickorystage/internal/edge"
	"github.com/hickorystage/hickorystage/internal/exchange"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/ledger"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/store"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// Platform is what the gateway uses of the platform that it runs on.
type Platform struct {
	Store     store.Store
	Operators routesync.Source
	Endpoints discovery.Source
	Codec     exchange.Codec
	// Directory and Readiness make the handlers of their listeners.
	Directory func(addresses func(region string) ([]string, time.Duration)) http.Handler
	Readiness func(ready func() bool) http.Handler
}

// App is one gateway process.
type App struct {
	site     *settings.Site
	platform Platform
	logger   *log.Logger
	board    *blackboard.Edge
	edge     *edge.Edge
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
func New(site *settings.Site, p Platform, logger *log.Logger) (*App, error) {
	a := &App{site: site, platform: p, logger: logger, board: blackboard.NewEdge()}
	beatAddress := net.JoinHostPort(site.IP, strconv.Itoa(site.FirstPort))
	a.gateways = fleet.NewGateways(fleet.Gateway{
		ID:          site.Instance,
		Incarnation: uuid.NewString(),
		Region:      site.Region,
		DataCentre:  site.DataCentre,
		Caller:      site.CallerAddress,
		Peer:        site.PeerAddress,
		Beat:        beatAddress,
	})
	registry := fleet.NewRegistry(site.Regions)
	accounts := ledger.New()
	bounds := site.Bounds
	a.edge = edge.New(edge.Config{
		Board:    a.board,
		Registry: registry,
		Gateways: a.gateways,
		Codec:    p.Codec,
		Ledger:   accounts,
		Retries:  budget.NewRetries(budget.RetrySettings{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow}),
		Cold:     budget.NewCold(budget.ColdSettings{Overage: bounds.ColdOverage, Slack: bounds.ColdSlack}),
		Near:     transport.New(transport.Dialer(), transport.DialTimeout),
		Far:      transport.New(transport.Dialer(), transport.FarDialTimeout),
		Logger:   logger,
	})
	conn, err := net.ListenPacket("udp", beatAddress)
	if err != nil {
		return nil, &ListenError{Address: beatAddress, Cause: err}
	}
	routes := routesync.New(a.board, p.Operators, logger)
	a.controllers = []controller.Controller{
		routes,
		discovery.New(a.board, registry, p.Endpoints, logger),
		enlist.New(a.board, p.Store, a.gateways, logger),
		beats.New(a.board, a.gateways, accounts, conn, routes.Refresh, logger),
	}
	return a, a.listen()
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

func (a *App) listen() error {
	var err error
	if a.callers, err = a.open(a.site.CallerAddress, a.edge.CallerHandler()); err != nil {
		return err
	}
	if _, err = a.open(a.site.ReadyAddress, a.platform.Readiness(a.edge.Ready)); err != nil {
		return err
	}
	if _, err = a.open(a.site.PeerAddress, a.edge.PeerHandler()); err != nil {
		return err
	}
	if a.site.DirectoryAddress == "" {
		return nil
	}
	_, err = a.open(a.site.DirectoryAddress, a.platform.Directory(a.edge.Addresses))
	return err
}

func (a *App) open(address string, h http.Handler) (*server, error) {
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
func (a *App) Run(ctx context.Context) error {
	a.logger.Info("starting", "region", a.site.Region, "data_centre", a.site.DataCentre, "incarnation", a.gateways.Self().Incarnation)
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
func (a *App) becomeReady() error {
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
	// stopMargin is kept free at the end of the grace time.
	stopMargin = 500 * time.Millisecond
)

// stop leaves the fleet, lets callers go elsewhere, and finishes what is in
// flight.
func (a *App) stop() {
	deadline := time.Now().Add(a.site.Bounds.Grace - stopMargin)
	a.board.Lifecycle.Set(blackboard.Draining)
	a.callers.SetKeepAlivesEnabled(false)
	_, n := a.edge.Idle()
	a.logger.Info("stopping", "in_flight", n)
	time.Sleep(acceptAfterStop)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := a.callers.Shutdown(ctx)
	_, n = a.edge.Idle()
	a.logger.Info("stopped", "cut_off", n, "err", err)
}
