// Package edge serves the requests of routes: it matches a request, finds it a
// place, carries it to an endpoint of this region or to a gateway of another
// one, and gives the caller the whole answer or a true refusal.
package edge

import (
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/exchange"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/telemetry"
	"github.com/hickorystage/hickorystage/internal/transport"
)

var (
	requests = telemetry.NewCounter("route_requests", "requests", "requests of callers on routes")
	refusals = telemetry.NewCounter("route_refusals", "requests", "requests on routes that were refused as not run")
	failures = telemetry.NewCounter("route_failures", "requests", "requests on routes that failed with an unknown outcome")
	total    = telemetry.NewHistogram("route_time")
)

// Config is what an Edge works with.
type Config struct {
	Board    *blackboard.Edge
	Registry *fleet.Registry
	Gateways *fleet.Gateways
	Codec    exchange.Codec
	// Near carries requests to endpoints, Far to gateways of other regions.
	Near   *transport.Transport
	Far    *transport.Transport
	Logger *log.Logger
}

// Edge serves requests. It is safe for concurrent use.
type Edge struct {
	Config
	inFlight *inFlight
	ledger   *ledger
}

// New returns an edge.
func New(c Config) *Edge {
	return &Edge{Config: c, inFlight: newInFlight(), ledger: newLedger()}
}

// bodyTimeout bounds the time that a caller may take to send its body.
const bodyTimeout = 10 * time.Second

// CallerHandler returns the handler of the callers' listener.
func (e *Edge) CallerHandler() http.Handler { return http.HandlerFunc(e.serveCaller) }

func (e *Edge) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.inFlight.enter()
	defer e.inFlight.leave()
	requests.Inc()
	s, err := e.open(w, r, arrived)
	if err != nil {
		e.refuse(w, r, s, failure.AsRefusal(err))
		return
	}
	s.run(r.Context())
	total.Observe(time.Since(arrived))
}

// open reads a request whole and finds its route.
func (e *Edge) open(w http.ResponseWriter, r *http.Request, arrived time.Time) (*session, error) {
	s := &session{edge: e, w: w, method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header, arrived: arrived}
	s.req = e.Codec.Request(r.Header)
	table := e.Board.Routes.Get()
	if table == nil {
		return s, failure.Refuse(failure.CodeNotReady, "no configuration yet").WithRetryAfter(notReadyRetry)
	}
	s.table = table
	s.route = table.Match(r.Host, r.URL.Path)
	if s.route == nil {
		return s, failure.Refuse(failure.CodeNotFound, "no route")
	}
	if s.req.ID == "" {
		return s, failure.Refuse(failure.CodeBadRequest, "the request has no attempt id")
	}
	s.setDeadline()
	return s, s.readBody(r)
}

// notReadyRetry is what callers of a gateway without configuration are told to
// wait: about what one read of the store takes.
const notReadyRetry = 300 * time.Millisecond

func (s *session) setDeadline() {
	limit := s.route.Timeout
	if s.req.Patience > 0 && (limit <= 0 || s.req.Patience < limit) {
		limit = s.req.Patience
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	s.deadline = s.arrived.Add(limit)
}

// defaultTimeout bounds requests for which neither the route nor the caller
// sets a limit.
const defaultTimeout = 60 * time.Second

func (s *session) readBody(r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	rc := http.NewResponseController(s.w)
	if err := rc.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return failure.Refuse(failure.CodeBadRequest, "the body could not be read").WithCause(err)
	}
	limit := s.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(s.w, r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return failure.Refuse(failure.CodeBodyTooLarge, "the body is larger than %d bytes", limit)
		}
		return failure.Refuse(failure.CodeBadRequest, "the body could not be read").WithCause(err)
	}
	s.body = body
	if err := rc.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return failure.Refuse(failure.CodeBadRequest, "the body could not be read").WithCause(err)
	}
	return nil
}

// defaultBodyBytes bounds bodies where the configuration doesn't.
const defaultBodyBytes = 1 << 20

// Ready says whether this gateway takes callers.
func (e *Edge) Ready() bool { return e.Board.Lifecycle.Get() == blackboard.Serving }

// Idle returns a channel that is closed while no request is under way, and the
// number of requests under way.
func (e *Edge) Idle() (<-chan struct{}, int) { return e.inFlight.wait() }

// services returns the service of a request on a route.
func (s *session) service() *route.Service {
	name := s.route.Service(s.req.ID)
	if svc, ok := s.table.Services[name]; ok {
		return svc
	}
	return &route.Service{Name: name}
}
