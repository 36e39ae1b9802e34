package edge

import (
	"context"
	"time"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	allowanceRefusals = telemetry.NewCounterFamily("account_over_allowance", "requests", "caller requests of each client account refused because its allowance is used up", "account", maxCountedAccounts)
	allowanceWaits    = telemetry.NewCounterFamily("account_waits", "requests", "caller requests of each client account that waited for credit", "account", maxCountedAccounts)
)

const (
	// maxAllowanceWait is how long a request waits for credit at most: two round trips
	// between regions and delays at two busy machines.
	maxAllowanceWait = 400 * time.Millisecond
	// allowanceWaitShare is the part of the time to the latency objective that a request
	// may wait for credit. The rest is for running it.
	allowanceWaitShare = 0.6
	// unansweredAllowanceDelay is the Retry-After of a request for which no answer came in
	// time.
	unansweredAllowanceDelay = 250 * time.Millisecond
)

// takeAllowance takes the cost of a caller's request from the allowance of its account. It
// returns a refusal if the account is over its allowance. It may take as long as a
// coordinator takes to respond. Forwarded requests are charged at the gateway that the
// caller uses.
func (s *session) takeAllowance(ctx context.Context) *failure.Refusal {
	if s.forwarded != nil || s.account == nil || s.unproved || !s.account.Allowance.IsLimited() {
		return nil
	}
	cost := s.allowanceCost()
	if cost <= 0 {
		return nil
	}
	began := time.Now()
	waiter, granted := s.edge.allowances.take(s.account, s.table.Version, cost)
	if granted {
		s.cost, s.charges = cost, 1
		return nil
	}
	retryAfter := unansweredAllowanceDelay
	if waiter != nil {
		allowanceWaits.Inc(s.account.Name)
		timer := time.NewTimer(s.allowanceWait(began))
		defer timer.Stop()
		select {
		case verdict := <-waiter.Done():
			if verdict.Granted {
				s.cost, s.charges = cost, 1
				return nil
			}
			retryAfter = verdict.RetryAfter
		case <-timer.C:
			s.edge.allowances.cancel(s.account.Name, waiter)
		case <-ctx.Done():
			s.edge.allowances.cancel(s.account.Name, waiter)
		}
	}
	allowanceRefusals.Inc(s.account.Name)
	coordinator, isAlone := s.edge.allowances.source(s.account.Name)
	a := s.account.Allowance
	s.log("allowance_exceeded", "account", s.account.Name, "cost", cost, "unit", a.Unit, "per_second", a.RatePerSecond, "burst", a.Burst,
		"coordinator", coordinator, "alone", isAlone, "waited_ms", time.Since(began).Milliseconds())
	return failure.Refuse(failure.CodeLimitExceeded, "the allowance of the account is used up").WithRetryAfter(retryAfter)
}

// allowanceWait returns how long the request may wait for credit.
func (s *session) allowanceWait(now time.Time) time.Duration {
	wait := min(maxAllowanceWait, s.deadline.Sub(now))
	if s.route.Objective > 0 {
		left := s.arrived.Add(s.route.Objective).Sub(now)
		wait = min(wait, time.Duration(allowanceWaitShare*float64(left)))
	}
	return max(wait, 0)
}

// allowanceCost returns what the request costs in the unit of the account's allowance.
func (s *session) allowanceCost() float64 {
	a := s.account.Allowance
	switch {
	case a.Unit != account.Tokens:
		return 1
	case s.req.TokenCount == nil:
		return float64(a.PlainTokens)
	default:
		return float64(*s.req.TokenCount)
	}
}

// settleAllowance gives back the credit of what did not run.
func (s *session) settleAllowance() {
	if unused := s.charges - s.runs; unused > 0 {
		s.edge.allowances.giveBack(s.account.Name, float64(unused)*s.cost)
	}
}

// chargeRetry charges a request that is sent again, unless it has been charged for one run
// more than there may have been. It can't be refused any more, so the account pays with later
// credit.
func (s *session) chargeRetry() {
	if s.charges > 0 && s.charges == s.runs {
		s.edge.allowances.charge(s.account.Name, s.cost)
		s.charges++
	}
}
