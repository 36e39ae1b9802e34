package edge

import (
	"maps"
	"time"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

const (
	// reachTimeout is the time without an answer after which a data centre counts as one
	// that this gateway's messages don't reach: two lost datagrams and a round trip between
	// regions.
	reachTimeout = 700 * time.Millisecond
	// maxReachProbes is the number of gateways of a data centre that are asked at a time: one
	// of them may be frozen.
	maxReachProbes = 2
)

// reach is what a gateway knows of the data centres that its messages reach. Those that it
// hears may not hear it, where datagrams are lost in one direction, and hand out their part
// of a limit themselves.
type reach struct {
	// answered holds, by id, the incarnations of gateways that have answered this one or
	// asked it for credit as the coordinator.
	answered map[string]string
	// unansweredSince is when the first of the unanswered messages was sent, by data centre.
	unansweredSince map[string]time.Time
}

func newReach() reach {
	return reach{answered: make(map[string]string), unansweredSince: make(map[string]time.Time)}
}

// record records that a gateway has answered or asked.
func (r reach) record(view *coordinationView, id string) {
	if g, ok := view.members[id]; ok {
		r.answered[id] = g.Incarnation
		delete(r.unansweredSince, g.DataCentre)
	}
}

// isUnanswered reports whether a data centre has left messages unanswered for reachTimeout.
func (r reach) isUnanswered(dataCentre string, now time.Time) bool {
	since, ok := r.unansweredSince[dataCentre]
	return ok && now.Sub(since) >= reachTimeout
}

// silent returns the ids of the gateways in each data centre that is heard and of which none
// has answered since its start.
func (r reach) silent(view *coordinationView) map[string][]string {
	out, hasAnswered := make(map[string][]string), make(map[string]bool)
	for id, g := range view.members {
		switch {
		case r.answered[id] == g.Incarnation:
			hasAnswered[g.DataCentre] = hasAnswered[g.DataCentre] || g.IsAlive
		case g.IsAlive && g.GrantAddress != "":
			out[g.DataCentre] = append(out[g.DataCentre], id)
		}
	}
	maps.DeleteFunc(out, func(dataCentre string, _ []string) bool { return hasAnswered[dataCentre] })
	return out
}

// probeDataCentres asks gateways of other data centres that have never answered this one.
// a is an account that this gateway coordinates, nil if there is none. The caller must hold
// the lock.
func (k *allowances) probeDataCentres(a *account.Account, now, realNow time.Time) []creditAsk {
	if a == nil {
		clear(k.reach.unansweredSince)
		return nil
	}
	view := k.currentView(realNow)
	maps.DeleteFunc(k.reach.answered, func(id, _ string) bool { _, ok := view.members[id]; return !ok })
	silent := k.reach.silent(view)
	delete(silent, k.edge.Gateways.Self().DataCentre)
	maps.DeleteFunc(k.reach.unansweredSince, func(dataCentre string, _ time.Time) bool { return len(silent[dataCentre]) == 0 })
	var asks []creditAsk
	for dataCentre, ids := range silent {
		if _, ok := k.reach.unansweredSince[dataCentre]; !ok {
			k.reach.unansweredSince[dataCentre] = now
		}
		for _, id := range rendezvous.Top(coordinatorKeyPrefix+accountKeyPrefix+a.Name, ids, maxReachProbes) {
			asks = append(asks, creditAsk{gatewayAddress{id: id, address: view.members[id].GrantAddress}, k.probe(a, now, realNow)})
		}
	}
	return asks
}
