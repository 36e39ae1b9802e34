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

// Config is what a Manager works with. Forwarder, Handover, Admitter, Store,
// Observe and Log may be nil; Now is time.Now if nil.
type Config struct {
	Incarnation string
	Limits      Limits
	Dispatcher  Dispatcher
	Store       platform.Store
	Forwarder   Forwarder
	SealSender  SealSender
	Admitter    Admitter
	Now         func() time.Time
	// OnStep is called at each local step, before the next one is taken.
	OnStep func(Step)
	Log    *log.Logger
}

// Manager runs the actions of one gateway incarnation and remembers them.
type Manager struct {
	cfg      Config
	limits   Limits
	signer   signer
	start    time.Time
	next     atomic.Uint64
	draining atomic.Bool
	sealed   atomic.Bool
	records  *table
	quotas   quotas
	running  inflight
	seals    sealCache
	leases   claimLeases
	pending  pendingClaims
	tomb     tomb.Tomb
	// alive ends when the manager is stopped.
	alive context.Context
}

// New returns a manager that issues and runs tickets from now on.
func New(cfg Config) *Manager {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	m := &Manager{
		cfg:     cfg,
		limits:  cfg.Limits.withDefaults(),
		signer:  newSigner(),
		start:   cfg.Now(),
		records: newTable(),
	}
	m.quotas.init(m.limits)
	m.seals.init(m.limits.MaxSeals)
	m.alive = m.tomb.Context(context.Background())
	m.tomb.Go(m.untilStopped)
	return m
}

// untilStopped keeps the tomb alive while no action is being run.
func (m *Manager) untilStopped() error {
	<-m.tomb.Dying()
	return nil
}

// Stop ends the manager's goroutines and waits for them. What is in flight is
// cut off; call Seal first.
func (m *Manager) Stop() error {
	m.draining.Store(true)
	m.tomb.Kill(nil)
	return m.tomb.Wait()
}

// Incarnation is the id that owns this manager's tickets.
func (m *Manager) Incarnation() string { return m.cfg.Incarnation }

// elapsed is the time since the incarnation's start on its monotonic clock.
func (m *Manager) elapsed() time.Duration { return m.cfg.Now().Sub(m.start) }

// IssueTickets returns a range of n new tickets for the customer, at most
// Limits.MaxRange. It keeps no memory of the range.
func (m *Manager) IssueTickets(customer string, n int) (TicketRange, error) {
	if m.draining.Load() {
		return TicketRange{}, failure.Refuse(failure.CodeDraining, "this gateway is stopping and issues no tickets")
	}
	n = max(1, min(n, m.limits.MaxRange))
	last := m.next.Add(uint64(n))
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
	issued.Add(int64(n))
	return TicketRange{Token: token, First: first, Last: last, ValidMillis: m.limits.TicketValidity.Milliseconds()}, nil
}

// withTicket adds a fresh ticket to a refusal whose key can't be used again,
// if this gateway still issues them.
func (m *Manager) withTicket(customer string, r *failure.Refusal) *failure.Refusal {
	tickets, err := m.IssueTickets(customer, 1)
	if err != nil {
		return r
	}
	c := *r
	c.Ticket = tickets.Key(tickets.First)
	return &c
}

// Do runs a call, or tells how it ended if its key was used before. The error
// is a *failure.Refusal. The context's deadline is the caller's; when the
// caller goes away, a call that has begun goes on.
func (m *Manager) Do(ctx context.Context, c Call) (Response, error) {
	if !IsTicket(c.Key) {
		return m.doClaim(ctx, c)
	}
	t, err := parseTicket(c.Customer, c.Key)
	if err != nil {
		badTickets.Inc()
		return Response{}, err
	}
	if t.Owner != m.cfg.Incarnation {
		return m.doForeign(ctx, c, t)
	}
	if !m.signer.verify(t) {
		badTickets.Inc()
		return Response{}, badTicket("its signature is wrong")
	}
	return m.doTicket(ctx, c, t)
}

// Outcome tells how the action of a key ended. An action that has not begun is
// closed by the question: it is told as failure.NotRun and never runs. The
// error is a *failure.Refusal.
func (m *Manager) Outcome(ctx context.Context, q Query) (Record, error) {
	if !IsTicket(q.Key) {
		return m.claimOutcome(ctx, q)
	}
	t, err := parseTicket(q.Customer, q.Key)
	if err != nil {
		return Record{}, err
	}
	if t.Owner != m.cfg.Incarnation {
		return m.foreignOutcome(ctx, q, t)
	}
	if !m.signer.verify(t) {
		return Record{}, badTicket("its signature is wrong")
	}
	return m.ticketOutcome(q, t), nil
}

// newAttemptID returns a fresh id for one dispatch.
func newAttemptID() string { return uuid.NewString() }
