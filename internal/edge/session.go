package edge

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/backoff"
	"github.com/hickorystage/hickorystage/internal/budget"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/route"
)

// session is one request of a caller, or one forwarded here, with all its
// attempts. It is used by one goroutine.
type session struct {
	edge   *Edge
	writer http.ResponseWriter
	method string
	target string
	host   string
	path   string
	header http.Header
	body   requestBody
	// arrived is when the caller's request arrived. For a forwarded request it is
	// computed from the time left until the latency objective.
	arrived time.Time

	table   *route.Table
	route   *route.Route
	service *route.Service
	// account is the owner of the request's key; nil if the configuration has no accounts,
	// and for requests without a known key on public routes.
	account *account.Account
	// keyDigest is the digest of the request's key, set if account is.
	keyDigest account.Digest
	// unproved is set if account isn't named to others, since its key may have been taken
	// away. This happens on public routes only.
	unproved bool
	req      httpmeta.Request
	deadline time.Time
	// cost is what each run of the request costs of the allowance of its account; 0 if that is
	// not limited. charges is how often it was charged.
	cost    float64
	charges int
	// forwarded is set if a gateway of another region forwarded the request, nil
	// for requests of callers.
	forwarded *forwardInfo

	// segments are the segments of the prompt, each with the hash of the prefix that
	// it ends; sharedTokens is the number of tokens in all but the last.
	segments     []endpointload.Segment
	sharedTokens int
	// sharedPrefix is the hash of the prefix of all segments but the last.
	sharedPrefix uint64
	// sharedSegments are the segments of the prompt but the last, for Quarantine.
	sharedSegments []quarantine.Key
	// requestKeys holds the key of the request for RequestQuarantine. It is empty until the
	// body has been read.
	requestKeys []quarantine.Key
	// prefixKey is the rank key of requests that share all segments but the last: they
	// prefer the same endpoint, which has the prefix cached. It is empty for requests
	// without a shared prefix.
	prefixKey string

	// tried holds the ids of endpoints and the keys of regions that this request
	// must not be sent to again.
	tried map[string]bool
	// heldBack are the endpoints that the last search for candidates left out because they
	// have asked for a pause or named a limit, soonestReturn the time until the first of
	// them is back.
	heldBack      []string
	soonestReturn time.Duration
	// lengths are those that the response of a model request is expected to have.
	lengths endpointload.Lengths
	// grant is the place that a coordinator holds for the next attempt.
	grant slotGrant
	// paced is what the last search for candidates found of the pace of endpoints.
	paced pacedEndpoints
	// attempts counts the attempts that may have reached an endpoint.
	attempts int
	// reachedEndpoint is set once an endpoint may have received the request, whether it ran
	// it or not.
	reachedEndpoint bool
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// runs counts the attempts in which an endpoint may have run the request.
	runs int
	// out writes the events of the stream to the caller; nil until there is one.
	out *streamWriter
	// stream is the part of the response that the caller has been sent.
	stream streamState
}

// outcome is the result of one attempt.
type outcome struct {
	// done is set if the caller has the final response, or has disconnected.
	done bool
	// mayRetry is set if another attempt is safe.
	mayRetry bool
	// countsAsRetry is set if another attempt counts against the route's maximum
	// and the retry budget. Attempts that reached no endpoint don't count, nor do
	// those that a gateway of another region refused before they reached one.
	countsAsRetry bool
	// refusal is what the caller is answered if no other attempt follows.
	refusal *failure.Refusal
}

// run makes attempts until the request is answered, fails or reaches its deadline.
func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	if refusal := s.takeAllowance(ctx); refusal != nil {
		s.fail(ctx, refusal)
		return
	}
	defer s.settleAllowance()
	defer s.closeStream()
	s.tried = make(map[string]bool)
	s.edge.RetryBudget.RecordRequest(s.service.Name, time.Now())
	for {
		if ctx.Err() != nil {
			s.fail(ctx, notSentRefusal("the request ended before it was sent"))
			return
		}
		if refusal := s.quarantineRefusal(); refusal != nil {
			s.fail(ctx, refusal)
			return
		}
		d, ok := s.place(ctx)
		if !ok && s.stream.started {
			// Regions and endpoints that refused earlier may have capacity again.
			clear(s.tried)
		}
		if !ok && s.stream.started && sleep(ctx, resumePollInterval) {
			continue
		}
		if !ok {
			s.fail(ctx, s.refusalFor(d))
			return
		}
		out := s.attempt(ctx, d)
		if out.done {
			return
		}
		if !s.mayContinue(ctx, out) {
			s.fail(ctx, out.refusal)
			return
		}
	}
}

// resumePollInterval is the time between two searches for an endpoint that can
// resume a stream of which the caller has a part.
const resumePollInterval = 100 * time.Millisecond

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// mayContinue reports whether another attempt may follow one that failed. A
// permitted retry is charged to the service's retry budget.
func (s *session) mayContinue(ctx context.Context, out outcome) bool {
	if !out.mayRetry || s.body.released || ctx.Err() != nil || s.forwarded != nil && out.countsAsRetry {
		return false
	}
	if out.countsAsRetry {
		if s.attempts >= s.route.MaxAttempts {
			return false
		}
		if !s.edge.trySpendRetry(s.service.Name, time.Now()) {
			retriesDenied.Inc()
			s.log("retry_denied")
			return false
		}
		s.chargeRetry()
	}
	return true
}

// trySpendRetry takes one retry from the budget of a service, which this gateway shares
// with all others, and reports whether the budget allowed it.
func (e *Edge) trySpendRetry(service string, now time.Time) bool {
	gateways := budget.UnknownGateways
	if e.Gateways.IsSettled(now) {
		gateways = e.countGateways(now)
	}
	return e.RetryBudget.TrySpend(service, gateways, now)
}

// countGateways returns the number of gateways that may run, with this one and those behind
// a cut.
func (e *Edge) countGateways(now time.Time) int {
	return e.Gateways.CountRemembered() + e.Gateways.CountUnheard(maps.Keys(e.Board.Settings.Get().Regions), now)
}

// refusalFor returns the refusal for a decision not to place the request.
func (s *session) refusalFor(d placement.Decision) *failure.Refusal {
	code := failure.CodeOverloaded
	if d.Reason == placement.NoEndpoint {
		code = failure.CodeNoEndpoint
	}
	retryAfter := d.RetryAfter
	if d.Reason == placement.NoEndpoint && s.soonestReturn > 0 {
		retryAfter = max(retryAfter, backoff.ReturnAfter(s.soonestReturn, s.req.AttemptID))
	}
	return failure.Refuse(code, "%s", d.Reason).WithRetryAfter(retryAfter)
}

// fail answers a request that failed. If part of the response has been sent, it
// aborts the connection, so that the caller can't take that part for all of it.
func (s *session) fail(ctx context.Context, r *failure.Refusal) {
	isCallerGone := context.Cause(ctx) == context.Canceled
	if isCallerGone {
		s.log("caller_gone")
	}
	if s.stream.started {
		if !isCallerGone {
			s.log("broken_off", "err", r)
			responsesAborted.Inc()
		}
		panic(http.ErrAbortHandler)
	}
	if s.mayHaveRun && r.Outcome == failure.NotRun {
		r = failure.New(failure.CodeEndpointFailed, failure.Unknown, "%s", r.Message)
	}
	if isCallerGone {
		// A caller that has only closed its sending direction still reads. Without an
		// answer net/http would send it an empty 200.
		s.edge.writeRefusal(s, r)
		return
	}
	isInterrupted := errors.Is(context.Cause(ctx), errInterrupted)
	if isInterrupted && r.Outcome != failure.NotRun {
		r = failure.New(failure.CodeEndpointFailed, r.Outcome, "the gateway stopped before the response")
	}
	if ctx.Err() != nil && !isInterrupted && r.Outcome != failure.NotRun {
		r = failure.New(failure.CodeDeadlineExceeded, r.Outcome, "no response before the deadline")
	}
	s.edge.refuse(s, r)
}

// log writes one line with the request's id, route and age, and the given pairs
// of keys and values.
func (s *session) log(event string, keyvals ...any) {
	fields := append([]any{"request", s.req.AttemptID, "route", s.routeName(), "ms", time.Since(s.arrived).Milliseconds()}, keyvals...)
	s.edge.Logger.Info(event, fields...)
}

func (s *session) routeName() string {
	if s.route == nil {
		return ""
	}
	return s.route.Name
}
