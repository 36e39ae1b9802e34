package action

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// result is the outcome of an action, with the endpoint's response or the
// failure.
type result struct {
	outcome     failure.Outcome
	status      int
	contentType string
	body        []byte
	bodyDropped bool
	// code and message are set if no response of an endpoint is known.
	code    failure.Code
	message string
	// retryAt is when a retry may succeed; zero if that isn't known.
	retryAt time.Time
}

// resultOfResponse returns the result of a complete response. Only a 2xx status
// means that the action ran; what another status means depends on the endpoint.
func resultOfResponse(r EndpointResponse) *result {
	outcome := failure.Unknown
	if r.Status >= 200 && r.Status < 300 {
		outcome = failure.Ran
	}
	return &result{outcome: outcome, status: r.Status, contentType: r.ContentType, body: r.Body}
}

// resultOfRefusal returns the result of an action that was refused before it
// was sent.
func resultOfRefusal(r *failure.Refusal) *result {
	res := &result{outcome: failure.NotRun, code: r.Code, message: r.Message}
	if r.RetryAfter > 0 {
		res.retryAt = time.Now().Add(r.RetryAfter)
	}
	return res
}

// hasResponse reports whether an endpoint has responded completely.
func (r *result) hasResponse() bool { return r.code == "" }

// refusal returns what callers get for a result without a response.
func (r *result) refusal() *failure.Refusal {
	refusal := failure.New(r.code, r.outcome, "%s", r.message)
	if remaining := time.Until(r.retryAt); remaining > 0 {
		refusal = refusal.WithRetryAfter(remaining)
	}
	return refusal
}

// countOutcome adds the outcome to the counters.
func (r *result) countOutcome() {
	switch r.outcome {
	case failure.Ran:
		ranCount.Inc()
	case failure.NotRun:
		notRunCount.Inc()
	default:
		unknownCount.Inc()
	}
}

// await waits until rec is finished and returns its result. exec is set only
// for the caller that started the action.
func (m *Manager) await(ctx context.Context, c Call, k recordKey, rec *record, exec *execution, source OutcomeSource) (Response, error) {
	if exec == nil {
		if r := m.checkSameCall(c, k, rec); r != nil {
			return Response{}, r
		}
		replays.Inc()
	}
	if rec.done != nil {
		select {
		case <-rec.done:
		case <-ctx.Done():
			return m.stopWaiting(ctx, c, k, rec, exec, source)
		}
	}
	var res *result
	m.records.withLock(k, func(bool) { res = rec.result })
	m.recordStep(ctx, StepReply)
	return m.toResponse(c, res, exec, source)
}

// toResponse converts a result to what Do returns.
func (m *Manager) toResponse(c Call, res *result, exec *execution, source OutcomeSource) (Response, error) {
	if !res.hasResponse() {
		r := res.refusal()
		if res.outcome == failure.NotRun || res == resultStoreUnavailable || res.code == failure.CodeStoreRestored {
			r = m.withNewTicket(c.Customer, r)
		}
		return Response{}, r
	}
	resp := Response{
		Outcome:     res.outcome,
		Status:      res.status,
		Body:        res.body,
		ContentType: res.contentType,
		BodyDropped: res.bodyDropped,
		Replayed:    exec == nil,
		Source:      source,
	}
	if exec != nil && res.bodyDropped {
		resp.Body = exec.responseBody
		resp.BodyDropped = false
	}
	return resp, nil
}

// stopWaiting returns what a caller gets whose context has ended. At the
// deadline of the caller that started the action, an action that has not been
// sent is finished as not run.
func (m *Manager) stopWaiting(ctx context.Context, c Call, k recordKey, rec *record, exec *execution, source OutcomeSource) (Response, error) {
	if exec != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		m.voidUnsent(k, rec)
	}
	var res *result
	m.records.withLock(k, func(bool) { res = rec.result })
	if res != nil {
		return m.toResponse(c, res, exec, source)
	}
	return Response{}, inProgressRefusal()
}

// inProgressRefusal tells a caller that the action is still running.
func inProgressRefusal() *failure.Refusal {
	return failure.New(failure.CodeInProgress, failure.Unknown, "the action is being run; ask for its outcome").WithRetryAfter(time.Second)
}

// resultDeadlineExceeded is the result of actions that were not sent before the
// deadline.
var resultDeadlineExceeded = &result{outcome: failure.NotRun, code: failure.CodeDeadlineExceeded, message: "the deadline passed before the action was sent"}

// voidUnsent finishes a record as not run if nothing was sent for it and it is
// certain that no other gateway may run its key.
func (m *Manager) voidUnsent(k recordKey, rec *record) {
	m.records.withLock(k, func(bool) {
		if rec.phase == phaseReserved && rec.isOwned() {
			rec.finish(resultDeadlineExceeded)
		}
	})
}

// checkSameCall refuses a call that is not the one for which its key was used.
// The outcome in the refusal is that of the key's first call.
func (m *Manager) checkSameCall(c Call, k recordKey, rec *record) *failure.Refusal {
	fp := fingerprintOf(c)
	outcome := failure.Unknown
	same := false
	m.records.withLock(k, func(bool) {
		same = rec.fingerprint == fp || rec.isClosedByQuery()
		if rec.result != nil {
			outcome = rec.result.outcome
		}
	})
	if same {
		return nil
	}
	return keyReusedRefusal(outcome)
}

// keyReusedRefusal refuses a call whose key was used before, for another call
// with the given outcome.
func keyReusedRefusal(outcome failure.Outcome) *failure.Refusal {
	return failure.New(failure.CodeIdempotencyKeyReused, outcome, "the key was used for another call; this one was not run, and the outcome is that of the first")
}

// WithUnknownOutcome returns the refusal of a request about an action whose key
// was not looked up. The request itself was not run, but an earlier one under
// its key may have been, so the outcome of the action is unknown.
func WithUnknownOutcome(err error) *failure.Refusal {
	r := *failure.AsRefusal(err)
	r.Outcome = failure.Unknown
	return &r
}
