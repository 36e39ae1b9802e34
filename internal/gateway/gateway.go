// Package gateway is the HTTP surface of the daemon: the callers' API, the
// requests that other gateways send on, and the operators' API.
package gateway

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"goji.io"
	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/dispatch"
	"github.com/hickorystage/hickorystage/internal/inflight"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	requests = telemetry.NewCounter("requests", "requests", "callers' requests that were authenticated")
	rejected = telemetry.NewCounter("requests_rejected", "requests", "requests answered with a typed refusal")
	received = telemetry.NewCounter("forwards_received", "requests", "requests sent on by other gateways")
	ttft     = telemetry.NewHistogram("ttft")
	total    = telemetry.NewHistogram("request_time")
)

// Config is what a Gateway works with.
type Config struct {
	Board         *blackboard.Board
	Membership    *membership.View
	Dispatcher    *dispatch.Dispatcher
	SchedulerData *datastore.Store
	Admission     *admit.Controller
	Relay         *relay.Relay
	Actions       *action.Manager
	Peers         *peer.Client
	Logger        *log.Logger
	// AdminToken is what operators present.
	AdminToken string
	// MaxBodyBytes bounds a caller's body, in bytes.
	MaxBodyBytes int64
	// BodyTimeout bounds the time a caller may take to send its body.
	BodyTimeout time.Duration
	// Drain is called when an operator asks for a graceful shutdown.
	Drain func()
}

// Gateway serves callers, peers and operators.
type Gateway struct {
	Config
	inFlight *inflight.Counter
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	return &Gateway{Config: cfg, inFlight: inflight.New()}
}

// handler serves one request whose sender is known.
type handler func(w http.ResponseWriter, r *http.Request, c *call) error

// CallerHandler returns the HTTP handler of the callers' listener.
func (g *Gateway) CallerHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/healthz"), g.health)
	g.route(mux, g.caller)
	mux.HandleFunc(pat.New("/*"), g.notFound)
	return mux
}

// ForwardHandler returns what serves the requests of other gateways.
func (g *Gateway) ForwardHandler() func(w http.ResponseWriter, r *http.Request, fwd peer.Forward, sender string, body []byte) {
	return func(w http.ResponseWriter, r *http.Request, fwd peer.Forward, _ string, body []byte) {
		received.Inc()
		mux := goji.NewMux()
		g.route(mux, func(next handler) http.HandlerFunc {
			return g.forwarded(next, fwd, body)
		})
		mux.HandleFunc(pat.New("/*"), g.notFound)
		mux.ServeHTTP(w, r)
	}
}

// route registers every route that callers and other gateways share.
func (g *Gateway) route(mux *goji.Mux, wrap func(handler) http.HandlerFunc) {
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

// InFlight returns a channel that is closed while no request is under way, and
// the number of requests under way.
func (g *Gateway) InFlight() (<-chan struct{}, int) { return g.inFlight.Idle() }
