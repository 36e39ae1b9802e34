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
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// attempt is one sending of a request.
type attempt struct {
	*session
	endpoint fleet.EndpointView
	// gateway is where the request goes on to; nil for an endpoint here.
	gateway *fleet.GatewayStatus
	entry   *endpointload.ActiveRequest
	sent    time.Time
}

// attempt sends the request where the decision says.
func (s *session) attempt(ctx context.Context, d placement.Decision) outcome {
	now := time.Now()
	b, ok := s.edge.Registry.Get(d.Candidate.ID)
	if !ok {
		// It is gone since the decision.
		s.tried[d.Candidate.ID] = true
		return outcome{elsewhere: true, refusal: notSent("endpoint gone")}
	}
	a := &attempt{session: s, endpoint: b, sent: now}
	if d.Candidate.Remote {
		g, ok := s.edge.farGateway(b.Region, now)
		if !ok {
			s.tried[regionKey(b.Region)] = true
			return outcome{elsewhere: true, refusal: notSent("region not reached")}
		}
		a.gateway = &g
	} else if b.IsCold(s.edge.heartbeat(), now) {
		s.edge.ColdStarts.Record(b.ID, now)
	}
	a.entry = s.edge.Loads.Begin(b.ID, b.Incarnation, a.job(d), now)
	out, result := a.run(ctx)
	a.entry.End(result, time.Now())
	return out
}

func notSent(why string) *failure.Refusal {
	return failure.Refuse(failure.CodeNoEndpoint, "%s", why).WithRetryAfter(soonRetry)
}

// soonRetry is what callers are told to wait when the next try may go to
// another place at once.
const soonRetry = 100 * time.Millisecond

func (a *attempt) job(d placement.Decision) endpointload.Job {
	j := endpointload.Job{
		Service: a.service.Name, CachedTokens: d.Candidate.CachedTokens, Priority: a.route.Priority,
		Segments: a.parts, SharedPrefix: a.sharedHash, Forwarded: a.gateway != nil,
	}
	if p := a.req.Prompt; p != nil {
		j.PromptTokens, j.OutputTokens = p.Tokens, likelyOutput(p)
	}
	return j
}

// run sends the request and passes on the answer.
func (a *attempt) run(ctx context.Context) (outcome, endpointload.Result) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := a.send(ctx)
	if err != nil {
		return a.unanswered(ctx, err)
	}
	defer resp.Body.Close()
	if a.gateway != nil && resp.Header.Get(headerOutcome) != "" {
		return a.refusedThere(resp)
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return a.misplaced()
	}
	a.attempts++
	return a.pass(ctx, resp)
}

// pass passes on the answer of an endpoint.
func (a *attempt) pass(ctx context.Context, resp *http.Response) (outcome, endpointload.Result) {
	answer := a.edge.Codec.ReadResponse(resp.Header)
	switch {
	case answer.NotExecuted:
		return a.shed(resp)
	case answer.AttemptID != a.req.AttemptID || resp.Header.Get("Content-Encoding") != "":
		return a.failed(ctx, &CrossedError{Want: a.req.AttemptID, Got: answer.AttemptID})
	case resp.StatusCode >= http.StatusInternalServerError && a.mayRepeat():
		a.mayHaveRun = true
		a.log("attempt_failed", "endpoint", a.endpoint.ID, "status", resp.StatusCode)
		return a.again(failure.New(failure.CodeEndpointFailed, failure.Unknown, "the endpoint failed")), endpointload.Failed
	case a.isStream(resp):
		return a.passStream(ctx, resp)
	case a.stream.started:
		return a.failed(ctx, &EventError{Reason: "status " + resp.Status + " in place of the rest"})
	default:
		return a.passWhole(ctx, resp)
	}
}

// CrossedError says that an answer belongs to another request.
type CrossedError struct{ Want, Got string }

// Error implements error.
func (e *CrossedError) Error() string {
	return "answer of attempt " + e.Got + " in place of " + e.Want
}

// mayRepeat says whether the request may run once more.
func (a *attempt) mayRepeat() bool {
	return a.route.Repeatable() && a.attempts < a.route.MaxAttempts && a.fwd == nil
}

// send sends the request to the endpoint, or to a gateway of its region.
func (a *attempt) send(ctx context.Context) (*http.Response, error) {
	header := a.header.Clone()
	httpmeta.StripHopByHop(header)
	call := transport.Request{Method: a.method, Target: a.target, Host: a.host, Header: header, Body: a.body}
	if a.gateway != nil {
		a.writeForward(header)
		call.Address = a.gateway.PeerAddress
		return a.edge.Far.Do(ctx, call)
	}
	a.edge.Codec.WriteAttempt(header, httpmeta.Attempt{
		EndpointID:  a.endpoint.ID,
		Remaining:   time.Until(a.deadline),
		Priority:    min(a.route.Priority, maxUrgency),
		LastEventID: a.resumeFrom(),
	})
	call.Address = a.endpoint.Address
	call.DedicatedConnection = !a.route.Repeatable()
	return a.edge.Near.Do(ctx, call)
}

// maxUrgency is the least urgent value that endpoints take.
const maxUrgency = 9

// unanswered handles a request that brought no answer.
func (a *attempt) unanswered(ctx context.Context, err error) (outcome, endpointload.Result) {
	var notSentErr *transport.NotSentError
	if errors.As(err, &notSentErr) {
		if ctx.Err() != nil {
			return outcome{refusal: notSent("no connection in time")}, endpointload.Abandoned
		}
		a.log("not_sent", "endpoint", a.endpoint.ID, "far", a.gateway != nil, "err", err)
		a.exclude()
		if a.gateway == nil {
			a.edge.Registry.MarkUnreachable(a.endpoint.ID, a.endpoint.Incarnation, time.Now())
		}
		return outcome{elsewhere: true, refusal: notSent("no connection")}, endpointload.Unreachable
	}
	a.attempts++
	return a.failed(ctx, err)
}

// exclude keeps the next attempt from the same place.
func (a *attempt) exclude() {
	if a.gateway != nil {
		a.tried[regionKey(a.endpoint.Region)] = true
		return
	}
	a.tried[a.endpoint.ID] = true
}

// failed handles a request that may have run and whose answer is lost.
func (a *attempt) failed(ctx context.Context, err error) (outcome, endpointload.Result) {
	a.mayHaveRun = true
	refusal := failure.New(failure.CodeEndpointFailed, failure.Unknown, "no whole answer").WithCause(err)
	if ctx.Err() != nil {
		a.log("abandoned", "endpoint", a.endpoint.ID, "cause", ctx.Err())
		return outcome{refusal: refusal}, endpointload.Abandoned
	}
	a.log("attempt_failed", "endpoint", a.endpoint.ID, "far", a.gateway != nil, "err", err)
	a.exclude()
	if !a.route.Repeatable() {
		return outcome{refusal: refusal}, endpointload.Failed
	}
	return a.again(refusal), endpointload.Failed
}

// again asks for another attempt that counts as a repeat.
func (a *attempt) again(refusal *failure.Refusal) outcome {
	a.tried[a.endpoint.ID] = true
	return outcome{elsewhere: true, repeat: true, refusal: refusal}
}

// misplaced handles the answer of another endpoint at the same address.
func (a *attempt) misplaced() (outcome, endpointload.Result) {
	a.log("misplaced", "endpoint", a.endpoint.ID, "address", a.endpoint.Address)
	a.edge.Registry.MarkAddressTaken(a.endpoint.ID, a.endpoint.Incarnation, time.Now())
	return a.again(notSent("another endpoint has the address")), endpointload.Shed
}

// shed handles an endpoint's word that it did not run the request.
func (a *attempt) shed(resp *http.Response) (outcome, endpointload.Result) {
	a.log("shed", "endpoint", a.endpoint.ID, "status", resp.StatusCode)
	refusal := failure.Refuse(failure.CodeOverloaded, "the endpoint is full").WithRetryAfter(soonRetry)
	if resp.StatusCode == http.StatusBadRequest {
		refusal = failure.Refuse(failure.CodeBadRequest, "the endpoint found the request faulty")
		return outcome{refusal: refusal}, endpointload.Succeeded
	}
	return a.again(refusal), endpointload.Shed
}
