package action

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// result is how an action ended.
type result struct {
	outcome     failure.Outcome
	status      int
	contentType string
	body        []byte
	bodyDropped bool
	// code and message are set when no endpoint's answer is known.
	code    failure.Code
	message string
}

// replyResult is the result of a whole answer. Only a status of the 200s says
// that the action ran; what another status means is the endpoint's to say.
func replyResult(r EndpointResponse) *result {
	outcome := failure.Unknown
	if r.Status >= 200 && r.Status < 300 {
		outcome = failure.Ran
	}
	return &result{outcome: outcome, status: r.Status, contentType: r.ContentType, body: r.Body}
}

// refusedResult is the result of an action that was refused before it was sent.
func refusedResult(r *failure.Refusal) *result {
	return &result{outcome: failure.NotRun, code: r.Code, message: r.Message}
}

// answered reports whether an endpoint's whole answer is known.
func (r *result) answered() bool { return r.code == "" }

// refusal is the form of a result without an answer that callers are shown.
func (r *result) refusal() *failure.Refusal {
	return failure.New(r.code, r.outcome, "%s", r.message)
}

// count adds the result to the counters.
func (r *result) count() {
	switch r.outcome {
	case failure.Ran:
		ranCount.Inc()
	case failure.NotRun:
		notRunCount.Inc()
	default:
		unknownCount.Inc()
	}
}

// await waits for rec to end and returns its result. f is set for the caller
// that began the action.
func (m *Manager) await(ctx context.Context, c Call, k recordKey, rec *record, f *flight, way OutcomeSource) (Response, error) {
	if f == nil {
		if r := m.differs(c, k, rec); r != nil {
			return Response{}, r
		}
		replays.Inc()
	}
	if rec.done != nil {
		select {
		case <-rec.done:
		case <-ctx.Done():
			return m.giveUp(ctx, c, k, rec, f, way)
		}
	}
	var res *result
	m.records.with(k, func(bool) { res = rec.result })
	m.at(ctx, StepReply)
	return m.answer(c, res, f, way)
}

// answer turns a result into what the caller is told.
func (m *Manager) answer(c Call, res *result, f *flight, way OutcomeSource) (Response, error) {
	if !res.answered() {
		r := res.refusal()
		if res.outcome == failure.NotRun || res == storeAway {
			r = m.withTicket(c.Customer, r)
		}
		return Response{}, r
	}
	a := Response{
		Outcome:     res.outcome,
		Status:      res.status,
		Body:        res.body,
		ContentType: res.contentType,
		BodyDropped: res.bodyDropped,
		Replayed:    f == nil,
		Source:      way,
	}
	if f != nil && res.bodyDropped {
		a.Body = f.body
		a.BodyDropped = false
	}
	return a, nil
}

// giveUp answers a caller whose own wait is over. At the deadline of the
// caller that began the action, an action that has not been sent is voided.
func (m *Manager) giveUp(ctx context.Context, c Call, k recordKey, rec *record, f *flight, way OutcomeSource) (Response, error) {
	if f != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		m.voidAtDeadline(k, rec)
	}
	var res *result
	m.records.with(k, func(bool) { res = rec.result })
	if res != nil {
		return m.answer(c, res, f, way)
	}
	return Response{}, inProgress()
}

// inProgress tells a caller that the action is still being run.
func inProgress() *failure.Refusal {
	return failure.New(failure.CodeInProgress, failure.Unknown, "the action is being run; ask for its outcome").WithRetryAfter(time.Second)
}

// voidDeadline is the result of actions that were not sent in time.
var voidDeadline = &result{outcome: failure.NotRun, code: failure.CodeDeadlineExceeded, message: "the deadline passed before the action was sent"}

// voidAtDeadline ends a record that has not been sent, if its key is certainly
// this gateway's.
func (m *Manager) voidAtDeadline(k recordKey, rec *record) {
	m.records.with(k, func(bool) {
		if rec.phase == phaseReserved && rec.owned() {
			rec.end(voidDeadline)
		}
	})
}

// differs refuses a call that is not the one its key was used for. The outcome
// told is that of the key's first call.
func (m *Manager) differs(c Call, k recordKey, rec *record) *failure.Refusal {
	print := fingerprintOf(c)
	outcome := failure.Unknown
	same := false
	m.records.with(k, func(bool) {
		same = rec.print == print || rec.asked()
		if rec.result != nil {
			outcome = rec.result.outcome
		}
	})
	if same {
		return nil
	}
	return keyReused(outcome)
}

// keyReused refuses a call whose key was used for another call before, which
// ended with outcome.
func keyReused(outcome failure.Outcome) *failure.Refusal {
	return failure.New(failure.CodeIdempotencyKeyReused, outcome, "the key was used for another call; this one was not run, and the outcome is that of the first")
}

// WithUnknownOutcome returns the refusal of a request about an action whose key was not
// looked up. The request itself was not run, but an earlier one under its key
// may have, so that the outcome of the action is unknown.
func WithUnknownOutcome(err error) *failure.Refusal {
	r := *failure.AsRefusal(err)
	r.Outcome = failure.Unknown
	return &r
}
