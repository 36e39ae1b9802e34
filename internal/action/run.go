package action

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// doTicket runs a ticket of this incarnation.
func (m *Manager) doTicket(ctx context.Context, c Call, t *ticket) (Response, error) {
	k := ticketRecordKey(t.number)
	rec, fresh, refusal := m.records.reserve(k, func(closed bool) (*record, *failure.Refusal) {
		return m.newTicketRecord(c, t, closed)
	})
	if refusal != nil {
		return Response{}, m.withTicket(c.Customer, refusal)
	}
	var f *flight
	if fresh {
		f = m.launch(ctx, c, func(run context.Context, f *flight) { m.executeTicket(run, c, k, rec, f) })
	}
	return m.await(ctx, c, k, rec, f, SourceTicket)
}

// newTicketRecord makes the record of a ticket that has none. A refusal is
// only told as failure.NotRun if the ticket can't be used later either.
func (m *Manager) newTicketRecord(c Call, t *ticket, closed bool) (*record, *failure.Refusal) {
	now := m.elapsed()
	if now >= t.expires() {
		expired.Inc()
		return nil, m.expiredRefusal(now, t)
	}
	if closed || m.draining.Load() {
		return nil, failure.Refuse(failure.CodeDraining, "the gateway that issued the ticket is stopping; use another one")
	}
	removeAt := t.expires() + m.limits.Retention
	if m.quotas.records.take(1) {
		return &record{print: fingerprintOf(c), attempt: newAttemptID(), done: make(chan struct{}), removeAt: removeAt}, nil
	}
	recordsFull.Inc()
	if m.quotas.voids.take(1) {
		return &record{print: fingerprintOf(c), phase: phaseFinished, result: voidFull, removeAt: removeAt}, voidFull.refusal()
	}
	return nil, failure.New(failure.CodeOverloaded, failure.Unknown, "this gateway can't take actions now; nothing was sent for this request").WithRetryAfter(time.Second)
}

// voidFull is the result of keys that were refused for lack of memory.
var voidFull = &result{outcome: failure.NotRun, code: failure.CodeOverloaded, message: "this gateway remembers too many actions; the ticket is void"}

// voidAsked is the result of keys whose outcome was asked before they were used.
var voidAsked = &result{outcome: failure.NotRun, code: failure.CodeNotFound, message: "the action had not begun when its outcome was asked; it never will"}

// expiredRefusal refuses an expired ticket without a record. As long as the
// record would be kept, its absence means that the ticket was never used.
func (m *Manager) expiredRefusal(now time.Duration, t *ticket) *failure.Refusal {
	if now < t.expires()+m.limits.Retention {
		return failure.Refuse(failure.CodeTicketExpired, "the ticket has expired unused")
	}
	return failure.New(failure.CodeTicketExpired, failure.Unknown, "the ticket has expired and its record is no longer kept")
}

// flight is one run of an action; it hands the answer's body to the caller
// that began it when the body is too long to be kept.
type flight struct {
	// before is the time after which nothing may be sent any more: the
	// deadline of the caller that began it.
	before time.Time
	body   []byte
}

// launch runs fn in a goroutine that outlives the caller.
func (m *Manager) launch(ctx context.Context, c Call, fn func(run context.Context, f *flight)) *flight {
	f := &flight{}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = m.cfg.Now().Add(m.timeoutOf(c))
	}
	f.before = deadline
	m.running.enter()
	m.tomb.Go(func() error {
		defer m.running.leave()
		run, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		defer context.AfterFunc(m.alive, cancel)()
		fn(run, f)
		return nil
	})
	return f
}

// timeoutOf bounds the wait for the endpoint's answer.
func (m *Manager) timeoutOf(c Call) time.Duration {
	return orDefault(c.Timeout, m.limits.DefaultTimeout)
}

// admit asks whether the action may run now, until the deadline of the caller
// that began it. It returns the refusal, or the function that ends the run.
func (m *Manager) admit(ctx context.Context, c Call, f *flight) (release func(), refused *failure.Refusal) {
	m.at(ctx, StepAdmit)
	if m.cfg.Admitter == nil {
		return func() {}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, f.before)
	defer cancel()
	release, err := m.cfg.Admitter.AdmitAction(ctx, c)
	if err != nil {
		return nil, failure.AsRefusal(err)
	}
	return release, nil
}

// executeTicket admits and dispatches a ticket. A refusal ends the ticket.
func (m *Manager) executeTicket(ctx context.Context, c Call, k recordKey, rec *record, f *flight) {
	m.at(ctx, StepReserve)
	release, refused := m.admit(ctx, c, f)
	if refused != nil {
		m.records.finish(k, rec, refusedResult(refused)).count()
		return
	}
	defer release()
	m.execute(ctx, c, k, rec, f)
}

// execute dispatches an admitted record and ends it.
func (m *Manager) execute(ctx context.Context, c Call, k recordKey, rec *record, f *flight) {
	res := m.dispatch(ctx, c, k, rec, f.before)
	m.at(ctx, StepResult)
	f.body = m.trimBody(res)
	m.records.finish(k, rec, res).count()
}

// dispatch returns the result of one dispatch.
func (m *Manager) dispatch(ctx context.Context, c Call, k recordKey, rec *record, before time.Time) *result {
	reply, err := m.cfg.Dispatcher.Dispatch(ctx, DispatchRequest{
		Customer:     c.Customer,
		Service:      c.Service,
		Name:         c.Name,
		Body:         c.Body,
		ContentType:  c.ContentType,
		RequestID:    c.RequestID,
		AttemptID:    rec.attempt,
		ActionID:     m.actionID(k),
		FencingToken: fencingNumber,
		Timeout:      m.timeoutOf(c),
		Commit:       func() error { return m.commit(ctx, k, rec, before) },
	})
	if err == nil {
		return replyResult(reply)
	}
	return m.failedResult(k, rec, err)
}

// fencingNumber goes with an action's id to endpoints that check one. It is
// constant because an action is dispatched once and never by a second owner;
// an endpoint that has seen it for the action refuses a delivery once more.
const fencingNumber = 1

// actionID names an action towards endpoints.
func (m *Manager) actionID(k recordKey) string {
	if k[len(k)-1] == claimMark {
		return hex.EncodeToString(k[:])
	}
	return m.cfg.Incarnation + "-" + hex.EncodeToString(k[:8])
}

// CommitError says why an order may not be sent any more.
type CommitError struct{ Reason CommitReason }

// CommitReason names why an order may not be sent.
type CommitReason string

// The reasons.
const (
	CommitTwice  CommitReason = "the order was committed or ended before"
	CommitSealed CommitReason = "the gateway has sealed its records"
	CommitLate   CommitReason = "the caller's deadline has passed"
)

// Error implements error.
func (e *CommitError) Error() string { return "must not send: " + string(e.Reason) }

// commit notes that the record's order is about to be sent. It succeeds once
// at most, and not after the seal or the caller's deadline.
func (m *Manager) commit(ctx context.Context, k recordKey, rec *record, before time.Time) error {
	var err error
	m.records.with(k, func(closed bool) {
		switch {
		case rec.phase != phaseReserved:
			err = &CommitError{Reason: CommitTwice}
		case closed:
			err = &CommitError{Reason: CommitSealed}
		case !m.cfg.Now().Before(before):
			err = &CommitError{Reason: CommitLate}
		default:
			rec.phase = phaseSent
			dispatched.Inc()
		}
	})
	if err == nil {
		m.at(ctx, StepCommit)
	}
	return err
}

// failedResult is the result of a dispatch that got no answer. It trusts
// *NotSentError only if the order was never committed.
func (m *Manager) failedResult(k recordKey, rec *record, err error) *result {
	sent := true
	m.records.with(k, func(bool) { sent = rec.phase == phaseSent })
	var notSent *NotSentError
	if sent || !errors.As(err, &notSent) {
		return &result{outcome: failure.Unknown, code: failure.CodeEndpointFailed, message: "the endpoint gave no whole answer; the action may have run"}
	}
	var commit *CommitError
	if errors.As(err, &commit) && commit.Reason == CommitLate {
		return &result{outcome: failure.NotRun, code: failure.CodeDeadlineExceeded, message: "the deadline passed before the action was sent"}
	}
	if errors.As(err, &commit) && commit.Reason == CommitSealed {
		return &result{outcome: failure.NotRun, code: failure.CodeDraining, message: "the gateway stopped before the action was sent"}
	}
	var refusal *failure.Refusal
	if errors.As(err, &refusal) {
		return refusedResult(refusal)
	}
	return &result{outcome: failure.NotRun, code: failure.CodeNoEndpoint, message: "no endpoint took a connection"}
}

// trimBody drops the answer's body from res if it can't be kept for replays,
// and returns it.
func (m *Manager) trimBody(res *result) []byte {
	n := len(res.body)
	if n == 0 {
		return nil
	}
	if n <= m.limits.MaxBodyBytes && m.quotas.bodies.take(n) {
		return nil
	}
	body := res.body
	res.body = nil
	res.bodyDropped = true
	return body
}
