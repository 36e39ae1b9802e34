package action

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// ticketOutcome tells how a ticket of this incarnation ended, and closes one
// that was not used.
func (m *Manager) ticketOutcome(q Query, t *ticket) Record {
	k := ticketRecordKey(t.number)
	rec, _, refusal := m.records.reserve(k, func(closed bool) (*record, *failure.Refusal) {
		return m.askedRecord(t, closed)
	})
	if refusal != nil {
		return Record{Key: q.Key, State: StateFinished, Outcome: refusal.Outcome, Reason: refusal.Code, Source: SourceTicket}
	}
	return m.recordOf(q.Key, k, rec, SourceTicket)
}

// askedRecord closes a ticket that was not used.
func (m *Manager) askedRecord(t *ticket, closed bool) (*record, *failure.Refusal) {
	now := m.elapsed()
	if now >= t.expires() {
		return nil, m.expiredRefusal(now, t)
	}
	if closed || m.draining.Load() {
		return nil, voidAsked.refusal()
	}
	if !m.quotas.voids.take(1) {
		return nil, failure.New(failure.CodeOverloaded, failure.Unknown, "this gateway can't close the ticket now")
	}
	return &record{phase: phaseFinished, result: voidAsked, removeAt: t.expires() + m.limits.Retention}, nil
}

// recordOf shows rec.
func (m *Manager) recordOf(key string, k recordKey, rec *record, way OutcomeSource) Record {
	out := Record{Key: key, State: StateInProgress, Outcome: failure.Unknown, Source: way}
	m.records.with(k, func(bool) {
		if rec.phase != phaseFinished {
			return
		}
		out.State = StateFinished
		out.Outcome = rec.result.outcome
		out.Status = rec.result.status
		out.Reason = rec.result.code
	})
	return out
}

// doForeign passes a call to the incarnation that owns its ticket. Without an
// answer of the owner nothing is certain: an earlier request may have run.
func (m *Manager) doForeign(ctx context.Context, c Call, t *ticket) (Response, error) {
	if rec, ok := m.sealedOutcome(ctx, c.Key, t, false); ok {
		return m.sealedAnswer(c, rec)
	}
	if c.Forwarded || m.cfg.Forwarder == nil {
		return Response{}, ownerUnreachable(nil)
	}
	forwards.Inc()
	answer, err := m.cfg.Forwarder.ForwardAction(ctx, t.Owner, c)
	if err == nil {
		answer.Source = SourceForwardedTicket
		return answer, nil
	}
	var refusal *failure.Refusal
	if errors.As(err, &refusal) {
		return Response{}, refusal
	}
	if rec, ok := m.sealedOutcome(ctx, c.Key, t, true); ok {
		return m.sealedAnswer(c, rec)
	}
	return Response{}, ownerUnreachable(err)
}

// ownerUnreachable tells that the owner of a ticket gave no answer.
func ownerUnreachable(cause error) *failure.Refusal {
	return failure.New(failure.CodeOwnerUnreachable, failure.Unknown, "the gateway that issued the ticket gave no answer; whether the action ran is not known").WithCause(cause)
}

// foreignOutcome asks the owner of a ticket, or its seal, for the outcome.
func (m *Manager) foreignOutcome(ctx context.Context, q Query, t *ticket) (Record, error) {
	if rec, ok := m.sealedOutcome(ctx, q.Key, t, false); ok {
		return rec, nil
	}
	if q.Forwarded || m.cfg.Forwarder == nil {
		return Record{}, ownerUnreachable(nil)
	}
	rec, err := m.cfg.Forwarder.ForwardOutcome(ctx, t.Owner, q)
	if err == nil {
		return rec, nil
	}
	var refusal *failure.Refusal
	if errors.As(err, &refusal) {
		return Record{}, refusal
	}
	if rec, ok := m.sealedOutcome(ctx, q.Key, t, true); ok {
		return rec, nil
	}
	return Record{}, ownerUnreachable(err)
}

// sealedAnswer answers a call by the seal of its ticket's owner. The
// endpoint's answer isn't kept by a seal, so Status is 0 and there is no body.
func (m *Manager) sealedAnswer(c Call, rec Record) (Response, error) {
	replays.Inc()
	if rec.Outcome == failure.Ran {
		return Response{Outcome: failure.Ran, BodyDropped: true, Replayed: true, Source: SourceSeal}, nil
	}
	r := failure.New(rec.Reason, rec.Outcome, "the gateway that issued the ticket has stopped; the outcome is from its records")
	if rec.Outcome == failure.NotRun {
		r = m.withTicket(c.Customer, r)
	}
	return Response{}, r
}
