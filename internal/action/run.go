package action

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// runTicket runs a call under a ticket of this incarnation.
func (m *Manager) runTicket(ctx context.Context, c Call, t *ticket) (Response, error) {
	k := ticketRecordKey(t.number)
	rec, created, refusal := m.records.getOrCreate(k, func(closed bool) (*record, *failure.Refusal) {
		return m.newTicketRecord(c, t, closed)
	})
	if refusal != nil {
		return Response{}, m.withNewTicket(c.Customer, refusal)
	}
	var exec *execution
	if created {
		exec = m.startExecution(ctx, c, func(runCtx context.Context, exec *execution) { m.executeTicket(runCtx, c, k, rec, exec) })
	}
	return m.await(ctx, c, k, rec, exec, SourceTicket)
}

// newTicketRecord returns a new record for a ticket that has none. A refusal is
// failure.NotRun only if the ticket can't be used later either.
func (m *Manager) newTicketRecord(c Call, t *ticket, closed bool) (*record, *failure.Refusal) {
	now := m.elapsed()
	if now >= t.expires() {
		expiredTickets.Inc()
		return nil, m.expiredTicketRefusal(now, t)
	}
	if closed || m.draining.Load() {
		return nil, failure.Refuse(failure.CodeDraining, "the gateway that issued the ticket is stopping; use another one")
	}
	removeAt := t.expires() + m.limits.TicketRecordRetention
	if m.quotas.records.tryAcquire(1) {
		return &record{fingerprint: fingerprintOf(c), attemptID: newAttemptID(), done: make(chan struct{}), removeAt: removeAt}, nil
	}
	recordLimitRefusals.Inc()
	if m.quotas.voidRecords.tryAcquire(1) {
		return &record{fingerprint: fingerprintOf(c), phase: phaseFinished, result: resultRecordLimit, removeAt: removeAt}, resultRecordLimit.refusal()
	}
	return nil, failure.New(failure.CodeOverloaded, failure.Unknown, "this gateway can't take actions now; nothing was sent for this request").WithRetryAfter(time.Second)
}

// resultRecordLimit is the result of tickets that were refused because
// Limits.MaxRecords was reached.
var resultRecordLimit = &result{outcome: failure.NotRun, code: failure.CodeOverloaded, message: "this gateway remembers too many actions; the ticket is void"}

// resultClosedByQuery is the result of keys whose outcome was queried before
// they were used.
var resultClosedByQuery = &result{outcome: failure.NotRun, code: failure.CodeNotFound, message: "the action had not begun when its outcome was asked; it never will"}

// expiredTicketRefusal refuses an expired ticket without a record. As long as a
// record would still be kept, its absence means that the ticket was never used.
func (m *Manager) expiredTicketRefusal(now time.Duration, t *ticket) *failure.Refusal {
	if now < t.expires()+m.limits.TicketRecordRetention {
		return failure.Refuse(failure.CodeTicketExpired, "the ticket has expired unused")
	}
	return failure.New(failure.CodeTicketExpired, failure.Unknown, "the ticket has expired and its record is no longer kept")
}

// execution is the execution of one action. It passes a response body that is
// not kept to the caller that started the action.
type execution struct {
	// deadline is that of the caller that started the action. Nothing may be
	// sent after it.
	deadline time.Time
	// responseBody is set if the body could not be kept in the record.
	responseBody []byte
}

// startExecution runs fn in a goroutine that goes on when the caller leaves.
func (m *Manager) startExecution(ctx context.Context, c Call, fn func(runCtx context.Context, exec *execution)) *execution {
	exec := &execution{}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = m.cfg.Now().Add(m.timeoutOf(c))
	}
	exec.deadline = deadline
	m.inFlight.add()
	m.tomb.Go(func() error {
		defer m.inFlight.done()
		runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		defer context.AfterFunc(m.runCtx, cancel)()
		fn(runCtx, exec)
		return nil
	})
	return exec
}

// timeoutOf returns the limit on the wait for the endpoint's response.
func (m *Manager) timeoutOf(c Call) time.Duration {
	return orDefault(c.Timeout, m.limits.DefaultTimeout)
}

// admit asks the admitter whether the action may run now, and waits for it
// until the execution's deadline. It returns the refusal, or the function to
// call when the action is finished.
func (m *Manager) admit(ctx context.Context, c Call, exec *execution) (release func(), refused *failure.Refusal) {
	m.recordStep(ctx, StepAdmit)
	if m.cfg.Admitter == nil {
		return func() {}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, exec.deadline)
	defer cancel()
	release, err := m.cfg.Admitter.AdmitAction(ctx, c)
	if err != nil {
		return nil, failure.AsRefusal(err)
	}
	return release, nil
}

// executeTicket admits and dispatches a call under a ticket. After a refusal
// the ticket can't be used again.
func (m *Manager) executeTicket(ctx context.Context, c Call, k recordKey, rec *record, exec *execution) {
	m.recordStep(ctx, StepReserve)
	release, refused := m.admit(ctx, c, exec)
	if refused != nil {
		m.records.finish(k, rec, resultOfRefusal(refused)).countOutcome()
		return
	}
	defer release()
	m.execute(ctx, c, k, rec, exec)
}

// execute dispatches an admitted action and finishes its record.
func (m *Manager) execute(ctx context.Context, c Call, k recordKey, rec *record, exec *execution) {
	res := m.dispatch(ctx, c, k, rec, exec.deadline)
	m.recordStep(ctx, StepResult)
	exec.responseBody = m.detachUnkeptBody(res)
	m.records.finish(k, rec, res).countOutcome()
}

// dispatch dispatches the action and returns its result.
func (m *Manager) dispatch(ctx context.Context, c Call, k recordKey, rec *record, deadline time.Time) *result {
	resp, err := m.cfg.Dispatcher.Dispatch(ctx, DispatchRequest{
		Customer:     c.Customer,
		Service:      c.Service,
		Name:         c.Name,
		Body:         c.Body,
		ContentType:  c.ContentType,
		RequestID:    c.RequestID,
		AttemptID:    rec.attemptID,
		ActionID:     m.actionID(k),
		FencingToken: actionFencingToken,
		Timeout:      m.timeoutOf(c),
		Commit:       func() error { return m.commit(ctx, k, rec, deadline) },
	})
	if err == nil {
		return resultOfResponse(resp)
	}
	return m.resultOfDispatchError(k, rec, err)
}

// actionFencingToken is the fencing token of every action, for endpoints that
// check one. It is constant because an action is dispatched once and never by a
// second owner. An endpoint that has seen it for an action id refuses another
// delivery of the action.
const actionFencingToken = 1

// actionID returns the id of an action that endpoints see.
func (m *Manager) actionID(k recordKey) string {
	if k[len(k)-1] == claimKeyMarker {
		return hex.EncodeToString(k[:])
	}
	return m.cfg.Incarnation + "-" + hex.EncodeToString(k[:8])
}

// CommitError reports why a request may not be sent.
type CommitError struct{ Reason CommitReason }

// CommitReason tells why a request may not be sent.
type CommitReason string

// The reasons why a request may not be sent.
const (
	CommitRepeated       CommitReason = "the request was committed earlier or the action is finished"
	CommitSealed         CommitReason = "the gateway has sealed its records"
	CommitDeadlinePassed CommitReason = "the caller's deadline has passed"
)

// Error implements error.
func (e *CommitError) Error() string { return "request must not be sent: " + string(e.Reason) }

// commit notes that the record's request is about to be sent. It succeeds at
// most once, and not after the records are sealed or the deadline has passed.
func (m *Manager) commit(ctx context.Context, k recordKey, rec *record, deadline time.Time) error {
	var err error
	m.records.withLock(k, func(closed bool) {
		switch {
		case rec.phase != phaseReserved:
			err = &CommitError{Reason: CommitRepeated}
		case closed:
			err = &CommitError{Reason: CommitSealed}
		case !m.cfg.Now().Before(deadline):
			err = &CommitError{Reason: CommitDeadlinePassed}
		default:
			rec.phase = phaseSent
			actionsDispatched.Inc()
		}
	})
	if err == nil {
		m.recordStep(ctx, StepCommit)
	}
	return err
}

// resultOfDispatchError returns the result of a dispatch that failed with err.
// *NotSentError counts only if the request was never committed.
func (m *Manager) resultOfDispatchError(k recordKey, rec *record, err error) *result {
	sent := true
	m.records.withLock(k, func(bool) { sent = rec.phase == phaseSent })
	var notSent *NotSentError
	if sent || !errors.As(err, &notSent) {
		return &result{outcome: failure.Unknown, code: failure.CodeEndpointFailed, message: "the endpoint gave no whole answer; the action may have run"}
	}
	var commitErr *CommitError
	if errors.As(err, &commitErr) && commitErr.Reason == CommitDeadlinePassed {
		return &result{outcome: failure.NotRun, code: failure.CodeDeadlineExceeded, message: "the deadline passed before the action was sent"}
	}
	if errors.As(err, &commitErr) && commitErr.Reason == CommitSealed {
		return &result{outcome: failure.NotRun, code: failure.CodeDraining, message: "the gateway stopped before the action was sent"}
	}
	var refusal *failure.Refusal
	if errors.As(err, &refusal) {
		return resultOfRefusal(refusal)
	}
	return &result{outcome: failure.NotRun, code: failure.CodeNoEndpoint, message: "no endpoint took a connection"}
}

// detachUnkeptBody removes the response body from res and returns it if it
// can't be kept for replays. It returns nil if the body is kept or empty.
func (m *Manager) detachUnkeptBody(res *result) []byte {
	n := len(res.body)
	if n == 0 {
		return nil
	}
	if n <= m.limits.MaxReplayBodyBytes && m.quotas.bodyBytes.tryAcquire(n) {
		return nil
	}
	body := res.body
	res.body = nil
	res.bodyDropped = true
	return body
}
