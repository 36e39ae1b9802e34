package allowance

import (
	"slices"
	"time"
)

const (
	// askInterval is the least time between two asks for requests that wait.
	askInterval = 20 * time.Millisecond
	// deniedInterval is the time without an ask after one that got too little. Over the
	// limit each gateway would otherwise ask once a round trip, 40 times a second from 60
	// gateways, and the coordinator may be a small machine.
	deniedInterval = 100 * time.Millisecond
	// aheadIntervalShare is the least time between two asks ahead of the demand, as a part
	// of the TTL of credit.
	aheadIntervalShare = 0.5
	// An ask counts as lost after unansweredFactor round trips and unansweredTime, for
	// delays at two small, busy machines.
	unansweredTime   = 100 * time.Millisecond
	unansweredFactor = 1.5
	// aheadMargin is the time for which credit is left, beside a round trip, when more is
	// asked for.
	aheadMargin = 60 * time.Millisecond
	// returnMargin is how long before it is too late lapsed credit is returned at the latest,
	// beside its transit.
	returnMargin = 50 * time.Millisecond
	// fillShare is the part of its TTL for whose demand credit is asked for.
	fillShare = 0.8
	// idleTime is the time without a request after which nothing is asked for ahead.
	idleTime = 2 * time.Second
	// initialRoundTrip is assumed before the first response.
	initialRoundTrip = 100 * time.Millisecond
	// givenBackTime is how long credit of a request that did not run can be used again.
	givenBackTime = 200 * time.Millisecond
	// provisionalShare is the part of its own part that a gateway uses which has just started
	// and found no coordinator. The rest is for gateways that it hasn't found yet, and for a
	// coordinator behind a cut that counts it until DetectionTime has passed.
	provisionalShare = 0.5
	// maxWaiting bounds the requests of an account that wait at one gateway.
	maxWaiting = 4096
)

// Verdict is the decision on a request that waited for credit.
type Verdict struct {
	Granted bool
	// RetryAfter is set if the request is refused.
	RetryAfter time.Duration
}

// Waiter is a request that waits for credit.
type Waiter struct {
	cost float64
	// asked is set once credit for it was asked for.
	asked bool
	done  chan Verdict
}

// Done returns the channel that gets the verdict.
func (w *Waiter) Done() <-chan Verdict { return w.done }

// Wallet is the credit that one gateway has for an account, and its demand. It is not safe
// for concurrent use.
type Wallet struct {
	coordinator string
	lots        []lot
	// debt is the cost of what had to run without credit.
	debt float64
	// lapsed is credit of the current coordinator that lapsed unused. The part that lapsed
	// first can be returned until lapsedUntil.
	lapsed      float64
	lapsedUntil time.Time
	waiting     []*Waiter
	demand      demand
	// ttl is that of the last grant, roundTrip the time that responses take.
	ttl, roundTrip time.Duration
	// askedAt is when the ask under way was sent, zero if there is none. aheadAt is when
	// the last one ahead of the demand was sent, nextAt when the next one may be.
	askedAt, aheadAt, nextAt time.Time
	contact                  contact
}

// NewWallet returns a wallet without credit.
func NewWallet() *Wallet { return &Wallet{roundTrip: initialRoundTrip, ttl: minTTL} }

// Take takes the credit for a request and reports whether there was enough. Requests that
// wait come first.
func (w *Wallet) Take(cost float64, now time.Time) bool {
	w.expire(now)
	w.demand.add(cost, now)
	if len(w.waiting) > 0 || w.balance() < cost {
		return false
	}
	w.spend(cost)
	return true
}

// Wait lets a request for which Take found no credit wait for it. It returns nil if too
// many wait.
func (w *Wallet) Wait(cost float64) *Waiter {
	if len(w.waiting) >= maxWaiting {
		return nil
	}
	waiter := &Waiter{cost: cost, done: make(chan Verdict, 1)}
	w.waiting = append(w.waiting, waiter)
	return waiter
}

// Cancel removes a request that waits no longer. If it got credit meanwhile, that is given
// back.
func (w *Wallet) Cancel(waiter *Waiter, now time.Time) {
	if n := slices.Index(w.waiting, waiter); n >= 0 {
		w.waiting = slices.Delete(w.waiting, n, n+1)
		return
	}
	select {
	case verdict := <-waiter.done:
		if verdict.Granted {
			w.GiveBack(waiter.cost, now)
		}
	default:
	}
}

// Charge takes the cost of what runs whether there is credit or not. What is missing is
// taken from later credit.
func (w *Wallet) Charge(cost float64, now time.Time) {
	w.expire(now)
	w.spend(cost)
}

// GiveBack returns the credit of a request that did not run.
func (w *Wallet) GiveBack(cost float64, now time.Time) {
	w.expire(now)
	w.put(lot{amount: cost, expiresAt: now.Add(givenBackTime), returnable: true})
	w.serveWaiting()
}

// Due returns what is to be asked for now, and whether there is anything. The ask is under
// way from then on. It is for the coordinator, or for this gateway's own bucket while it is
// alone.
func (w *Wallet) Due(now time.Time) (Ask, bool) {
	w.expire(now)
	if limit := unansweredTime + time.Duration(unansweredFactor*float64(w.roundTrip)); !w.askedAt.IsZero() && now.Sub(w.askedAt) >= limit {
		w.Fail(0, now)
	}
	if !w.askedAt.IsZero() || now.Before(w.nextAt) {
		return Ask{}, false
	}
	ahead := w.ahead(now)
	if len(w.waiting) == 0 && w.debt == 0 && ahead == 0 && !w.mustReturn(now) && !w.contact.isDue(now) {
		return Ask{}, false
	}
	if ahead > 0 {
		w.aheadAt = now
	}
	balance := w.balance()
	ask := Ask{Ahead: ahead, Returned: w.lapsed, Need: max(0, -balance)}
	if !w.contact.isLost(now) {
		ask.Unanswered, ask.Leave = w.contact.begin(now), w.hasNoDemand(now)
	}
	for n, waiter := range w.waiting {
		waiter.asked = true
		ask.Need += waiter.cost
		if n == 0 {
			ask.First = max(0, waiter.cost-balance)
		}
	}
	if len(w.waiting) > 0 {
		ask.Need = max(0, ask.Need-max(0, balance))
	}
	w.lapsed = 0
	w.askedAt, w.nextAt = now, now.Add(askInterval)
	return ask, true
}

// mustReturn reports whether lapsed credit can't wait for the next ask.
func (w *Wallet) mustReturn(now time.Time) bool {
	return w.lapsed > 0 && !now.Before(w.lapsedUntil.Add(-w.roundTrip/2-returnMargin))
}

// ahead returns what to ask for beyond the requests that wait: nothing while there is
// enough for the time until the next response.
func (w *Wallet) ahead(now time.Time) float64 {
	if w.hasNoDemand(now) {
		return 0
	}
	// Credit that lapses before a response would come is as good as gone.
	reach := w.roundTrip + aheadMargin
	balance := 0.0
	if len(w.waiting) == 0 {
		balance = max(0, w.balanceAt(now.Add(reach)))
	}
	if len(w.waiting) == 0 && now.Sub(w.aheadAt) < time.Duration(aheadIntervalShare*float64(w.ttl)) {
		return 0
	}
	rate := w.demand.rate(now)
	least := rate*reach.Seconds() + w.demand.largest
	if balance >= least {
		return 0
	}
	return least + rate*fillShare*w.ttl.Seconds() - balance
}

// Reached records that the coordinator answered the ask that was sent at askedAt. A
// response of a bucket that is starting doesn't count.
func (w *Wallet) Reached(askedAt time.Time, leave bool) { w.contact.answered(askedAt, leave) }

// Alone reports whether the gateway may use its own part of the limit: its asks weren't
// answered for so long that no coordinator hands out that part.
func (w *Wallet) Alone(now time.Time) bool { return w.contact.isLost(now) }

// Uncoordinated records that the gateway which was asked coordinates nothing and that this
// one has just started. If that goes on, all may have started at once, and the gateway uses
// its own part of the limit until a coordinator answers.
func (w *Wallet) Uncoordinated(now time.Time) { w.contact.markUncoordinated(now) }

// OwnShare returns the part of the limit that a gateway which is alone may use, by the
// number of gateways that may run. isSettled is set if that number is reliable.
func (w *Wallet) OwnShare(gateways int, isSettled bool, now time.Time) float64 {
	share := 1 / float64(gateways)
	if !isSettled || w.contact.isProvisional(now) {
		share *= provisionalShare
	}
	return share
}

// Probe returns the ask by which a gateway that is alone finds out whether the coordinator
// answers again, and whether it is time for it.
func (w *Wallet) Probe(now time.Time) (Ask, bool) {
	if !w.contact.isLost(now) || now.Sub(w.contact.lastAskAt) < keepAliveInterval {
		return Ask{}, false
	}
	if w.hasNoDemand(now) {
		w.contact = contact{}
		return Ask{}, false
	}
	return Ask{Unanswered: w.contact.begin(now)}, true
}

// Add adds the credit that the coordinator granted for the ask that was made at askedAt.
// The waiting requests that were asked for and still find no credit are refused, unless
// the response comes so late that another ask is under way.
func (w *Wallet) Add(g Grant, askedAt, now time.Time) {
	isLate := !w.askedAt.Equal(askedAt)
	if !isLate {
		w.askedAt = time.Time{}
	}
	w.expire(now)
	w.roundTrip += (now.Sub(askedAt) - w.roundTrip) / 4
	if g.TTL > 0 {
		w.ttl = g.TTL
	}
	if expires := askedAt.Add(g.TTL); g.Credit > 0 && now.Before(expires) {
		w.put(lot{amount: g.Credit, expiresAt: expires, returnable: true})
	}
	w.serveWaiting()
	if isLate {
		return
	}
	if g.RetryAfter > 0 {
		w.nextAt = now.Add(min(g.RetryAfter, deniedInterval))
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(waiter *Waiter) bool {
		if !waiter.asked {
			return false
		}
		if g.RetryAfter == 0 {
			// Its credit lapsed on the way, or covered a debt first.
			waiter.asked = false
			return false
		}
		waiter.done <- Verdict{RetryAfter: g.RetryAfter}
		return true
	})
}

// Fail records that the ask under way got no response, or none from the coordinator. The
// requests go on waiting. Nothing is asked for during the pause.
func (w *Wallet) Fail(pause time.Duration, now time.Time) {
	w.askedAt = time.Time{}
	w.nextAt = now.Add(max(pause, askInterval))
	for _, waiter := range w.waiting {
		waiter.asked = false
	}
}

// SetCoordinator names the gateway that is asked from now on. Credit of another one is
// not returned to it.
func (w *Wallet) SetCoordinator(id string) {
	if w.coordinator == id {
		return
	}
	w.coordinator, w.lapsed = id, 0
	for n := range w.lots {
		w.lots[n].returnable = false
	}
}

// IsIdle reports whether nothing is lost if the wallet is dropped.
func (w *Wallet) IsIdle(now time.Time) bool {
	w.expire(now)
	return w.hasNoDemand(now) && w.debt == 0 && len(w.lots) == 0 && w.contact.isOver(now)
}

// hasNoDemand reports whether no request came lately and none waits.
func (w *Wallet) hasNoDemand(now time.Time) bool {
	return len(w.waiting) == 0 && now.Sub(w.demand.lastAt) > idleTime
}

func (w *Wallet) balance() float64 { return w.balanceAt(time.Time{}) }

// balanceAt returns the credit that has not lapsed at the given time, less the debt.
func (w *Wallet) balanceAt(at time.Time) float64 {
	sum := -w.debt
	for _, l := range w.lots {
		if l.expiresAt.After(at) {
			sum += l.amount
		}
	}
	return sum
}

// spend takes credit, what lapses first before the rest.
func (w *Wallet) spend(cost float64) {
	for n := range w.lots {
		part := min(cost, w.lots[n].amount)
		w.lots[n].amount -= part
		cost -= part
	}
	w.lots = slices.DeleteFunc(w.lots, func(l lot) bool { return l.amount <= 0 })
	w.debt += cost
}

// put adds credit. It covers the debt first.
func (w *Wallet) put(l lot) {
	part := min(l.amount, w.debt)
	w.debt -= part
	if l.amount -= part; l.amount <= 0 {
		return
	}
	n := len(w.lots)
	for ; n > 0 && w.lots[n-1].expiresAt.After(l.expiresAt); n-- {
		continue
	}
	w.lots = slices.Insert(w.lots, n, l)
}

// serveWaiting lets the requests that wait go, in turn, as far as there is credit.
func (w *Wallet) serveWaiting() {
	for len(w.waiting) > 0 && w.balance() >= w.waiting[0].cost {
		w.spend(w.waiting[0].cost)
		w.waiting[0].done <- Verdict{Granted: true}
		w.waiting = w.waiting[1:]
	}
}

// expire removes the credit that has lapsed.
func (w *Wallet) expire(now time.Time) {
	if w.lapsed > 0 && now.After(w.lapsedUntil) {
		w.lapsed = 0
	}
	n := 0
	for ; n < len(w.lots) && !now.Before(w.lots[n].expiresAt); n++ {
		until := w.lots[n].expiresAt.Add(returnTime)
		if w.lots[n].returnable && now.Before(until) {
			if w.lapsed == 0 {
				w.lapsedUntil = until
			}
			w.lapsed += w.lots[n].amount
		}
	}
	w.lots = slices.Delete(w.lots, 0, n)
}
