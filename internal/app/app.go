// Package app assembles the gateway: it connects the components, runs the
// controllers and servers, and shuts them down gracefully.
package app

import (
	"context"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/backoff"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/controller"
	"github.com/hickorystage/hickorystage/internal/controller/announce"
	"github.com/hickorystage/hickorystage/internal/controller/configsync"
	"github.com/hickorystage/hickorystage/internal/controller/endpoints"
	"github.com/hickorystage/hickorystage/internal/controller/gossip"
	"github.com/hickorystage/hickorystage/internal/controller/loadpoll"
	memorycontroller "github.com/hickorystage/hickorystage/internal/controller/memory"
	"github.com/hickorystage/hickorystage/internal/controller/reaper"
	"github.com/hickorystage/hickorystage/internal/controller/register"
	"github.com/hickorystage/hickorystage/internal/controller/schedsync"
	"github.com/hickorystage/hickorystage/internal/dispatch"
	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/httpserver"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// App is one gateway process. Run may be called once.
type App struct {
	settings *settings.Gateway
	network  Network
	logger   *log.Logger
	board    *blackboard.Board
	gateway  *gateway.Gateway
	actions  *action.Manager
	relay    *relay.Relay
	peers    *peer.Client
	// memory is the account of what requests hold.
	memory *memory.Account
	// signals acts on what endpoints say of themselves in their responses.
	signals *gateway.EndpointSignals

	gossip       *gossip.Controller
	controllers  []controller.Controller
	callerServer *httpserver.Server
	peerServer   *httpserver.Server
	adminServer  *httpserver.Server

	// pool bounds the connections of all listeners.
	pool *httpserver.Pool

	// closers close idle connections at the end of the shutdown.
	closers        []func()
	drainRequested chan struct{}
	tomb           tomb.Tomb
}

// Network opens the listeners and the outgoing connections of a gateway.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the host's TCP network.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Network.
func (TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// New assembles a gateway. Run starts it.
func New(s *settings.Gateway, network Network, logger *log.Logger) *App {
	a := &App{settings: s, network: network, logger: logger, drainRequested: make(chan struct{}, 1)}
	a.memory = memory.NewAccount(memory.Limit(s.MemoryLimit))
	a.board = blackboard.New(blackboard.Self{
		ID:            s.ID,
		Incarnation:   gateway.NewIncarnation(s.Region, s.ID, uuid.NewString()[:13]),
		Region:        s.Region,
		DataCentre:    s.DataCentre,
		PeerAddress:   s.PeerAdvertise,
		CallerAddress: s.Advertise,
	})
	signer := peer.NewSigner(s.ID, s.PeerSecrets)
	a.peers = peer.NewClient(signer, network.Dial)
	options := platform.Options{Dial: network.Dial}
	store := platform.NewHTTPStore(s.StoreURL, options)
	directory := platform.NewHTTPDirectory(s.DirectoryURL, options)
	instanceList := platform.NewHTTPInstanceList(s.InstancesURL, options)
	a.closers = []func(){store.Close, directory.Close, instanceList.Close, a.peers.CloseIdleConnections}
	data := datastore.New(datastore.Options{Region: s.Region, Health: datastore.DefaultHealthOptions()})
	admission := admit.New(s.ID, admit.DefaultOptions())
	dispatcher := dispatch.New(sched.New(sched.DefaultOptions()), data, admission)
	view := membership.New(a.board)
	a.signals = &gateway.EndpointSignals{
		Membership: view, SchedulerData: data, Pauses: backoff.New[string](),
		OnLeaving: func() { a.gossip.NotifyPeers() }, Logger: logger,
	}
	requestQuarantine := quarantine.NewOfRequests()
	a.relay = relay.New(a.newRelaySettings(data, admission, requestQuarantine))
	a.gateway = gateway.New(gateway.Config{
		Board:         a.board,
		Membership:    view,
		Dispatcher:    dispatcher,
		SchedulerData: data,
		Admission:     admission,
		Pauses:        a.signals.Pauses,
		Relay:         a.relay,

		RequestQuarantine: requestQuarantine,

		Peers:        a.peers,
		Memory:       a.memory,
		Logger:       logger,
		AdminToken:   s.AdminToken,
		MaxBodyBytes: s.MaxBodyBytes,
		BodyTimeout:  s.BodyTimeout,
		Drain:        a.Drain,
	})
	a.actions = a.newActions(store)
	a.gateway.Actions = a.actions
	a.gossip = gossip.New(a.board, a.peers, s.PeerExchangeInterval, s.Peers, rendezvous.Weight(s.ID, a.board.Self.Incarnation), logger)
	a.gossip.ShareUsage(admission)
	a.gossip.ShareQuarantine(requestQuarantine)
	a.controllers = []controller.Controller{
		configsync.New(configsync.Config{Board: a.board, Store: store, Peers: a.peers, Parse: newIntentParser(), Log: logger}),
		register.New(register.Config{Board: a.board, Directory: directory, Log: logger}),
		endpoints.New(a.board, instanceList, a.peers, a.relay.Forget, logger),
		loadpoll.New(a.board, s.LoadPollInterval, a.gossip.NotifyPeers, network.Dial),
		schedsync.New(a.board, data, admission),
		a.gossip,
		announce.New(a.board, data, a.peers),
		&reaper.Controller{Actions: a.actions, Board: a.board, Log: logger},
		dispatcher,
		memorycontroller.New(a.board),
	}
	a.pool = httpserver.NewPool(a.memory, logger)
	a.pool.SetBounds(s.MaxOpenFiles, s.MemoryLimit)
	a.newServers(signer)
	return a
}

func (a *App) newRelaySettings(data *datastore.Store, admission *admit.Controller, requests *quarantine.Tracker) relay.Settings {
	return relay.Settings{
		DialTimeout:       a.settings.DialTimeout,
		HeaderTimeout:     a.settings.ResponseHeaderTimeout,
		FirstTokenTimeout: a.settings.FirstTokenTimeout,
		NextTokenTimeout:  a.settings.ChunkTimeout,
		RetryBudget:       gateway.RetryBudget{Admission: admission},
		Observer: gateway.AttemptObserver{
			SchedulerData: data, Signals: a.signals,
			Crashes: gateway.Crashes{Requests: requests, OnCrash: func() { a.gossip.NotifyPeers() }},
		},
		Tracer: telemetry.Tracer(),
		Dial:   a.network.Dial,
		Logger: a.logger,
	}
}

// Board returns the blackboard.
func (a *App) Board() *blackboard.Board { return a.board }

// Drain requests a graceful shutdown and returns at once. It is safe for
// concurrent use.
func (a *App) Drain() {
	select {
	case a.drainRequested <- struct{}{}:
	default:
	}
}

// Run serves until the context ends or Drain is called, then shuts down
// gracefully. Closing forceStop ends the wait for requests in flight early. The
// error is a *ListenError if a listener could not be opened, a *CutOffError if
// the shutdown cut off requests in flight, the first error of a controller or
// server if one failed, and nil after a clean shutdown.
func (a *App) Run(ctx context.Context, forceStop <-chan struct{}) error {
	listeners, err := a.listen()
	if err != nil {
		return err
	}
	a.serve(listeners)
	for _, c := range a.controllers {
		a.tomb.Go(func() error {
			return errors.Wrapf(c.Run(&a.tomb), "controller %s", c.Name())
		})
	}
	a.tomb.Go(a.becomeReady)
	select {
	case <-ctx.Done():
	case <-a.drainRequested:
	case <-a.tomb.Dying():
		a.close()
		return a.tomb.Wait()
	}
	cutOff := a.shutdown(forceStop)
	a.tomb.Kill(nil)
	a.close()
	if err := a.tomb.Wait(); err != nil {
		return err
	}
	if cutOff > 0 {
		return &CutOffError{Requests: cutOff}
	}
	return nil
}

// becomeReady changes the lifecycle from starting to serving once there is a
// configuration and the scheduler knows the region's endpoints. If no endpoint is
// discovered within discoveryTimeout the gateway serves all the same, and refuses
// requests that need an endpoint.
func (a *App) becomeReady() error {
	if !waitFor(&a.tomb, a.board.Intent, func(s blackboard.IntentState) bool { return s.Revision > 0 }, nil) {
		return nil
	}
	waitFor(&a.tomb, a.board.SchedulerReady, func(known bool) bool { return known }, time.After(discoveryTimeout))
	a.board.Lifecycle.Update(func(old blackboard.Lifecycle) (blackboard.Lifecycle, bool) {
		return blackboard.Serving, old == blackboard.Starting
	})
	a.logger.Info("serving", "revision", a.board.Intent.Get().Revision)
	return nil
}

// waitFor waits until the value satisfies the condition. It returns false if the
// tomb dies or the timeout fires first; a nil timeout never fires.
func waitFor[T any](t *tomb.Tomb, value *blackboard.Value[T], satisfied func(T) bool, timeout <-chan time.Time) bool {
	for {
		current, changed := value.Watch()
		if satisfied(current) {
			return true
		}
		select {
		case <-t.Dying():
			return false
		case <-timeout:
			return false
		case <-changed:
		}
	}
}

// discoveryTimeout is how long a starting gateway waits for the scheduler to know
// the region's endpoints.
const discoveryTimeout = 5 * time.Second

// lameDuckPeriod is how long a gateway that is shutting down still refuses new
// requests after its last request has finished: callers that have been given its
// address learn from the refusal which gateways to use instead. It is also the
// timeout for shutting down the servers.
const lameDuckPeriod = 500 * time.Millisecond
