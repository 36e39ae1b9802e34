// Package gateway implements the HTTP APIs of the gateway daemon: the API for
// callers, the handlers of requests that other gateways forward, and the
// operators' API.
package gateway

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"goji.io"
	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/backoff"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/dispatch"
	"github.com/hickorystage/hickorystage/internal/inflight"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	requests         = telemetry.NewCounter("requests", "requests", "callers' requests that were authenticated")
	rejected         = telemetry.NewCounter("requests_rejected", "requests", "requests answered with a typed refusal")
	forwardsReceived = telemetry.NewCounter("forwards_received", "requests", "requests forwarded by other gateways")
	ttft             = telemetry.NewHistogram("ttft")
	requestTime      = telemetry.NewHistogram("request_time")
)

// Config holds the dependencies and limits of a Gateway.
type Config struct {
	Board         *blackboard.Board
	Membership    *membership.View
	Dispatcher    *dispatch.Dispatcher
	SchedulerData *datastore.Store
	Admission     *admit.Controller
	// Pauses are those that endpoints have asked this gateway for, by incarnation.
	Pauses *backoff.Tracker[string]
	// RequestQuarantine holds requests that crash endpoint after endpoint. If it is nil, none
	// is held.
	RequestQuarantine *quarantine.Tracker
	Relay             *relay.Relay
	Actions           *action.Manager
	Peers             *peer.Client
	// Memory is the account of the bodies and responses that requests hold. If it is
	// nil, nothing is refused for them.
	Memory *memory.Account
	Logger *log.Logger
	// AdminToken is the bearer token that operators authenticate with.
	AdminToken string
	// MaxBodyBytes is the maximum size of a caller's request body.
	MaxBodyBytes int64
	// BodyTimeout is the maximum time to read a caller's request body.
	BodyTimeout time.Duration
	// Drain starts a graceful shutdown. It is called when an operator requests
	// one.
	Drain func()
}

// Gateway serves the requests of callers, peers and operators. Its handlers may
// be called concurrently.
type Gateway struct {
	Config
	inFlight  *inflight.Counter
	memoryLog memoryLog
}

// New returns a gateway with the dependencies and limits of cfg.
func New(cfg Config) *Gateway {
	if cfg.Memory == nil {
		cfg.Memory = memory.NewAccount(0)
	}
	if cfg.RequestQuarantine == nil {
		cfg.RequestQuarantine = quarantine.NewOfRequests()
	}
	return &Gateway{Config: cfg, inFlight: inflight.New(), memoryLog: memoryLog{interval: memoryLogInterval}}
}

// handler serves one authenticated request. A returned error is sent to the
// sender of the request.
type handler func(w http.ResponseWriter, r *http.Request, c *call) error

// CallerHandler returns the HTTP handler of the listener for callers.
func (g *Gateway) CallerHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/healthz"), g.health)
	g.registerRoutes(mux, g.wrapCaller)
	mux.HandleFunc(pat.New("/*"), g.notFound)
	return mux
}

// ForwardHandler returns the handler of requests that other gateways forward.
func (g *Gateway) ForwardHandler() func(w http.ResponseWriter, r *http.Request, fwd peer.Forward, sender string, body []byte) {
	return func(w http.ResponseWriter, r *http.Request, fwd peer.Forward, _ string, body []byte) {
		forwardsReceived.Inc()
		mux := goji.NewMux()
		g.registerRoutes(mux, func(next handler) http.HandlerFunc {
			return g.wrapForwarded(next, fwd, body)
		})
		mux.HandleFunc(pat.New("/*"), g.notFound)
		mux.ServeHTTP(w, r)
	}
}

// registerRoutes registers the routes that serve both callers and other
// gateways. wrap turns each handler into an HTTP handler.
func (g *Gateway) registerRoutes(mux *goji.Mux, wrap func(handler) http.HandlerFunc) {
	mux.HandleFunc(pat.Get("/v1/entries"), wrap(g.entries))
	mux.HandleFunc(pat.Get("/v1/models"), wrap(g.models))
	mux.HandleFunc(pat.Post("/v1/chat/completions"), wrap(g.chat))
	mux.HandleFunc(pat.Post("/v1/actions/:service/:call"), wrap(g.runAction))
	mux.HandleFunc(pat.Get("/v1/actions/:key"), wrap(g.actionOutcome))
	mux.HandleFunc(pat.New("/v1/services/:service/*"), wrap(g.service))
}

func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	if g.Board.Lifecycle.Get() != blackboard.Serving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// InFlight returns a channel that is closed while no request is in flight, and
// the number of requests in flight.
func (g *Gateway) InFlight() (<-chan struct{}, int) { return g.inFlight.Idle() }
