package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/httpserver"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// attempt is one try of a request at one endpoint.
type attempt struct {
	*session
	endpoint fleet.EndpointView
	// gateway is the gateway that the request is forwarded to; nil if the endpoint
	// is in this region.
	gateway       *fleet.GatewayStatus
	activeRequest *endpointload.ActiveRequest
	// sentAt is when the request was sent.
	sentAt time.Time
	// mayHaveRunHere is set once the endpoint of this attempt may have run the request.
	mayHaveRunHere bool
	// paced is nil for forwarded requests and if the pace of endpoints is off.
	paced *pacedRequest
}

// attempt sends the request to the endpoint of the decision, or to a gateway of
// its region, and records it in Loads until it ends.
func (s *session) attempt(ctx context.Context, d placement.Decision) outcome {
	defer s.releaseGrant()
	now := time.Now()
	view, ok := s.edge.Registry.Get(d.Candidate.ID)
	if !ok {
		// The endpoint was removed after the decision.
		s.tried[d.Candidate.ID] = true
		return outcome{mayRetry: true, refusal: notSentRefusal("the endpoint was removed")}
	}
	if !view.LeavingSince.IsZero() {
		// It was found to be leaving after the decision.
		s.tried[view.ID] = true
		return outcome{mayRetry: true, refusal: notSentRefusal("the endpoint is leaving")}
	}
	if !isVersion(view, s.stream.version) {
		// It restarted with other software after the decision.
		s.tried[view.ID] = true
		return outcome{mayRetry: true, refusal: notSentRefusal("the endpoint has another software version")}
	}
	a := &attempt{session: s, endpoint: view}
	if d.Candidate.Remote {
		g, ok := s.edge.remoteGateway(view.Region, now)
		if !ok {
			s.tried[regionKey(view.Region)] = true
			return outcome{mayRetry: true, refusal: notSentRefusal("the region has no ready gateway")}
		}
		a.gateway = &g
	} else if reason := s.admit(ctx, view); reason != "" {
		s.tried[view.ID] = true
		return outcome{mayRetry: true, refusal: notSentRefusal(reason)}
	}
	a.activeRequest = s.edge.Loads.Begin(view.ID, view.Incarnation, a.loadJob(d), time.Now())
	a.paced = a.beginPaced(d)
	out, result := a.run(ctx)
	a.activeRequest.End(result, time.Now())
	a.paced.end(result)
	return out
}

// admit checks whether an endpoint of this region still takes a request that is about to
// be sent to it, and counts the request. It returns an empty string if so, otherwise the
// reason why not. Other requests, or news of the endpoint, may have come since the
// decision.
func (s *session) admit(ctx context.Context, view fleet.EndpointView) (reason string) {
	const pausedReason = "the endpoint has asked for a pause"
	if s.edge.Pauses.Remaining(view.ID, view.Incarnation, time.Now()) > 0 {
		return pausedReason
	}
	cause, reason := s.coldCause(ctx, view)
	if reason != "" {
		return reason
	}
	if !s.takePermit(ctx, view) {
		return "the endpoint takes no more requests now"
	}
	now := time.Now()
	if !s.edge.Pauses.TryAdmit(view.ID, view.Incarnation, now) {
		return pausedReason
	}
	if cause == "" {
		return ""
	}
	if !s.admitCold(view, now) {
		return "the endpoint is starting and takes no more requests now"
	}
	coldSends.Inc()
	s.log("sent_cold", "endpoint", view.ID, "cause", cause, "entry_age_ms", now.Sub(view.UpdatedAt).Milliseconds(),
		"gateways", len(s.edge.Gateways.Alive(view.Region, now))+1)
	return ""
}

// notSentRefusal returns the refusal of a request that no endpoint has received.
func notSentRefusal(reason string) *failure.Refusal {
	return failure.Refuse(failure.CodeNoEndpoint, "%s", reason).WithRetryAfter(shortRetryDelay)
}

// shortRetryDelay is the Retry-After for failures of single endpoints, where a new
// try may succeed at another endpoint at once.
const shortRetryDelay = 100 * time.Millisecond

func (a *attempt) loadJob(d placement.Decision) endpointload.Job {
	j := endpointload.Job{
		Service: a.service.Name, CachedTokens: d.Candidate.CachedTokens, Priority: a.priority(),
		Segments: a.segments, SharedPrefix: a.sharedPrefix, Forwarded: a.gateway != nil,
		Ahead: a.grant.ahead, Slots: a.grant.slots,
	}
	if p := a.req.Prompt; p != nil {
		j.PromptTokens, j.OutputTokens = p.Tokens, expectedOutputTokens(p)
		j.Streamed, j.Class, j.Deadline = a.isWholeStream(), a.lengthClass(), a.deadline
		if j.Streamed {
			j.Lengths = a.lengths
		}
	}
	return j
}

// run sends the request and relays the response.
func (a *attempt) run(ctx context.Context) (outcome, endpointload.Result) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := a.send(ctx)
	if err != nil {
		return a.handleSendError(ctx, err)
	}
	defer resp.Body.Close()
	a.reachedEndpoint = true
	if a.gateway != nil && resp.Header.Get(headerOutcome) != "" {
		return a.handleRemoteRefusal(resp)
	}
	meta := a.edge.Codec.ReadResponse(resp.Header)
	if meta.AttemptID != "" && meta.AttemptID != a.req.AttemptID {
		// Whatever it says of its request, it says nothing of this one.
		a.attempts++
		return a.handleFailure(ctx, &ResponseMismatchError{Want: a.req.AttemptID, Got: meta.AttemptID})
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return a.handleAddressTaken()
	}
	a.observeLeaving(meta)
	a.observeSpeed(meta)
	a.observePause(resp)
	a.observeRequestLimit(meta)
	a.attempts++
	return a.relayResponse(ctx, resp, meta)
}

// observeLeaving records that the endpoint says in its response that it is leaving.
func (a *attempt) observeLeaving(meta httpmeta.Response) {
	if !meta.Leaving || a.gateway != nil {
		return
	}
	if a.edge.Registry.MarkLeaving(a.endpoint.ID, a.endpoint.Incarnation, time.Now()) {
		a.log("endpoint_leaving", "endpoint", a.endpoint.ID, "entry_age_ms", a.entryAge(a.endpoint.ID, time.Now()).Milliseconds())
	}
}

// observePause records that the endpoint refuses a request and asks for a pause.
func (a *attempt) observePause(resp *http.Response) {
	if a.gateway != nil {
		return
	}
	asked, err := httpmeta.PauseOf(resp.StatusCode, resp.Header)
	if err != nil {
		a.log("pause_unreadable", "endpoint", a.endpoint.ID, "err", err)
	}
	if asked <= 0 {
		return
	}
	pausesAsked.Inc()
	taken := a.edge.Pauses.Record(a.endpoint.ID, a.endpoint.Incarnation, asked, time.Now())
	a.log("endpoint_pause", "endpoint", a.endpoint.ID, "asked_ms", asked.Milliseconds(), "taken_ms", taken.Milliseconds())
}

// observeRequestLimit records the limit that the endpoint names in its response. Limits in
// other regions are up to the gateways there.
func (a *attempt) observeRequestLimit(meta httpmeta.Response) {
	if meta.RequestLimitErr != nil {
		a.log("request_limit_unreadable", "endpoint", a.endpoint.ID, "err", meta.RequestLimitErr)
		return
	}
	var perSecond float64
	if meta.RequestLimit != nil {
		limitsNamed.Inc()
		perSecond = *meta.RequestLimit
	}
	if a.gateway == nil && a.edge.Limits.Record(a.endpoint.ID, a.endpoint.Incarnation, meta.RequestLimit, a.sentAt, time.Now()) {
		a.log("request_limit", "endpoint", a.endpoint.ID, "per_second", perSecond, "lifted", meta.RequestLimit == nil)
	}
}

// relayResponse relays the response of an endpoint, or handles it as a failure.
func (a *attempt) relayResponse(ctx context.Context, resp *http.Response, meta httpmeta.Response) (outcome, endpointload.Result) {
	if meta.NotExecuted {
		return a.handleShed(resp)
	}
	if !a.mayRetry() {
		a.releaseBody()
	}
	switch {
	case meta.AttemptID != a.req.AttemptID || resp.Header.Get("Content-Encoding") != "":
		return a.handleFailure(ctx, &ResponseMismatchError{Want: a.req.AttemptID, Got: meta.AttemptID})
	case resp.StatusCode >= http.StatusInternalServerError && a.mayRetry():
		a.setMayHaveRun()
		a.log("attempt_failed", "endpoint", a.endpoint.ID, "status", resp.StatusCode)
		return a.retryOutcome(failure.New(failure.CodeEndpointFailed, failure.Unknown, "the endpoint answered with a server error")), endpointload.Failed
	case a.isStream(resp):
		return a.relayStream(ctx, resp)
	case a.stream.started:
		return a.handleFailure(ctx, &StreamError{Reason: "status " + resp.Status + " instead of the remaining events"})
	default:
		return a.relayBuffered(ctx, resp)
	}
}

// ResponseMismatchError reports a response that carries the id of another request,
// or whose body was encoded on the way.
type ResponseMismatchError struct{ Want, Got string }

// Error implements error.
func (e *ResponseMismatchError) Error() string {
	return "response is encoded or for another attempt: got " + e.Got + ", want " + e.Want
}

// setMayHaveRun records that the endpoint of this attempt may have run the request.
func (a *attempt) setMayHaveRun() {
	a.mayHaveRun = true
	if !a.mayHaveRunHere {
		a.mayHaveRunHere = true
		a.runs++
	}
}

// mayRetry reports whether the request may run once more. A forwarded request is
// retried by the forwarding gateway alone.
func (a *attempt) mayRetry() bool {
	return a.route.IsIdempotent() && a.attempts < a.route.MaxAttempts && a.forwarded == nil
}

// send sends the request to the endpoint or the gateway of the attempt, and
// returns once the response header has been read.
func (a *attempt) send(ctx context.Context) (*http.Response, error) {
	httpserver.CancelIfLeft(ctx)
	header := a.header.Clone()
	httpmeta.StripHopByHop(header)
	call := transport.Request{Method: a.method, Target: a.target, Host: a.host, Header: header}
	if len(a.body.parts) > 0 {
		call.Body, call.BodyTail = a.body.parts[0], a.body.parts[1:]
	}
	if a.gateway != nil {
		a.writeForwardHeader(header)
		call.Address = a.gateway.PeerAddress
		return a.edge.GatewayTransport.Do(ctx, call)
	}
	a.edge.Codec.WriteAttempt(header, httpmeta.Attempt{
		EndpointID:  a.endpoint.ID,
		Remaining:   time.Until(a.deadline),
		Priority:    min(a.priority(), lowestPriority),
		Account:     a.accountName(),
		LastEventID: a.resumeEventID(),
	})
	a.sentAt = time.Now()
	call.Address = a.endpoint.Address
	call.DedicatedConnection = !a.route.IsIdempotent()
	return a.edge.EndpointTransport.Do(ctx, call)
}

// lowestPriority is the largest priority value, the least urgent, that endpoints
// accept.
const lowestPriority = 9

// handleSendError handles a request that got no response header. If it was not
// sent, the attempt doesn't count; otherwise the request may have run.
func (a *attempt) handleSendError(ctx context.Context, err error) (outcome, endpointload.Result) {
	var notSent *transport.NotSentError
	if errors.As(err, &notSent) {
		if ctx.Err() != nil {
			return outcome{refusal: notSentRefusal("the request ended before a connection was made")}, endpointload.Abandoned
		}
		a.log("not_sent", "endpoint", a.endpoint.ID, "far", a.gateway != nil, "err", err)
		a.exclude()
		if a.gateway == nil {
			a.markUnreachable(a.endpoint, transport.IsRefusal(err))
		}
		return outcome{mayRetry: true, refusal: notSentRefusal("cannot connect")}, endpointload.Unreachable
	}
	a.attempts++
	return a.handleFailure(ctx, err)
}

// markUnreachable records that an endpoint could not be connected to. refused is set if
// it refused the connection, which shows that it isn't running; a connection that timed
// out may be the network's fault.
func (s *session) markUnreachable(view fleet.EndpointView, refused bool) {
	if refused {
		s.edge.Registry.MarkRefused(view.ID, view.Incarnation, time.Now())
		return
	}
	s.edge.Registry.MarkUnreachable(view.ID, view.Incarnation, time.Now())
}

// exclude keeps further attempts from the same endpoint or, if the request was
// forwarded, from the same region.
func (a *attempt) exclude() {
	if a.gateway != nil {
		a.tried[regionKey(a.endpoint.Region)] = true
		return
	}
	a.tried[a.endpoint.ID] = true
}

// handleFailure handles a request that may have run and whose response is lost.
func (a *attempt) handleFailure(ctx context.Context, err error) (outcome, endpointload.Result) {
	a.setMayHaveRun()
	a.reachedEndpoint = true
	refusal := failure.New(failure.CodeEndpointFailed, failure.Unknown, "no complete response from the endpoint").WithCause(err)
	if ctx.Err() != nil {
		a.log("abandoned", "endpoint", a.endpoint.ID, "cause", ctx.Err())
		return outcome{refusal: refusal}, endpointload.Abandoned
	}
	a.log("attempt_failed", "endpoint", a.endpoint.ID, "far", a.gateway != nil, "err", err)
	a.checkCrash(ctx, err)
	a.exclude()
	if !a.route.IsIdempotent() {
		return outcome{refusal: refusal}, endpointload.Failed
	}
	return a.retryOutcome(refusal), endpointload.Failed
}

// retryOutcome excludes the endpoint and returns the outcome that asks for another
// attempt, which counts as a retry.
func (a *attempt) retryOutcome(refusal *failure.Refusal) outcome {
	a.tried[a.endpoint.ID] = true
	return outcome{mayRetry: true, countsAsRetry: true, refusal: refusal}
}

// handleAddressTaken handles the response of another endpoint that has taken over the
// address. That endpoint has not run the request.
func (a *attempt) handleAddressTaken() (outcome, endpointload.Result) {
	a.log("misplaced", "endpoint", a.endpoint.ID, "address", a.endpoint.Address)
	a.edge.Registry.MarkAddressTaken(a.endpoint.ID, a.endpoint.Incarnation, time.Now())
	return a.retryOutcome(notSentRefusal("another endpoint has taken over the address")), endpointload.Shed
}

// handleShed handles a response by which an endpoint states that it did not run the
// request. A bad request is final; anything else is retried.
func (a *attempt) handleShed(resp *http.Response) (outcome, endpointload.Result) {
	a.log("shed", "endpoint", a.endpoint.ID, "status", resp.StatusCode)
	refusal := failure.Refuse(failure.CodeOverloaded, "the endpoint is overloaded").WithRetryAfter(shortRetryDelay)
	if resp.StatusCode == http.StatusBadRequest {
		refusal = failure.Refuse(failure.CodeBadRequest, "the endpoint rejected the request as invalid")
		return outcome{refusal: refusal}, endpointload.Succeeded
	}
	return a.retryOutcome(refusal), endpointload.Shed
}
