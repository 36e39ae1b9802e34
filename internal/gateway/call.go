package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Headers of the callers' API.
const (
	// HeaderPriority lowers the priority of a request. A number above the
	// customer's priority has no effect.
	HeaderPriority = "X-Priority"
	// HeaderDeadline is the time that the caller allows for a request, in
	// milliseconds. It can only shorten the configured deadline.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderIdempotencyKey identifies an action across retries.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID identifies a request; the response repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderServedBy holds the id and the region of the gateway that sent the
	// response, as "id/region".
	HeaderServedBy = "X-Served-By"
)

// Limits and defaults of requests.
const (
	defaultDeadline   = 60 * time.Second
	maxRequestIDBytes = 64
	// localIDSuffixBytes is the length of the random suffix of a local request
	// id.
	localIDSuffixBytes = 13
	// maxRegionHops and maxOwnerHops limit how often a caller's request is
	// forwarded to another region and to the owner of its ticket.
	maxRegionHops = 1
	maxOwnerHops  = 1
	// unavailableRetryAfter is the Retry-After of a gateway that is draining,
	// has no configuration yet or finds no endpoint.
	unavailableRetryAfter = 1 * time.Second
)

// call is one authenticated request, from a caller or forwarded by another
// gateway.
type call struct {
	id           string
	customerName string
	customer     *intent.Customer
	state        blackboard.IntentState
	// permitted holds the regions that may process the request.
	permitted map[string]bool
	priority  int
	deadline  time.Time
	body      []byte
	// hold is the memory that the body of a caller's request holds; nil if it has none or
	// if the request was forwarded, whose memory the peer listener holds.
	hold *memory.Holder
	// fwd describes a request that another gateway forwarded; nil if a caller
	// sent it.
	fwd *peer.Forward
}

// localRequestID returns a new id for the handling of this request at this
// gateway. The request's own id is not unique: callers choose it, and another
// gateway may forward one request twice.
func (c *call) localRequestID() string { return c.id + "." + uuid.NewString()[:localIDSuffixBytes] }

func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

func (c *call) regionHopsLeft() int {
	if c.fwd != nil {
		return c.fwd.RegionHopsLeft
	}
	return maxRegionHops
}

func (c *call) ownerHopsLeft() int {
	if c.fwd != nil {
		return c.fwd.OwnerHopsLeft
	}
	return maxOwnerHops
}

// forward returns the description of the request for the next gateway.
// regionHopsLeft and ownerHopsLeft are the hops left after this one.
func (c *call) forward(selfID string, regionHopsLeft, ownerHopsLeft int) peer.Forward {
	visited := []string{selfID}
	if c.fwd != nil {
		visited = append(append([]string(nil), c.fwd.Visited...), selfID)
	}
	permitted := make([]string, 0, len(c.permitted))
	for region := range c.permitted {
		permitted = append(permitted, region)
	}
	return peer.Forward{
		RequestID:        c.id,
		Customer:         c.customerName,
		Visited:          visited,
		RegionHopsLeft:   regionHopsLeft,
		OwnerHopsLeft:    ownerHopsLeft,
		RemainingMillis:  c.remaining().Milliseconds(),
		Revision:         c.state.Revision,
		Priority:         c.priority,
		PermittedRegions: permitted,
	}
}

// narrowedTo returns the call with only those regions permitted that state
// permits as well. The configuration may have changed while the request waited;
// a new one can remove permitted regions but not add any.
func (c *call) narrowedTo(state blackboard.IntentState) *call {
	if state.Intent == nil || state.Revision == c.state.Revision {
		return c
	}
	narrowed := *c
	narrowed.state = state
	narrowed.permitted = make(map[string]bool)
	for region := range state.Intent.PermittedRegions(c.customerName) {
		if c.permitted[region] {
			narrowed.permitted[region] = true
		}
	}
	return &narrowed
}

// requestID returns the request id that the caller sent, or a new one if it is
// missing, too long or not printable ASCII.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, isNotPrintableASCII) {
		return uuid.NewString()
	}
	return id
}

func isNotPrintableASCII(r rune) bool { return r <= ' ' || r > '~' }

// wrapCaller returns an HTTP handler that authenticates a caller by its API key
// and runs next.
func (g *Gateway) wrapCaller(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// A shutdown that begins after the check of the lifecycle has to wait for the
		// request.
		g.inFlight.Begin()
		defer g.inFlight.End()
		id := requestID(r)
		c, err := g.authenticate(w, r, id)
		defer c.releaseBody()
		if err != nil && isActionRequest(r) {
			err = action.WithUnknownOutcome(err)
		}
		if err != nil {
			g.respondRefusal(w, id, c, err)
			return
		}
		requests.Inc()
		g.serve(w, r, c, next)
	}
}

// wrapForwarded returns an HTTP handler that validates a request forwarded by
// another gateway and runs next.
func (g *Gateway) wrapForwarded(next handler, fwd peer.Forward, body []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.inFlight.Begin()
		defer g.inFlight.End()
		if attempt := r.Header.Get(relay.HeaderAttemptID); attempt != "" {
			w.Header().Set(relay.HeaderAttemptID, attempt)
		}
		c, err := g.accept(fwd, body, false)
		if err != nil {
			g.respondRefusal(w, fwd.RequestID, nil, err)
			return
		}
		g.serve(w, r, c, next)
	}
}

// serve runs next with the call's deadline and a trace span, and sends the
// error that it returns.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call, next handler) {
	start := time.Now()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := g.startSpan(ctx, c)
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	w.Header().Set(HeaderRequestID, c.id)
	w.Header().Set(HeaderServedBy, g.Board.Self.ID+"/"+g.Board.Self.Region)
	err := next(w, r.WithContext(ctx), c)
	requestTime.Observe(time.Since(start))
	if err != nil {
		span.RecordError(err)
		g.respondRefusal(w, c.id, c, err)
	}
}

// startSpan starts the span of a request at this gateway.
func (g *Gateway) startSpan(ctx context.Context, c *call) (context.Context, trace.Span) {
	return telemetry.Tracer().Start(ctx, telemetry.SpanGateway,
		trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(
			attribute.String("request.id", c.id),
			attribute.String("customer", c.customerName),
			attribute.String("gateway.id", g.Board.Self.ID),
			attribute.String("gateway.region", g.Board.Self.Region),
			attribute.Bool("forwarded", c.fwd != nil),
		))
}

// respondRefusal sends err as a typed refusal, also to a caller that seems to have
// disconnected: it may only have closed its sending direction, and would get an empty 200
// otherwise. If this gateway is draining or its region is not permitted, the
// response names the gateways to use instead.
func (g *Gateway) respondRefusal(w http.ResponseWriter, id string, c *call, err error) {
	refusal := failure.AsRefusal(err)
	var entries []EntryGateway
	if refusal.Code == failure.CodeDraining || refusal.Code == failure.CodeResidencyNotPermitted {
		entries = g.entryGatewaysFor(c)
	}
	w.Header().Set(HeaderRequestID, id)
	g.writeRefusal(w, id, refusal, entries)
}

// authenticate identifies the customer by the API key, reads the body and
// checks that this region may process the customer's data. If it may not, the
// call is returned with the refusal, so that the response can name gateways of
// permitted regions.
func (g *Gateway) authenticate(w http.ResponseWriter, r *http.Request, id string) (*call, error) {
	state, err := g.checkReady(isActionRequest(r))
	if err != nil {
		return nil, err
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, failure.Refuse(failure.CodeUnauthenticated, "the Authorization header must hold a bearer key")
	}
	name, customer, ok := state.Intent.CustomerByAPIKey(key)
	if !ok {
		return nil, failure.Refuse(failure.CodeUnauthenticated, "the key is not known")
	}
	c := &call{
		id:           id,
		customerName: name,
		customer:     customer,
		state:        state,
		permitted:    state.Intent.PermittedRegions(name),
		priority:     customer.Priority,
	}
	if err := c.applyLimitHeaders(r); err != nil {
		return nil, err
	}
	if !c.permitted[g.Board.Self.Region] && r.URL.Path != entriesPath {
		return c, failure.Refuse(failure.CodeResidencyNotPermitted, "this region may not process the customer's data")
	}
	return c, g.readBody(c, w, r)
}

// isActionRequest returns whether a request is about an action.
func isActionRequest(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, actionsPath) }

// checkReady returns the configuration in force, or a refusal while there is
// none or this gateway is draining. A draining gateway still serves requests
// about the actions that it owns; action.Manager rejects new ones.
func (g *Gateway) checkReady(forAction bool) (blackboard.IntentState, error) {
	state := g.Board.Intent.Get()
	switch {
	case g.Board.Lifecycle.Get().IsEnding() && !forAction:
		return state, failure.Refuse(failure.CodeDraining, "this instance is stopping").WithRetryAfter(unavailableRetryAfter)
	case state.Intent == nil:
		return state, failure.Refuse(failure.CodeNotReady, "this instance has no configuration yet").WithRetryAfter(unavailableRetryAfter)
	}
	return state, nil
}

// applyLimitHeaders sets the call's deadline and priority from the customer's
// configuration and the request's headers. The headers can lower the configured
// values but not raise them.
func (c *call) applyLimitHeaders(r *http.Request) error {
	limit := c.customer.Deadline.AsDuration()
	if limit <= 0 {
		limit = defaultDeadline
	}
	if value := r.Header.Get(HeaderDeadline); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms <= 0 {
			return failure.Refuse(failure.CodeBadRequest, "%s must be a number of milliseconds above zero", HeaderDeadline)
		}
		limit = min(limit, time.Duration(min(ms, limit.Milliseconds()))*time.Millisecond)
	}
	c.deadline = time.Now().Add(limit)
	if value := r.Header.Get(HeaderPriority); value != "" {
		priority, err := strconv.Atoi(value)
		if err != nil || priority < 0 {
			return failure.Refuse(failure.CodeBadRequest, "%s must be a number from 0 to 9", HeaderPriority)
		}
		c.priority = min(c.priority, priority)
	}
	return nil
}

// accept validates a request that another gateway forwarded. Each gateway
// checks residency by its own configuration; only the regions that both permit
// remain permitted.
func (g *Gateway) accept(fwd peer.Forward, body []byte, forAction bool) (*call, error) {
	state, err := g.checkReady(forAction)
	if err != nil {
		return nil, err
	}
	if fwd.HasVisited(g.Board.Self.ID) {
		return nil, failure.Refuse(failure.CodeForwardingLoop, "the request has been at this instance before")
	}
	customer, ok := state.Intent.Customers[fwd.Customer]
	if !ok {
		return nil, failure.Refuse(failure.CodeForbidden, "this instance does not know the customer")
	}
	localPermitted := state.Intent.PermittedRegions(fwd.Customer)
	permitted := make(map[string]bool)
	for _, region := range fwd.PermittedRegions {
		if localPermitted[region] {
			permitted[region] = true
		}
	}
	if !permitted[g.Board.Self.Region] {
		return nil, failure.Refuse(failure.CodeResidencyNotPermitted, "this region may not process the customer's data")
	}
	return &call{
		id:           fwd.RequestID,
		customerName: fwd.Customer,
		customer:     &customer,
		state:        state,
		permitted:    permitted,
		priority:     min(fwd.Priority, customer.Priority),
		deadline:     time.Now().Add(fwd.Remaining()),
		body:         body,
		fwd:          &fwd,
	}, nil
}
