package action

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// ticketOutcome returns the outcome of a ticket of this incarnation. If the
// ticket has not been used, it is closed: it can't be used any more, and the
// outcome failure.NotRun is final. If it can't be closed, the outcome is that of
// the refusal.
func (m *Manager) ticketOutcome(q Query, t *ticket) Record {
	k := ticketRecordKey(t.number)
	rec, _, refusal := m.records.getOrCreate(k, func(tableClosed bool) (*record, *failure.Refusal) {
		return m.newVoidRecord(t, tableClosed)
	})
	if refusal != nil {
		return Record{Key: q.Key, State: StateFinished, Outcome: refusal.Outcome, Reason: refusal.Code, Source: SourceTicket}
	}
	return m.snapshotRecord(q.Key, k, rec, SourceTicket)
}

// newVoidRecord returns a void record for an unused ticket, so that the ticket
// can't be used any more. It returns a refusal instead if the ticket has expired,
// if the record table is closed or the manager is draining, or if MaxVoidRecords
// is reached.
func (m *Manager) newVoidRecord(t *ticket, tableClosed bool) (*record, *failure.Refusal) {
	now := m.elapsed()
	if now >= t.expires() {
		return nil, m.expiredTicketRefusal(now, t)
	}
	if tableClosed || m.draining.Load() {
		return nil, resultClosedByQuery.refusal()
	}
	if !m.quotas.voidRecords.tryAcquire(1) {
		return nil, failure.New(failure.CodeOverloaded, failure.Unknown, "this gateway can't close the ticket now")
	}
	return &record{phase: phaseFinished, result: resultClosedByQuery, removeAt: t.expires() + m.limits.TicketRecordRetention}, nil
}

// snapshotRecord returns the state of rec, read under its lock, as the Record for
// a caller.
func (m *Manager) snapshotRecord(key string, k recordKey, rec *record, source OutcomeSource) Record {
	out := Record{Key: key, State: StateInProgress, Outcome: failure.Unknown, Source: source}
	m.records.withLock(k, func(bool) {
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

// runPeerTicket returns the outcome from the owner's seal if this gateway has
// cached it. Otherwise it forwards the call to the incarnation that owns its
// ticket. If the owner doesn't respond, it looks for the seal at peers and in the
// store. Without a seal the outcome is unknown, since an earlier request may have
// run.
func (m *Manager) runPeerTicket(ctx context.Context, c Call, t *ticket) (Response, error) {
	if rec, ok := m.outcomeFromSeal(ctx, c.Key, t, false); ok {
		return m.responseFromSeal(c, rec)
	}
	if c.Forwarded || m.cfg.Forwarder == nil {
		return Response{}, ownerUnreachableRefusal(nil)
	}
	forwards.Inc()
	resp, err := m.cfg.Forwarder.ForwardAction(ctx, t.Owner, c)
	if err == nil {
		resp.Source = SourceForwardedTicket
		return resp, nil
	}
	var refusal *failure.Refusal
	if errors.As(err, &refusal) {
		return Response{}, refusal
	}
	if rec, ok := m.outcomeFromSeal(ctx, c.Key, t, true); ok {
		return m.responseFromSeal(c, rec)
	}
	return Response{}, ownerUnreachableRefusal(err)
}

// ownerUnreachableRefusal tells a caller that the owner of a ticket did not
// respond.
func ownerUnreachableRefusal(cause error) *failure.Refusal {
	return failure.New(failure.CodeOwnerUnreachable, failure.Unknown, "the gateway that issued the ticket gave no answer; whether the action ran is not known").WithCause(cause)
}

// peerTicketOutcome returns the outcome of a ticket of another incarnation,
// from the ticket's owner or the owner's seal.
func (m *Manager) peerTicketOutcome(ctx context.Context, q Query, t *ticket) (Record, error) {
	if rec, ok := m.outcomeFromSeal(ctx, q.Key, t, false); ok {
		return rec, nil
	}
	if q.Forwarded || m.cfg.Forwarder == nil {
		return Record{}, ownerUnreachableRefusal(nil)
	}
	rec, err := m.cfg.Forwarder.ForwardOutcome(ctx, t.Owner, q)
	if err == nil {
		return rec, nil
	}
	var refusal *failure.Refusal
	if errors.As(err, &refusal) {
		return Record{}, refusal
	}
	if rec, ok := m.outcomeFromSeal(ctx, q.Key, t, true); ok {
		return rec, nil
	}
	return Record{}, ownerUnreachableRefusal(err)
}

// responseFromSeal returns what a caller gets for an outcome from the seal of
// the ticket's owner. A seal doesn't hold the endpoint's response, so Status is
// 0 and there is no body. An outcome other than failure.Ran is returned as a
// *failure.Refusal.
func (m *Manager) responseFromSeal(c Call, rec Record) (Response, error) {
	replays.Inc()
	if rec.Outcome == failure.Ran {
		return Response{Outcome: failure.Ran, BodyDropped: true, Replayed: true, Source: SourceSeal}, nil
	}
	r := failure.New(rec.Reason, rec.Outcome, "the gateway that issued the ticket has stopped; the outcome is from its records")
	if rec.Outcome == failure.NotRun {
		r = m.withNewTicket(c.Customer, r)
	}
	return Response{}, r
}
