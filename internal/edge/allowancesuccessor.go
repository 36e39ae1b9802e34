package edge

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// confirmTime is how long a gateway that has answered as coordinator counts as one that
// may be, however short it has been known.
const confirmTime = time.Second

// maxClaims is the number of gateways, those of the highest rank, that are told whom a
// coordinator serves. One that hears nobody would otherwise tell half of the fleet.
const maxClaims = 8

// maxSuccessors is the number of newcomers, those of the highest rank, that are asked whether
// they coordinate an account. The one gateway that goes on while 85 start again would send
// thousands of messages a second for 16 accounts otherwise.
const maxSuccessors = 16

// maxClaimedBytes bounds the ids in one message about whom a coordinator serves: those of 295
// gateways may exceed the 8 KB of a datagram, which would then be cut off and not be read.
const maxClaimedBytes = 4 << 10

// confirmation says that an incarnation of a gateway has answered as a coordinator.
type confirmation struct {
	incarnation string
	until       time.Time
}

// confirm records that a gateway has answered as a coordinator. Nothing is recorded of those
// that are known for long enough. The caller must hold the lock.
func (k *allowances) confirm(id string, now time.Time) {
	g, ok := k.currentView(time.Now()).members[id]
	if !ok || g.MayCoordinate {
		return
	}
	if !k.isConfirmed(g) {
		k.view = nil
	}
	k.confirmed[id] = confirmation{incarnation: g.Incarnation, until: now.Add(confirmTime)}
}

func (k *allowances) isConfirmed(g fleet.RememberedGateway) bool {
	c, ok := k.confirmed[g.ID]
	if ok && (c.incarnation != g.Incarnation || !k.now().Before(c.until)) {
		delete(k.confirmed, g.ID)
		return false
	}
	return ok
}

// askSuccessor asks whether a newcomer that ranks above this gateway coordinates the
// account already. Gateways that have been apart learn of each other at different times,
// and two of them would hand out the limit until both count as known. The caller must hold
// the lock.
func (k *allowances) askSuccessor(a *account.Account, now, realNow time.Time) []creditAsk {
	view, self := k.currentView(realNow), k.edge.Gateways.Self().ID
	if len(view.newcomers) == 0 || !k.edge.Gateways.MayCoordinate(realNow) {
		return nil
	}
	key := coordinatorKeyPrefix + accountKeyPrefix + a.Name
	weight := rendezvous.Weight(key, self)
	for id, g := range view.members {
		if g.MayCoordinate && g.MachineCapacity >= view.leastCapacity && rendezvous.Weight(key, id) > weight {
			return nil
		}
	}
	var above []string
	for _, g := range view.newcomers {
		if view.members[g.id].MachineCapacity >= view.leastCapacity && rendezvous.Weight(key, g.id) > weight {
			above = append(above, g.id)
		}
	}
	var asks []creditAsk
	for _, id := range rendezvous.Top(key, above, maxSuccessors) {
		asks = append(asks, creditAsk{gatewayAddress{id: id, address: view.members[id].GrantAddress}, k.probe(a, now, realNow)})
	}
	return asks
}

// probe returns an ask for nothing.
func (k *allowances) probe(a *account.Account, now, realNow time.Time) grants.CreditAsk {
	return grants.CreditAsk{
		Account: a.Name, Gateway: k.edge.Gateways.Self().ID, AskedAt: now.UnixNano(), PerSecond: a.Allowance.RatePerSecond, Burst: a.Allowance.Burst,
		Gateways: k.currentView(realNow).total, Probe: true,
	}
}

// claim tells the gateways that would coordinate the account if this one heard them which
// gateways it serves in their place. They may hear those, where datagrams are lost in one
// direction only, and would hand out their parts too. The caller must hold the lock.
func (k *allowances) claim(a *account.Account, now, realNow time.Time) []creditAsk {
	c, view, self := k.coordinated[a.Name], k.currentView(realNow), k.edge.Gateways.Self().ID
	if c == nil || c.bucket == nil || view.coordinatorOf(a.Name) != self {
		return nil
	}
	key := coordinatorKeyPrefix + accountKeyPrefix + a.Name
	weight := rendezvous.Weight(key, self)
	var above []string
	for id, g := range view.members {
		if !g.IsAlive && g.GrantAddress != "" && g.MachineCapacity >= view.leastCapacity && rendezvous.Weight(key, id) > weight {
			above = append(above, id)
		}
	}
	if len(above) == 0 {
		return nil
	}
	claimed := []string{self}
	for id, g := range view.members {
		if g.IsAlive && !c.contacts.IsLost(id, now) {
			claimed = append(claimed, id)
		}
	}
	var asks []creditAsk
	for _, id := range rendezvous.Top(key, above, maxClaims) {
		for _, part := range splitIDs(claimed, maxClaimedBytes) {
			ask := k.probe(a, now, realNow)
			ask.Claimed = part
			asks = append(asks, creditAsk{gatewayAddress{id: id, address: view.members[id].GrantAddress}, ask})
		}
	}
	return asks
}

// splitIDs splits a list into parts that take at most maxBytes in JSON, or hold one id.
func splitIDs(ids []string, maxBytes int) [][]string {
	const quotesAndComma = 3
	var parts [][]string
	first, size := 0, 0
	for n, id := range ids {
		if size += len(id) + quotesAndComma; size > maxBytes && n > first {
			parts = append(parts, ids[first:n])
			first, size = n, len(id)+quotesAndComma
		}
	}
	return append(parts, ids[first:])
}
