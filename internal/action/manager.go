package action

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// Config configures a Manager. Store, Forwarder, SealSender, Admitter, OnStep
// and Log may be nil. Now is time.Now if nil.
type Config struct {
	// Incarnation identifies this start of the gateway process.
	Incarnation string
	Limits      Limits
	Dispatcher  Dispatcher
	Store       platform.Store
	Forwarder   Forwarder
	SealSender  SealSender
	Admitter    Admitter
	Now         func() time.Time
	// OnStep is called at each local step, before the next step starts.
	OnStep func(Step)
	Log    *log.Logger
}

// Manager runs the actions of one gateway incarnation and keeps their records.
// Its methods may be called concurrently.
type Manager struct {
	cfg              Config
	limits           Limits
	signer           signer
	start            time.Time
	lastTicketNumber atomic.Uint64
	draining         atomic.Bool
	sealed           atomic.Bool
	records          *recordTable
	quotas           quotas
	inFlight         inFlightCounter
	seals            sealCache
	claimLease       claimLeaseCache
	pendingOutcomes  pendingClaims
	// isEraAsked is set once the store has had the chance to name its era. lastEra is the
	// era for which the claims that this gateway holds were last checked.
	isEraAsked atomic.Bool
	lastEra    atomic.Uint64
	tomb       tomb.Tomb
	// runCtx is cancelled when the manager is stopped.
	runCtx context.Context
}

// New starts a manager. The caller must call Stop.
func New(cfg Config) *Manager {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	m := &Manager{
		cfg:     cfg,
		limits:  cfg.Limits.withDefaults(),
		signer:  newSigner(),
		start:   cfg.Now(),
		records: newRecordTable(),
	}
	m.quotas.init(m.limits)
	m.seals.init(m.limits.MaxCachedSeals)
	m.runCtx = m.tomb.Context(context.Background())
	m.tomb.Go(m.waitForStop)
	return m
}

// waitForStop keeps the tomb alive while no action is in flight.
func (m *Manager) waitForStop() error {
	<-m.tomb.Dying()
	return nil
}

// Stop ends the manager's goroutines and waits for them. It aborts the actions
// in flight, so call Seal first.
func (m *Manager) Stop() error {
	m.draining.Store(true)
	m.tomb.Kill(nil)
	return m.tomb.Wait()
}

// Incarnation returns the id of the incarnation that owns this manager's
// tickets.
func (m *Manager) Incarnation() string { return m.cfg.Incarnation }

// elapsed returns the time since the manager was created, by a monotonic clock.
func (m *Manager) elapsed() time.Duration { return m.cfg.Now().Sub(m.start) }

// IssueTickets returns a range of n new tickets for the customer, but at least
// one and at most Limits.MaxRangeTickets. No record of the range is kept.
func (m *Manager) IssueTickets(customer string, n int) (TicketRange, error) {
	if m.draining.Load() {
		return TicketRange{}, failure.Refuse(failure.CodeDraining, "this gateway is stopping and issues no tickets")
	}
	n = max(1, min(n, m.limits.MaxRangeTickets))
	last := m.lastTicketNumber.Add(uint64(n))
	first := last - uint64(n) + 1
	now := m.elapsed()
	token, err := m.signer.token(ticketPayload{
		Owner:    m.cfg.Incarnation,
		Customer: customer,
		First:    first,
		Last:     last,
		Issued:   now.Milliseconds(),
		Expires:  (now + m.limits.TicketValidity).Milliseconds(),
	})
	if err != nil {
		return TicketRange{}, failure.Refuse(failure.CodeInternal, "the ticket could not be encoded").WithCause(err)
	}
	ticketsIssued.Add(int64(n))
	return TicketRange{Token: token, First: first, Last: last, ValidMillis: m.limits.TicketValidity.Milliseconds()}, nil
}

// withNewTicket returns a copy of a refusal whose key can't be used again, with
// a new ticket. It returns r itself if this gateway issues no more tickets.
func (m *Manager) withNewTicket(customer string, r *failure.Refusal) *failure.Refusal {
	tickets, err := m.IssueTickets(customer, 1)
	if err != nil {
		return r
	}
	c := *r
	c.Ticket = tickets.Key(tickets.First)
	return &c
}

// Do runs a call, or returns its outcome if its key was used before. The error
// is a *failure.Refusal. The context's deadline is that of the caller. If the
// context is cancelled, a call that has started goes on.
func (m *Manager) Do(ctx context.Context, c Call) (Response, error) {
	if !IsTicket(c.Key) {
		return m.runCallerKey(ctx, c)
	}
	t, err := parseTicket(c.Customer, c.Key)
	if err != nil {
		badTickets.Inc()
		return Response{}, err
	}
	if t.Owner != m.cfg.Incarnation {
		return m.runPeerTicket(ctx, c, t)
	}
	if !m.signer.verify(t) {
		badTickets.Inc()
		return Response{}, badTicket("its signature is wrong")
	}
	return m.runTicket(ctx, c, t)
}

// Outcome returns the outcome of the action of a key. The query closes the key
// of an action that has not started: the outcome is failure.NotRun and the
// action never runs. The error is a *failure.Refusal.
func (m *Manager) Outcome(ctx context.Context, q Query) (Record, error) {
	if !IsTicket(q.Key) {
		return m.claimOutcome(ctx, q)
	}
	t, err := parseTicket(q.Customer, q.Key)
	if err != nil {
		return Record{}, err
	}
	if t.Owner != m.cfg.Incarnation {
		return m.peerTicketOutcome(ctx, q, t)
	}
	if !m.signer.verify(t) {
		return Record{}, badTicket("its signature is wrong")
	}
	return m.ticketOutcome(q, t), nil
}

// newAttemptID returns a new id for one dispatch.
func newAttemptID() string { return uuid.NewString() }
