package edge

import (
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/allowance"
	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/freshness"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	creditOwn      = telemetry.NewCounter("credit_own_part", "requests", "requests for credit answered from this gateway's own part of a limit, since the coordinator doesn't answer")
	creditRedirect = telemetry.NewCounter("credit_redirects", "responses", "responses to requests for credit that name another coordinator, or one that grants nothing yet")
)

// CreditSender sends asks for credit to the coordinators of client accounts.
type CreditSender interface {
	SendCreditAsk(address string, ask grants.CreditAsk) error
}

const (
	// activeTick is the time between two looks at what to ask for while accounts have
	// requests, idleTick otherwise. idleTick bounds the time after which a gateway that has
	// become a coordinator begins to fill its buckets.
	activeTick = 20 * time.Millisecond
	idleTick   = 250 * time.Millisecond
	// redirectTime is how long a gateway asks the one that another one named as
	// coordinator: until heartbeats have told it of that itself.
	redirectTime = time.Second
	// redirectPause is how long it waits before it asks again.
	redirectPause = 50 * time.Millisecond
)

// allowances keeps the allowances of client accounts at this gateway: its wallets, and
// the buckets of the accounts that it coordinates. It is safe for concurrent use.
type allowances struct {
	edge *Edge
	// now is a clock that goes on while the process is frozen.
	now  func() time.Time
	wake chan struct{}

	mu          sync.Mutex
	accounts    map[string]*limitedAccount
	coordinated map[string]*coordinatedAccount
	view        *coordinationView
	// confirmed holds, by id, the gateways that have answered as coordinators.
	confirmed map[string]confirmation
	reach     reach
	// toldTotal is the largest number of gateways that another one has lately remembered,
	// toldAt when it said so.
	toldTotal int
	toldAt    time.Time
	// tickedAt is when the loop last ran, by now.
	tickedAt time.Time
	// keptAt is when the buckets were last gone through.
	keptAt time.Time
}

// limitedAccount is an account with a limit that has requests here.
type limitedAccount struct {
	name    string
	version uint64
	limit   allowance.Limit
	wallet  *allowance.Wallet
	// coordinator is the gateway that was asked last. redirect is the one that it named
	// instead, until redirectUntil.
	coordinator   string
	redirect      gatewayAddress
	redirectUntil time.Time
	// own is the bucket of this gateway's part of the limit while it is alone, else nil.
	own *allowance.Bucket
	// isProvisional is set if this gateway has used its own part since shortly after its
	// start, when no gateway coordinated the account.
	isProvisional bool
}

// gatewayAddress is a gateway and where it is asked for credit.
type gatewayAddress struct{ id, address string }

func newAllowances(e *Edge) *allowances {
	clock := freshness.BootClock()
	return &allowances{
		edge: e, now: func() time.Time { return time.Unix(0, int64(clock.Now())) }, wake: make(chan struct{}, 1),
		accounts: make(map[string]*limitedAccount), coordinated: make(map[string]*coordinatedAccount),
		confirmed: make(map[string]confirmation), reach: newReach(),
	}
}

// creditAsk is an ask that is to be sent.
type creditAsk struct {
	to  gatewayAddress
	ask grants.CreditAsk
}

// take takes the cost of a request from the wallet of an account. If there isn't enough,
// it returns a waiter, which is nil if too many requests wait.
func (k *allowances) take(a *account.Account, version uint64, cost float64) (waiter *allowance.Waiter, granted bool) {
	k.mu.Lock()
	now := k.now()
	acc, ok := k.accounts[a.Name]
	if !ok {
		acc = &limitedAccount{name: a.Name, wallet: allowance.NewWallet()}
		k.accounts[a.Name] = acc
	}
	acc.version, acc.limit = version, limitOf(a)
	if granted = acc.wallet.Take(cost, now); !granted {
		waiter = acc.wallet.Wait(cost)
	}
	asks := k.ask(acc, now)
	k.mu.Unlock()
	k.send(asks)
	if !ok {
		k.wakeUp()
	}
	return waiter, granted
}

func limitOf(a *account.Account) allowance.Limit {
	return allowance.Limit{PerSecond: a.Allowance.RatePerSecond, Burst: a.Allowance.Burst}
}

func (k *allowances) cancel(name string, w *allowance.Waiter) {
	k.withWallet(name, func(wallet *allowance.Wallet, now time.Time) { wallet.Cancel(w, now) })
}

func (k *allowances) giveBack(name string, cost float64) {
	k.withWallet(name, func(wallet *allowance.Wallet, now time.Time) { wallet.GiveBack(cost, now) })
}

func (k *allowances) charge(name string, cost float64) {
	k.withWallet(name, func(wallet *allowance.Wallet, now time.Time) { wallet.Charge(cost, now) })
}

func (k *allowances) withWallet(name string, f func(*allowance.Wallet, time.Time)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if acc, ok := k.accounts[name]; ok {
		f(acc.wallet, k.now())
	}
}

// source returns where the credit of an account comes from: the gateway that was asked
// last, and whether this one uses its own part of the limit.
func (k *allowances) source(name string) (coordinator string, isAlone bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	acc, ok := k.accounts[name]
	if !ok {
		return "", false
	}
	return acc.coordinator, acc.own != nil
}

// ask asks for the credit that an account needs now. What other gateways have to be asked
// is returned. The caller must hold the lock.
func (k *allowances) ask(acc *limitedAccount, now time.Time) []creditAsk {
	realNow := time.Now()
	to := k.target(acc, now, realNow)
	acc.coordinator = to.id
	if acc.wallet.Alone(now) && (acc.isProvisional || k.edge.Gateways.IsSettled(realNow)) {
		return k.askAlone(acc, to, now, realNow)
	}
	if acc.own != nil {
		acc.own, acc.isProvisional = nil, false
		k.edge.Logger.Info("the coordinator of an account answers again", "account", acc.name, "coordinator", to.id)
	}
	acc.wallet.SetCoordinator(to.id)
	ask, ok := acc.wallet.Due(now)
	switch {
	case !ok:
		return nil
	case to.id == k.edge.Gateways.Self().ID:
		k.askSelf(acc, ask, now, realNow)
		return nil
	default:
		return []creditAsk{{to, k.message(acc, ask, now)}}
	}
}

// askSelf is ask at the coordinator.
func (k *allowances) askSelf(acc *limitedAccount, ask allowance.Ask, now, realNow time.Time) {
	grant := k.grant(acc.name, k.edge.Gateways.Self().ID, acc.limit, ask, now, realNow)
	if grant.Starting {
		acc.wallet.Fail(redirectPause, now)
		return
	}
	acc.wallet.Reached(now, ask.Leave)
	acc.wallet.Add(grant, now, now)
}

// askAlone is ask at a gateway that uses its own part of the limit.
func (k *allowances) askAlone(acc *limitedAccount, to gatewayAddress, now, realNow time.Time) []creditAsk {
	total := k.total(now, realNow)
	if acc.own == nil {
		acc.own = allowance.NewBucket(now)
		msg := "the coordinator of an account doesn't answer; using this gateway's part of the limit"
		if acc.isProvisional {
			msg = "no gateway coordinates an account yet; using half of this gateway's part of the limit"
		}
		k.edge.Logger.Warn(msg, "account", acc.name, "coordinator", to.id, "address", to.address, "gateways", total)
	}
	acc.wallet.SetCoordinator("")
	acc.own.Configure(acc.limit, k.bounds())
	if ask, ok := acc.wallet.Due(now); ok {
		creditOwn.Inc()
		grant := acc.own.Grant(ask, acc.wallet.OwnShare(total, k.edge.Gateways.IsSettled(realNow), now), now)
		if acc.isProvisional {
			// The requests go on waiting: a coordinator may answer in a moment.
			grant.RetryAfter = 0
		}
		acc.wallet.Add(grant, now, now)
	}
	probe, ok := acc.wallet.Probe(now)
	switch {
	case !ok:
		return nil
	case to.id == k.edge.Gateways.Self().ID:
		k.askSelf(acc, probe, now, realNow)
		return nil
	default:
		return []creditAsk{{to, k.message(acc, probe, now)}}
	}
}

// target returns the gateway to ask for credit. Its address is empty if it isn't known, as
// while the fleet isn't; the asks then count as unanswered.
func (k *allowances) target(acc *limitedAccount, now, realNow time.Time) gatewayAddress {
	if now.Before(acc.redirectUntil) {
		return acc.redirect
	}
	view := k.currentView(realNow)
	id := view.coordinatorOf(acc.name)
	return gatewayAddress{id: id, address: view.members[id].GrantAddress}
}

func (k *allowances) message(acc *limitedAccount, ask allowance.Ask, now time.Time) grants.CreditAsk {
	return grants.CreditAsk{
		Account: acc.name, Gateway: k.edge.Gateways.Self().ID, AskedAt: now.UnixNano(),
		Version: acc.version, PerSecond: acc.limit.PerSecond, Burst: acc.limit.Burst, Gateways: k.currentView(time.Now()).total,
		Need: ask.Need, First: ask.First, Ahead: ask.Ahead, Returned: ask.Returned,
		UnansweredMillis: ask.Unanswered.Milliseconds(), Leave: ask.Leave,
	}
}

// send sends asks. Those that can't be sent count as unanswered. The caller must not hold
// the lock.
func (k *allowances) send(asks []creditAsk) {
	for _, a := range asks {
		if a.to.address == "" || k.edge.Credit == nil {
			continue
		}
		if err := k.edge.Credit.SendCreditAsk(a.to.address, a.ask); err != nil {
			k.edge.Logger.Warn("cannot ask for credit", "account", a.ask.Account, "coordinator", a.to.id, "address", a.to.address, "err", err)
		}
	}
}

// ReceiveCredit takes the credit that a coordinator granted. It implements
// grants.CreditKeeper.
func (e *Edge) ReceiveCredit(g grants.CreditGrant) { e.allowances.receive(g) }

func (k *allowances) receive(g grants.CreditGrant) {
	k.mu.Lock()
	now := k.now()
	k.noteTotal(g.Gateways, now)
	k.reach.record(k.currentView(time.Now()), g.Gateway)
	if g.Coordinator == "" && !g.Starting {
		k.confirm(g.Gateway, now)
	}
	acc, ok := k.accounts[g.Account]
	if !ok || g.Probe || g.Gateway != acc.coordinator {
		// Another coordinator may have been chosen meanwhile. The credit lapses.
		k.mu.Unlock()
		return
	}
	askedAt := time.Unix(0, g.AskedAt)
	switch {
	case g.Coordinator != "":
		creditRedirect.Inc()
		if g.Coordinator != k.edge.Gateways.Self().ID && g.Address != "" {
			acc.redirect, acc.redirectUntil = gatewayAddress{g.Coordinator, g.Address}, now.Add(redirectTime)
		}
		k.failUncoordinated(acc, now)
	case g.Starting:
		creditRedirect.Inc()
		k.failUncoordinated(acc, now)
	default:
		acc.wallet.Reached(askedAt, g.Leave)
		acc.wallet.Add(g.Grant(), askedAt, now)
	}
	asks := k.ask(acc, now)
	k.mu.Unlock()
	k.send(asks)
}

// failUncoordinated records that the gateway which was asked coordinates nothing. If this
// one has just started, all may have, and none coordinates for some seconds. One that
// doesn't hear all others may be behind a cut, take its side for all and its own part for too
// large. The caller must hold the lock.
func (k *allowances) failUncoordinated(acc *limitedAccount, now time.Time) {
	acc.wallet.Fail(redirectPause, now)
	gateways, realNow := k.edge.Gateways, time.Now()
	if acc.own == nil && !gateways.IsLeaving() && !gateways.MayCoordinate(realNow) && gateways.HearsAll(realNow) {
		acc.wallet.Uncoordinated(now)
		acc.isProvisional = acc.wallet.Alone(now)
	}
}

// tick asks for what is due of all accounts, drops those without requests, and keeps the
// buckets of the accounts that this gateway coordinates. It returns the time until the
// next call.
func (k *allowances) tick() time.Duration {
	k.mu.Lock()
	now := k.now()
	var asks []creditAsk
	for name, acc := range k.accounts {
		if acc.wallet.IsIdle(now) {
			delete(k.accounts, name)
			continue
		}
		asks = append(asks, k.ask(acc, now)...)
	}
	asks = append(asks, k.keepBuckets(now, time.Now())...)
	isActive := len(k.accounts) > 0
	k.mu.Unlock()
	k.send(asks)
	if isActive {
		return activeTick
	}
	return idleTick
}

func (k *allowances) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Allowances is the controller that asks for credit ahead of the requests. It implements
// controller.Controller.
type Allowances struct{ Edge *Edge }

// Name implements controller.Controller.
func (Allowances) Name() string { return "allowances" }

// Run implements controller.Controller.
func (a Allowances) Run(t *tomb.Tomb) error {
	timer := time.AfterFunc(0, a.Edge.allowances.wakeUp)
	defer timer.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-a.Edge.allowances.wake:
		}
		timer.Reset(a.Edge.allowances.tick())
	}
}
