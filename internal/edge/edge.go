// Package edge serves the requests of routes: it matches a request, finds it a
// place, carries it to an endpoint of this region or to a gateway of another
// one, and gives the caller the whole answer or a true refusal.
package edge

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/budget"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/inflight"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/telemetry"
	"github.com/hickorystage/hickorystage/internal/transport"
)

var (
	requests      = telemetry.NewCounter("route_requests", "requests", "requests of callers on routes")
	refusals      = telemetry.NewCounter("route_refusals", "requests", "requests on routes that were refused as not run")
	failures      = telemetry.NewCounter("route_failures", "requests", "requests on routes that failed with an unknown outcome")
	received      = telemetry.NewCounter("route_forwards_received", "requests", "requests on routes that gateways of other regions sent on")
	brokenOff     = telemetry.NewCounter("route_broken_off", "requests", "answers on routes that were broken off after they had begun")
	retriesDenied = telemetry.NewCounter("route_retries_denied", "requests", "repeats on routes that the shared budget did not allow")
	total         = telemetry.NewHistogram("route_time")
)

// Config is what an Edge works with.
type Config struct {
	Board       *blackboard.Edge
	Registry    *fleet.Registry
	Gateways    *fleet.Gateways
	Codec       httpmeta.HeaderCodec
	Loads       *endpointload.Tracker
	RetryBudget *budget.RetryBudget
	ColdStarts  *budget.ColdStartLimiter
	// Near carries requests to endpoints, Far to gateways of other regions.
	Near *transport.Transport
	Far  *transport.Transport
	// Grants asks the coordinators of endpoints in large regions.
	Grants Grants
	Logger *log.Logger
}

// Edge serves requests. It is safe for concurrent use.
type Edge struct {
	Config
	inFlight *inflight.Counter
	paths    *paths
	// turn takes the gateways of other regions in turn.
	turn atomic.Uint64
}

// New returns an edge.
func New(c Config) *Edge {
	e := &Edge{Config: c, inFlight: inflight.New(), paths: newPaths()}
	c.Far.OnConnect(e.connected)
	return e
}

// connected learns from a connection made to another gateway how far away its
// region is: the making takes one round trip.
func (e *Edge) connected(address string, took time.Duration) {
	if g, ok := e.Gateways.ByPeerAddress(address); ok {
		e.paths.observe(g.Region, took)
	}
}

// bodyTimeout bounds the time that a caller may take to send its body.
const bodyTimeout = 10 * time.Second

// CallerHandler returns the handler of the callers' listener.
func (e *Edge) CallerHandler() http.Handler { return http.HandlerFunc(e.serveCaller) }

func (e *Edge) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.inFlight.Begin()
	defer e.inFlight.End()
	requests.Inc()
	s, err := e.open(w, r, arrived)
	if err != nil {
		e.refuse(s, failure.AsRefusal(err))
		return
	}
	s.run(r.Context())
	total.Observe(time.Since(arrived))
}

// newSession begins the session of a request whose header has been read.
func (e *Edge) newSession(w http.ResponseWriter, r *http.Request, arrived time.Time) *session {
	return &session{
		edge: e, w: w, method: r.Method, target: r.RequestURI, host: r.Host, path: r.URL.Path,
		header: r.Header, arrived: arrived, req: e.Codec.ReadRequest(r.Header),
	}
}

// open reads a request whole and finds its route.
func (e *Edge) open(w http.ResponseWriter, r *http.Request, arrived time.Time) (*session, error) {
	s := e.newSession(w, r, arrived)
	if err := s.match(r); err != nil {
		return s, err
	}
	s.setDeadline()
	return s, s.readBody(r)
}

// match finds the route and the service of the request.
func (s *session) match(r *http.Request) error {
	table := s.edge.Board.Routes.Get()
	if table == nil {
		return failure.Refuse(failure.CodeNotReady, "no configuration yet").WithRetryAfter(notReadyRetry)
	}
	s.table = table
	s.route = table.Match(r.Host, r.URL.Path)
	if s.route == nil {
		return failure.Refuse(failure.CodeNotFound, "no route")
	}
	if s.req.AttemptID == "" {
		return failure.Refuse(failure.CodeBadRequest, "the request has no attempt id")
	}
	s.service = s.serviceNamed(s.route.SelectService(s.req.AttemptID))
	s.readParts()
	return nil
}

// serviceNamed returns a service, which may be one that the configuration does
// not describe.
func (s *session) serviceNamed(name string) *route.Service {
	if svc, ok := s.table.Services[name]; ok {
		return svc
	}
	return &route.Service{Name: name}
}

// notReadyRetry is what callers of a gateway without configuration are told to
// wait: about what one read of the store takes.
const notReadyRetry = 300 * time.Millisecond

func (s *session) setDeadline() {
	limit := s.route.Timeout
	if s.req.Timeout > 0 && (limit <= 0 || s.req.Timeout < limit) {
		limit = s.req.Timeout
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
	limit := s.table.Limits.MaxBodyBytes
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

// Forget drops what is kept of an endpoint that is gone.
func (e *Edge) Forget(id, address string) {
	e.Near.Forget(address)
	e.Loads.Forget(id)
}

// Ready says whether this gateway takes callers.
func (e *Edge) Ready() bool { return e.Board.Lifecycle.Get() == blackboard.Serving }

// Idle returns a channel that is closed while no request is under way, and the
// number of requests under way.
func (e *Edge) Idle() (<-chan struct{}, int) { return e.inFlight.Idle() }

// refuse gives the caller the gateway's own answer.
func (e *Edge) refuse(s *session, r *failure.Refusal) {
	if r.Outcome == failure.NotRun {
		refusals.Inc()
	} else {
		failures.Inc()
	}
	h := s.w.Header()
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if s.fwd != nil {
		h.Set(headerOutcome, string(r.Outcome))
	}
	s.log("refused", "code", r.Code, "outcome", r.Outcome, "retry_after_ms", r.RetryAfter.Milliseconds(), "err", r)
	s.w.WriteHeader(r.Status())
}
