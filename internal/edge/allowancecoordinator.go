package edge

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/allowance"
	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

const (
	// capacityShare is the part of the largest machine's capacity that a coordinator has at
	// least: asks of 295 gateways take 4 Mbit/s, and some links have 10.
	capacityShare = 0.5
	// viewTTL is how long a coordinationView is used. Building one takes 0.4 ms with 295
	// gateways, and the smallest machines have 0.144 cores.
	viewTTL = 200 * time.Millisecond
	// takeOverTime is how long a gateway that has become the coordinator grants nothing:
	// until most of the others have learned it and ask the previous one no longer.
	takeOverTime = 200 * time.Millisecond
	// freezeGap is the time without a tick after which this gateway has stood still:
	// others may have handed out the limits meanwhile.
	freezeGap = time.Second
	// toldTotalTime is how long the number of gateways that another one remembers counts,
	// maxTotal bounds it.
	toldTotalTime = 10 * time.Second
	maxTotal      = 4096
	// forgetTime is how long an account is kept that is asked for and that the
	// configuration here doesn't have.
	forgetTime = time.Minute
	// accountKeyPrefix is the prefix of accounts among the rendezvous keys of coordinators.
	accountKeyPrefix = "account "
	// loggedShareChange is the change of a coordinator's share that is logged.
	loggedShareChange = 0.05
)

// Defaults of the bounds on what accounts may use beyond their limits, where the settings
// don't name a window.
const (
	defaultQuotaWindow  = 8 * time.Second
	defaultQuotaOverage = 0.1
	defaultQuotaSlack   = 140_000
)

// coordinatedAccount is an account of which this gateway is the coordinator.
type coordinatedAccount struct {
	bucket   *allowance.Bucket
	contacts allowance.Contacts
	// share is the share of the limit that was last logged.
	share float64
	// askedAt is when credit was last asked for.
	askedAt time.Time
}

// coordinationView is what this gateway knows of the gateways of all regions, as far as it
// matters for the coordination of accounts.
type coordinationView struct {
	builtAt time.Time
	// members are the other gateways that may still run, by id. total is the number of all
	// that may, with this gateway and those of data centres that aren't heard.
	members map[string]fleet.RememberedGateway
	total   int
	// candidates are the gateways that may coordinate: those of at least leastCapacity.
	candidates    *coordinators
	leastCapacity int
	// newcomers are alive and not known for long enough to coordinate.
	newcomers []gatewayAddress
}

// currentView returns the view of the fleet. The caller must hold the lock.
func (k *allowances) currentView(now time.Time) *coordinationView {
	if k.view != nil && now.Sub(k.view.builtAt) < viewTTL && !now.Before(k.view.builtAt) {
		return k.view
	}
	gateways := k.edge.Gateways
	v := &coordinationView{builtAt: now, members: make(map[string]fleet.RememberedGateway)}
	candidates := &coordinators{selfID: gateways.Self().ID, byEndpoint: &assignments{byEndpoint: make(map[string]string)}}
	remembered := gateways.RememberedEverywhere(now)
	if gateways.MayCoordinate(now) {
		candidates.ids = append(candidates.ids, candidates.selfID)
		v.leastCapacity = gateways.Self().MachineCapacity
	}
	for _, g := range remembered {
		v.members[g.ID] = g
		if g.MayCoordinate || g.IsAlive && k.isConfirmed(g) {
			candidates.ids = append(candidates.ids, g.ID)
			v.leastCapacity = max(v.leastCapacity, g.MachineCapacity)
		}
	}
	for _, g := range remembered {
		if g.IsAlive && !g.MayCoordinate && g.GrantAddress != "" {
			v.newcomers = append(v.newcomers, gatewayAddress{id: g.ID, address: g.GrantAddress})
		}
	}
	v.leastCapacity = int(capacityShare * float64(v.leastCapacity))
	candidates.ids = slices.DeleteFunc(candidates.ids, func(id string) bool {
		capacity := v.members[id].MachineCapacity
		if id == candidates.selfID {
			capacity = gateways.Self().MachineCapacity
		}
		return capacity < v.leastCapacity
	})
	slices.Sort(candidates.ids)
	if k.view != nil && slices.Equal(candidates.ids, k.view.candidates.ids) {
		candidates.byEndpoint = k.view.candidates.byEndpoint
	}
	v.candidates = candidates
	v.total = len(v.members) + 1 + gateways.CountUnheard(maps.Keys(k.edge.Board.Settings.Get().Regions), now)
	k.view = v
	return v
}

// coordinatorOf returns the id of the coordinator of an account, empty if there is none.
func (v *coordinationView) coordinatorOf(name string) string {
	return v.candidates.coordinatorOf(accountKeyPrefix + name)
}

// bounds returns the bounds on what accounts may use beyond their limits.
func (k *allowances) bounds() allowance.Bounds {
	l := k.edge.Board.Settings.Get().Limits
	if l.QuotaWindow <= 0 {
		return allowance.Bounds{Window: defaultQuotaWindow, Overage: defaultQuotaOverage, Slack: defaultQuotaSlack}
	}
	return allowance.Bounds{Window: l.QuotaWindow, Overage: l.QuotaOverage, Slack: l.QuotaSlack}
}

// AnswerCredit decides on another gateway's ask for credit. It implements
// grants.CreditKeeper.
func (e *Edge) AnswerCredit(ask grants.CreditAsk) grants.CreditGrant {
	return e.allowances.answer(ask, time.Now())
}

func (k *allowances) answer(ask grants.CreditAsk, realNow time.Time) grants.CreditGrant {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, self := k.now(), k.edge.Gateways.Self()
	response := grants.CreditGrant{Account: ask.Account, Gateway: self.ID, AskedAt: ask.AskedAt, Leave: ask.Leave, Probe: ask.Probe}
	k.resetAfterFreeze(now)
	k.noteTotal(ask.Gateways, now)
	view := k.currentView(realNow)
	response.Gateways = view.total
	if id := view.coordinatorOf(ask.Account); id != self.ID {
		response.Coordinator, response.Address = id, view.members[id].GrantAddress
		response.Starting = true
		return response
	}
	if ask.Probe {
		c := k.coordinate(ask.Account, now, realNow)
		c.contacts.Claim(ask.Claimed[:min(len(ask.Claimed), maxTotal)], now)
		c.askedAt, response.Starting = now, c.bucket.IsStarting(now)
		return response
	}
	k.reach.record(view, ask.Gateway)
	limit := allowance.Limit{PerSecond: ask.PerSecond, Burst: ask.Burst}
	if table := k.edge.Board.Routes.Get(); table != nil && table.Version > ask.Version {
		if a, ok := table.Accounts.ByName(ask.Account); ok {
			limit = limitOf(a)
		}
	}
	g := k.grant(ask.Account, ask.Gateway, limit, ask.Ask(), now, realNow)
	response.Starting, response.Credit = g.Starting, g.Credit
	response.TTLMillis, response.RetryAfterMillis = g.TTL.Milliseconds(), g.RetryAfter.Milliseconds()
	return response
}

// grant decides as the coordinator on an ask. The caller must hold the lock.
func (k *allowances) grant(name, gateway string, limit allowance.Limit, ask allowance.Ask, now, realNow time.Time) allowance.Grant {
	if limit.PerSecond <= 0 {
		// A newer configuration lifts the limit.
		return allowance.Grant{Credit: ask.Need + ask.Ahead, TTL: time.Second}
	}
	c := k.coordinate(name, now, realNow)
	c.askedAt = now
	isCounted := c.contacts.Record(gateway, ask, now)
	if c.bucket.IsStarting(now) {
		return allowance.Grant{Starting: true}
	}
	if !isCounted {
		return allowance.Grant{}
	}
	c.bucket.Configure(limit, k.bounds())
	return c.bucket.Grant(ask, k.share(name, c, now, realNow), now)
}

// coordinate returns the state of an account that this gateway coordinates. The bucket
// of one that it didn't coordinate before is empty.
func (k *allowances) coordinate(name string, now, realNow time.Time) *coordinatedAccount {
	c, ok := k.coordinated[name]
	if !ok {
		c = &coordinatedAccount{}
		k.coordinated[name] = c
	}
	if c.bucket == nil {
		delay := k.startDelay(name, realNow)
		c.bucket, c.share = allowance.NewBucket(now), 0
		c.bucket.StartAt(now.Add(delay))
		k.edge.Logger.Info("coordinating an account", "account", name, "starts_in_ms", delay.Milliseconds())
	}
	return c
}

// startDelay returns how long a new coordinator grants nothing. One that replaces a
// gateway which isn't heard waits until that one, if it still runs, has noticed that it
// doesn't hear this gateway's group and keeps back the group's part.
func (k *allowances) startDelay(name string, realNow time.Time) time.Duration {
	key, view := coordinatorKeyPrefix+accountKeyPrefix+name, k.currentView(realNow)
	weight, delay := rendezvous.Weight(key, k.edge.Gateways.Self().ID), takeOverTime
	for id, g := range view.members {
		if !g.IsAlive && g.MachineCapacity >= view.leastCapacity && rendezvous.Weight(key, id) > weight {
			delay = max(delay, g.LastSeen.Add(allowance.DetectionTime).Sub(realNow))
		}
	}
	return delay
}

// share returns the part of an account's limit that this gateway hands out: that of the
// gateways which it hears and reaches, as far as none of them uses its own part.
func (k *allowances) share(name string, c *coordinatedAccount, now, realNow time.Time) float64 {
	view, counted := k.currentView(realNow), 1
	for id, g := range view.members {
		if g.IsAlive && !c.contacts.IsLost(id, now) && !k.reach.isUnanswered(g.DataCentre, now) {
			counted++
		}
	}
	total := k.total(now, realNow)
	share := float64(counted) / float64(total)
	if math.Abs(share-c.share) >= loggedShareChange {
		c.share = share
		k.edge.Logger.Info("share of an account's limit", "account", name, "share", share, "gateways", counted, "of", total)
	}
	return share
}

// noteTotal records how many gateways another one remembers.
func (k *allowances) noteTotal(n int, now time.Time) {
	if n >= k.toldTotal || now.Sub(k.toldAt) > toldTotalTime {
		k.toldTotal, k.toldAt = n, now
	}
}

// total returns the number of gateways that may still run. One that has started in a group
// that doesn't hear the rest remembers only that group, but the others tell it.
func (k *allowances) total(now, realNow time.Time) int {
	own := k.currentView(realNow).total
	if now.Sub(k.toldAt) > toldTotalTime {
		return own
	}
	return max(own, min(k.toldTotal, maxTotal))
}

// keepBuckets creates the buckets of the accounts that this gateway has come to
// coordinate, so that they fill before the first request, and drops the others. It returns
// what other gateways are to be asked. The caller must hold the lock.
func (k *allowances) keepBuckets(now, realNow time.Time) []creditAsk {
	k.resetAfterFreeze(now)
	k.tickedAt = now
	var accounts *account.Index
	if table := k.edge.Board.Routes.Get(); table != nil {
		accounts = table.Accounts
	}
	if now.Sub(k.keptAt) < idleTick || accounts.Len() == 0 && len(k.coordinated) == 0 {
		return nil
	}
	k.keptAt = now
	maps.DeleteFunc(k.confirmed, func(_ string, c confirmation) bool { return !now.Before(c.until) })
	view, self := k.currentView(realNow), k.edge.Gateways.Self().ID
	for name, c := range k.coordinated {
		_, isConfigured := accounts.ByName(name)
		if view.coordinatorOf(name) != self || !isConfigured && now.Sub(c.askedAt) > forgetTime {
			delete(k.coordinated, name)
			continue
		}
		c.contacts.Remove(now, func(id string) bool {
			_, ok := view.members[id]
			return ok || id == self
		})
	}
	var asks []creditAsk
	var coordinated *account.Account
	for a := range accounts.All() {
		if a.Allowance.IsLimited() {
			asks = append(asks, k.askSuccessor(a, now, realNow)...)
			asks = append(asks, k.claim(a, now, realNow)...)
		}
		if c := k.coordinated[a.Name]; a.Allowance.IsLimited() && (c == nil || c.bucket == nil) && view.coordinatorOf(a.Name) == self {
			k.coordinate(a.Name, now, realNow).bucket.Configure(limitOf(a), k.bounds())
		}
		if k.coordinated[a.Name] != nil {
			coordinated = a
		}
	}
	return append(asks, k.probeDataCentres(coordinated, now, realNow)...)
}

// resetAfterFreeze empties all buckets if this gateway has stood still. The caller must
// hold the lock.
func (k *allowances) resetAfterFreeze(now time.Time) {
	if k.tickedAt.IsZero() || now.Sub(k.tickedAt) < freezeGap {
		return
	}
	k.edge.Logger.Warn("this gateway stood still; the accounts that it coordinates begin with empty buckets", "for_ms", now.Sub(k.tickedAt).Milliseconds())
	k.tickedAt = now
	for _, c := range k.coordinated {
		c.bucket = nil
	}
}
