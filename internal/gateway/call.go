package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Headers that callers may set.
const (
	// HeaderPriority lowers the priority of a request.
	HeaderPriority = "X-Priority"
	// HeaderDeadline shortens the deadline of a request, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderIdempotencyKey names an action.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID is echoed to the caller.
	HeaderRequestID = "X-Request-Id"
	// HeaderServedBy names the gateway and the region that answered.
	HeaderServedBy = "X-Served-By"
)

// Bounds on requests.
const (
	defaultDeadline   = 60 * time.Second
	maxRequestIDBytes = 64
	// runIDBytes is the length of what makes a run's id unique.
	runIDBytes = 13
	// regionMoves and ownerMoves are the moves of a fresh request.
	regionMoves = 1
	ownerMoves  = 1
	// drainRetry is what callers of a stopping gateway are told to wait.
	drainRetry = 1 * time.Second
)

// call is one authenticated request.
type call struct {
	id           string
	customerName string
	customer     *intent.Customer
	state        blackboard.IntentState
	// permitted are the regions that may process the request.
	permitted map[string]bool
	priority  int
	deadline  time.Time
	body      []byte
	// fwd is set when another gateway sent the request on.
	fwd *peer.Forward
}

// runID names this run of the request at this gateway. Callers choose request
// ids and another gateway may send one request twice, so they are not unique.
func (c *call) runID() string { return c.id + "." + uuid.NewString()[:runIDBytes] }

func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

func (c *call) regionMoves() int {
	if c.fwd != nil {
		return c.fwd.RegionHopsLeft
	}
	return regionMoves
}

func (c *call) ownerMoves() int {
	if c.fwd != nil {
		return c.fwd.OwnerHopsLeft
	}
	return ownerMoves
}

// forward describes the request for the next gateway. The moves left are those
// after this move.
func (c *call) forward(self string, regionMoves, ownerMoves int) peer.Forward {
	visited := []string{self}
	if c.fwd != nil {
		visited = append(append([]string(nil), c.fwd.Visited...), self)
	}
	permitted := make([]string, 0, len(c.permitted))
	for region := range c.permitted {
		permitted = append(permitted, region)
	}
	return peer.Forward{
		RequestID:        c.id,
		Customer:         c.customerName,
		Visited:          visited,
		RegionHopsLeft:   regionMoves,
		OwnerHopsLeft:    ownerMoves,
		RemainingMillis:  c.remaining().Milliseconds(),
		Revision:         c.state.Revision,
		Priority:         c.priority,
		PermittedRegions: permitted,
	}
}

// under returns the call held to state as well, whose configuration may have
// come while the request waited. What it permits can only narrow.
func (c *call) under(state blackboard.IntentState) *call {
	if state.Intent == nil || state.Revision == c.state.Revision {
		return c
	}
	now := *c
	now.state = state
	now.permitted = make(map[string]bool)
	for region := range state.Intent.PermittedRegions(c.customerName) {
		if c.permitted[region] {
			now.permitted[region] = true
		}
	}
	return &now
}

// requestID returns the caller's request id, or a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, notPrintable) {
		return uuid.NewString()
	}
	return id
}

func notPrintable(r rune) bool { return r <= ' ' || r > '~' }

// caller wraps a handler for requests that callers send with an API key.
func (g *Gateway) caller(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := requestID(r)
		c, err := g.authenticate(w, r, id)
		if err != nil && isAction(r) {
			err = action.WithUnknownOutcome(err)
		}
		if err != nil {
			g.answer(w, id, r.Context(), c, err)
			return
		}
		requests.Inc()
		g.serve(w, r, c, next)
	}
}

// forwarded wraps a handler for a request that another gateway sent on.
func (g *Gateway) forwarded(next handler, fwd peer.Forward, body []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if attempt := r.Header.Get(relay.HeaderAttemptID); attempt != "" {
			w.Header().Set(relay.HeaderAttemptID, attempt)
		}
		c, err := g.accept(fwd, body, false)
		if err != nil {
			g.answer(w, fwd.RequestID, r.Context(), nil, err)
			return
		}
		g.serve(w, r, c, next)
	}
}

// serve runs a handler with its span, its deadline and its refusal.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call, next handler) {
	g.inFlight.Begin()
	defer g.inFlight.End()
	start := time.Now()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := g.startSpan(ctx, c)
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	w.Header().Set(HeaderRequestID, c.id)
	w.Header().Set(HeaderServedBy, g.Board.Self.ID+"/"+g.Board.Self.Region)
	err := next(w, r.WithContext(ctx), c)
	total.Observe(time.Since(start))
	if err != nil {
		span.RecordError(err)
		g.answer(w, c.id, ctx, c, err)
	}
}

// startSpan begins the span of a request at this gateway.
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

// answer sends a refusal, unless the caller has gone.
func (g *Gateway) answer(w http.ResponseWriter, id string, ctx context.Context, c *call, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	refusal := failure.AsRefusal(err)
	var entries []EntryGateway
	if refusal.Code == failure.CodeDraining || refusal.Code == failure.CodeResidencyNotPermitted {
		entries = g.entriesFor(c)
	}
	w.Header().Set(HeaderRequestID, id)
	g.writeRefusal(w, id, refusal, entries)
}

// authenticate finds out who calls, reads the body and checks that this
// gateway may serve the customer. With a refusal for residency it returns the
// call as well, so that the caller can be told where to go.
func (g *Gateway) authenticate(w http.ResponseWriter, r *http.Request, id string) (*call, error) {
	state, err := g.ready(isAction(r))
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
	if err := c.readWishes(r); err != nil {
		return nil, err
	}
	if !c.permitted[g.Board.Self.Region] && r.URL.Path != entriesPath {
		return c, failure.Refuse(failure.CodeResidencyNotPermitted, "this region may not process the customer's data")
	}
	c.body, err = g.readBody(w, r)
	return c, err
}

// isAction says whether a request is about an action.
func isAction(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, actionsPath) }

// ready refuses while this gateway has no configuration or is stopping. A
// stopping gateway still answers for the actions that it owns; action.Manager
// refuses new ones.
func (g *Gateway) ready(forAction bool) (blackboard.IntentState, error) {
	state := g.Board.Intent.Get()
	switch {
	case g.Board.Lifecycle.Get() == blackboard.Draining && !forAction:
		return state, failure.Refuse(failure.CodeDraining, "this instance is stopping").WithRetryAfter(drainRetry)
	case state.Intent == nil:
		return state, failure.Refuse(failure.CodeNotReady, "this instance has no configuration yet").WithRetryAfter(drainRetry)
	}
	return state, nil
}

// readWishes takes the caller's priority and deadline, which may be lower than
// the configuration's, never higher.
func (c *call) readWishes(r *http.Request) error {
	limit := c.customer.Deadline.AsDuration()
	if limit <= 0 {
		limit = defaultDeadline
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return failure.Refuse(failure.CodeBadRequest, "%s must be a number of milliseconds above zero", HeaderDeadline)
		}
		limit = min(limit, time.Duration(min(ms, limit.Milliseconds()))*time.Millisecond)
	}
	c.deadline = time.Now().Add(limit)
	if text := r.Header.Get(HeaderPriority); text != "" {
		p, err := strconv.Atoi(text)
		if err != nil || p < 0 {
			return failure.Refuse(failure.CodeBadRequest, "%s must be a number from 0 to 9", HeaderPriority)
		}
		c.priority = min(c.priority, p)
	}
	return nil
}

// readBody reads a bounded body in a bounded time.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(g.BodyTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, failure.Refuse(failure.CodeBodyTooLarge, "the body is larger than %d bytes", g.MaxBodyBytes)
	}
	return nil, failure.Refuse(failure.CodeBadRequest, "the body could not be read").WithCause(err)
}

// accept checks a request that another gateway sent on. Each side checks
// residency by its own configuration, and the stricter answer wins.
func (g *Gateway) accept(fwd peer.Forward, body []byte, forAction bool) (*call, error) {
	state, err := g.ready(forAction)
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
	own := state.Intent.PermittedRegions(fwd.Customer)
	permitted := make(map[string]bool)
	for _, region := range fwd.PermittedRegions {
		if own[region] {
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
