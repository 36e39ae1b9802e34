// Package edge is the data plane for routes. It matches a request to a route,
// chooses an endpoint, sends the request to that endpoint or to a gateway of the
// endpoint's region, and relays the complete response. Failing that, it answers
// with a status that tells the caller whether the request may have run.
package edge

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hickorystage/hickorystage/internal/backoff"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/budget"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/inflight"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/overload"
	"github.com/hickorystage/hickorystage/internal/pace"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/readlag"
	"github.com/hickorystage/hickorystage/internal/requestlimit"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/streamversion"
	"github.com/hickorystage/hickorystage/internal/telemetry"
	"github.com/hickorystage/hickorystage/internal/transport"
)

var (
	requestsReceived = telemetry.NewCounter("route_requests", "requests", "caller requests on routes")
	requestsRefused  = telemetry.NewCounter("route_refusals", "requests", "route requests refused without running")
	requestsFailed   = telemetry.NewCounter("route_failures", "requests", "route requests that failed with an unknown outcome")
	forwardsReceived = telemetry.NewCounter("route_forwards_received", "requests", "route requests forwarded here by gateways of other regions")
	responsesAborted = telemetry.NewCounter("route_broken_off", "requests", "route responses aborted after they had started")
	retriesDenied    = telemetry.NewCounter("route_retries_denied", "requests", "route retries denied by the shared retry budget")
	coldSends        = telemetry.NewCounter("route_cold_sends", "requests", "route requests sent to endpoints in their cold start")
	healthAsked      = telemetry.NewCounter("route_health_checks", "requests", "health checks of endpoints whose entries are out of date")
	crashesSeen      = telemetry.NewCounter("route_endpoint_crashes", "requests", "requests whose endpoint crashed while it ran them")
	pausesAsked      = telemetry.NewCounter("route_pauses", "responses", "responses by which endpoints asked for a pause")
	requestsLate     = telemetry.NewCounter("route_late", "requests", "route requests refused because they arrived too late while the gateway stops")
	permitsTaken     = telemetry.NewCounter("route_permits", "requests", "route requests that got a permit for an endpoint that names a limit")
	permitsDenied    = telemetry.NewCounter("route_permits_denied", "requests", "tries of route requests to get such a permit that failed")
	limitsNamed      = telemetry.NewCounter("route_limits_named", "responses", "responses in which endpoints named the requests a second that they take")
	promptsHeld      = telemetry.NewCounter("route_prompts_held", "requests", "route requests refused because a segment of their prompt crashes endpoints")
	requestsHeld     = telemetry.NewCounter("route_requests_held", "requests", "route requests refused because they crash endpoints")
	forwardsNewer    = telemetry.NewCounter("route_forwards_newer", "requests", "forwarded requests refused because they were forwarded under a newer configuration that sends them to another service")
	forecastRefusals = telemetry.NewCounter("route_forecast_refusals", "requests", "route requests refused since their response would end too late or delay others")
	requestTime      = telemetry.NewHistogram("route_time")
)

// Config holds the dependencies of an Edge.
type Config struct {
	Board       *blackboard.Edge
	Registry    *fleet.Registry
	Gateways    *fleet.Gateways
	Codec       httpmeta.HeaderCodec
	Loads       *endpointload.Tracker
	RetryBudget *budget.RetryBudget
	ColdStarts  *budget.ColdStartLimiter
	// Pauses are those that endpoints have asked this gateway for.
	Pauses *backoff.Tracker[int64]
	// Limits are those that endpoints of this region name.
	Limits *requestlimit.Tracker
	// Quarantine keeps prompts that crash endpoints away from them, RequestQuarantine whole
	// requests that do.
	Quarantine        *quarantine.Tracker
	RequestQuarantine *quarantine.Tracker
	// EndpointTransport connects to endpoints of this region, GatewayTransport to
	// gateways of other regions.
	EndpointTransport *transport.Transport
	GatewayTransport  *transport.Transport
	// Grants asks endpoint coordinators for grants, in large regions only, and for
	// permits. It may be nil if this gateway is the only one of its region.
	Grants Grants
	// Credit asks the coordinators of client accounts for credit. It may be nil if this
	// gateway is the only one.
	Credit CreditSender
	// Configs fetches newer configurations from other gateways. If it is nil, they come into
	// force by themselves only.
	Configs Configs
	// Memory is the account of the bodies and responses that requests hold. If it is
	// nil, nothing is refused for them.
	Memory *memory.Account
	// ResponseForecast refuses requests whose responses are expected to end after their
	// deadlines. RegionSpill sends requests to less utilized regions before the local one
	// is full; it needs a large region.
	ResponseForecast bool
	RegionSpill      bool
	// Freshness is used only where the settings ask for strict revocation.
	Freshness Freshness
	// Pace holds the windows of endpoints that have just started or recovered; nil if their
	// pace is off. PaceReporter tells other gateways of them; it may be nil.
	Pace         *pace.Tracker
	PaceReporter PaceReporter
	// Streams holds which software versions began streams; nil for an empty one. StreamPeers
	// tells other gateways and asks them; it may be nil if this gateway is the only one.
	Streams     *streamversion.Records
	StreamPeers StreamPeers
	// ReadLag is how far this process is behind its sockets; nil means not at all.
	ReadLag readlag.Func
	Logger  *log.Logger
}

// Configs brings newer configurations into force.
type Configs interface {
	// Fetch fetches the configuration of another gateway that has the given version, and
	// reports whether that version came into force before ctx ended.
	Fetch(ctx context.Context, gateway string, version uint64) bool
}

// Edge serves the requests of callers and those forwarded by other gateways. It
// is safe for concurrent use.
type Edge struct {
	Config
	inFlight   *inflight.Counter
	roundTrips *roundTrips
	// nextGateway is the round-robin counter over the gateways of a remote region.
	nextGateway atomic.Uint64

	// grantCoordinators decide on grants. stableCoordinators, chosen among all gateways
	// that may still run, send to cold endpoints and give out permits.
	grantCoordinators, stableCoordinators latestCoordinators
	health                                healthChecks
	pacing                                *pacing
	stopping                              *stopping
	shedder                               overload.Shedder
	spills                                spills
	allowances                            *allowances
	// streamBacklog is the number of bytes that callers have not taken yet of their streams.
	streamBacklog atomic.Int64
}

// New returns an Edge that measures the round trips to other regions on the
// connections of c.GatewayTransport.
func New(c Config) *Edge {
	e := &Edge{Config: c, inFlight: inflight.New(), roundTrips: newRoundTrips(), health: healthChecks{timeout: healthTimeout}, stopping: newStopping(), pacing: newPacing(c.Pace)}
	if e.Memory == nil {
		e.Memory = memory.NewAccount(0)
	}
	if e.Streams == nil {
		e.Streams = streamversion.NewRecords()
	}
	e.allowances = newAllowances(e)
	c.GatewayTransport.OnConnect(e.observeConnection)
	return e
}

// observeConnection records the time that it took to connect to another gateway
// as the round-trip time to its region, since a TCP handshake takes one round trip.
func (e *Edge) observeConnection(address string, took time.Duration) {
	if g, ok := e.Gateways.ByPeerAddress(address); ok {
		e.roundTrips.observe(g.Region, took)
	}
}

// CallerHandler returns the handler of the callers' listener.
func (e *Edge) CallerHandler() http.Handler { return http.HandlerFunc(e.serveCaller) }

func (e *Edge) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrived := e.arrivalTime(time.Now())
	e.inFlight.Begin()
	defer e.inFlight.End()
	requestsReceived.Inc()
	s, err := e.openSession(w, r, arrived)
	defer s.releaseBody()
	if err != nil {
		e.refuse(s, failure.AsRefusal(err))
		return
	}
	ctx, cancel := e.stopping.withInterrupt(r.Context())
	defer cancel()
	if refusal := s.resolveVersion(ctx); refusal != nil {
		e.refuse(s, refusal)
		return
	}
	s.run(ctx)
	requestTime.Observe(time.Since(arrived))
}

// newSession returns the session of a request whose header has been read.
func (e *Edge) newSession(w http.ResponseWriter, r *http.Request, arrived time.Time) *session {
	return &session{
		edge: e, writer: w, method: r.Method, target: r.RequestURI, host: r.Host, path: r.URL.Path,
		header: r.Header, arrived: arrived, req: e.Codec.ReadRequest(r.Header),
	}
}

// openSession matches a caller's request to a route, sets its deadline and reads
// the whole body. The session is valid for refusing the request even when the
// error is not nil.
func (e *Edge) openSession(w http.ResponseWriter, r *http.Request, arrived time.Time) (*session, error) {
	// Callers can't set what gateways tell each other.
	r.Header.Del(headerForward)
	r.Header.Del(headerOutcome)
	s := e.newSession(w, r, arrived)
	if err := s.match(r); err != nil {
		return s, err
	}
	s.setDeadline()
	if err := s.overloadRefusal(); err != nil {
		return s, err
	}
	if err := s.readBody(r); err != nil {
		return s, err
	}
	s.requestKeys = []quarantine.Key{s.requestKey()}
	return s, e.refusalOfLate()
}

// match sets the route and the service of the request. The error is a
// *failure.Refusal.
func (s *session) match(r *http.Request) error {
	// The proof is read before the configuration, which may become newer in between but
	// not older.
	isCurrent := s.edge.isProvedCurrent()
	table := s.edge.Board.Routes.Get()
	if table == nil {
		return failure.Refuse(failure.CodeNotReady, "the gateway has no configuration yet").WithRetryAfter(notReadyRetryDelay)
	}
	s.table = table
	s.route = table.Match(r.Host, r.URL.Path)
	if s.route == nil {
		return failure.Refuse(failure.CodeNotFound, "no route matches the request")
	}
	if !transport.IsTargetSendable(s.target) {
		return failure.Refuse(failure.CodeBadRequest, "the request target is invalid")
	}
	if err := s.identify(isCurrent); err != nil {
		return err
	}
	if s.req.AttemptID == "" {
		return failure.Refuse(failure.CodeBadRequest, "the request has no attempt id")
	}
	s.service = s.serviceNamed(s.route.SelectService(s.req.AttemptID))
	s.readSegments()
	return nil
}

// serviceNamed returns the service with the given name, without limits or engine if
// the configuration doesn't describe it.
func (s *session) serviceNamed(name string) *route.Service {
	if svc, ok := s.table.Services[name]; ok {
		return svc
	}
	return &route.Service{Name: name}
}

// notReadyRetryDelay is the Retry-After of a gateway that has no configuration
// yet: about the time that one read of the store takes.
const notReadyRetryDelay = 300 * time.Millisecond

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

// defaultTimeout applies to requests for which neither the route nor the caller
// sets a timeout.
const defaultTimeout = 60 * time.Second

// Forget closes the idle connections to a removed endpoint and drops what is recorded
// of its load.
func (e *Edge) Forget(id, address string) {
	e.EndpointTransport.Forget(address)
	e.Loads.Forget(id)
	e.Limits.Forget(id)
	e.pacing.forget(id)
}

// IsReady reports whether this gateway accepts requests of callers.
func (e *Edge) IsReady() bool { return e.Board.Lifecycle.Get() == blackboard.Serving }

// Idle returns a channel that is closed once no request is in flight, and the number
// of requests in flight.
func (e *Edge) Idle() (<-chan struct{}, int) { return e.inFlight.Idle() }

// refuse answers a request with the status of r. It has no body; for a forwarded
// request the outcome is sent too, so that the forwarding gateway can decide
// whether to try elsewhere.
func (e *Edge) refuse(s *session, r *failure.Refusal) {
	if r.Outcome == failure.NotRun {
		requestsRefused.Inc()
	} else {
		requestsFailed.Inc()
	}
	fields := []any{"code", r.Code, "outcome", r.Outcome, "retry_after_ms", r.RetryAfter.Milliseconds(), "err", r}
	if s.account != nil {
		s.countAccountRefusal()
		fields = append(fields, "account", s.account.Name)
	}
	s.log("refused", fields...)
	e.writeRefusal(s, r)
}

// writeRefusal sends the response to a request that is refused or has failed.
func (e *Edge) writeRefusal(s *session, r *failure.Refusal) {
	h := s.writer.Header()
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if r.Code == failure.CodeUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if s.forwarded != nil {
		h.Set(headerOutcome, string(r.Outcome))
		h.Set(headerReachedEndpoint, strconv.FormatBool(s.reachedEndpoint))
	}
	s.writer.WriteHeader(r.Status())
}
