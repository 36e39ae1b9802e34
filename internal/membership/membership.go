// Package membership merges what gateways hear of each other and of endpoints
// into the blackboard. Nothing here is agreed on: every gateway keeps its own
// view, and views converge because a newer sign replaces an older one.
package membership

import (
	"sort"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
)

// Times of membership.
const (
	// LivenessTimeout is the age of the last reason to believe in a peer from
	// which it is no longer counted on.
	LivenessTimeout = 6 * time.Second
	// PeerRetention is the age from which a peer is removed.
	PeerRetention = 2 * time.Minute
	// RetiredRetention is how long a retired incarnation is remembered. It is far
	// longer than the lag of the instance list.
	RetiredRetention = 30 * time.Minute
)

// View reads and writes the membership sections of a blackboard.
type View struct{ board *blackboard.Board }

// New returns a view of board.
func New(board *blackboard.Board) *View { return &View{board: board} }

// IsRetired says whether the incarnation has left or was replaced.
func (v *View) IsRetired(id, incarnation string) bool {
	_, ok := v.board.Retired.Get(blackboard.RetiredKey(id, incarnation))
	return ok
}

// Retire marks an incarnation as one that takes no new work, and says whether
// that is news. since is when the first sign was seen.
func (v *View) Retire(id, incarnation string, since time.Time) bool {
	news := false
	key := blackboard.RetiredKey(id, incarnation)
	v.board.Retired.Update(key, func(old blackboard.RetiredIncarnation, ok bool) (blackboard.RetiredIncarnation, bool) {
		if ok {
			return old, true
		}
		news = true
		return blackboard.RetiredIncarnation{ID: id, Incarnation: incarnation, RetiredAt: since}, true
	})
	if !news {
		return false
	}
	v.markEndpointLeaving(id, incarnation, since)
	v.markPeerLeaving(id, incarnation)
	return true
}

func (v *View) markEndpointLeaving(id, incarnation string, since time.Time) {
	if _, ok := v.board.Endpoints.Get(id); !ok {
		return
	}
	v.board.Endpoints.Update(id, func(e blackboard.EndpointState, ok bool) (blackboard.EndpointState, bool) {
		if ok && e.Incarnation == incarnation && !e.Leaving {
			e.Leaving = true
			e.LeavingSince = since
		}
		return e, ok
	})
}

func (v *View) markPeerLeaving(id, incarnation string) {
	if _, ok := v.board.Peers.Get(id); !ok {
		return
	}
	v.board.Peers.Update(id, func(p blackboard.PeerState, ok bool) (blackboard.PeerState, bool) {
		if ok && p.Incarnation == incarnation {
			p.Leaving = true
		}
		return p, ok
	})
}

// ApplyPeer takes in a sign of life of a peer. A sign of a retired incarnation
// is ignored; within an incarnation the higher beat wins; a different
// incarnation that isn't retired replaces the old one, which is retired. A
// direct sign is one from the peer itself.
func (v *View) ApplyPeer(p blackboard.PeerState, direct bool) {
	if p.ID == v.board.Self.ID || p.ID == "" {
		return
	}
	if v.IsRetired(p.ID, p.Incarnation) {
		p.Leaving = true
		v.refreshLeaving(p)
		return
	}
	if p.Leaving {
		v.Retire(p.ID, p.Incarnation, p.LastSeen)
	}
	replaced := ""
	v.board.Peers.Update(p.ID, func(old blackboard.PeerState, ok bool) (blackboard.PeerState, bool) {
		if !ok {
			return p, true
		}
		if old.Incarnation != p.Incarnation {
			if !direct && !old.Leaving && old.LastSeen.After(p.LastSeen) {
				return old, true
			}
			replaced = old.Incarnation
			return p, true
		}
		return newerPeer(old, p, direct), true
	})
	if replaced != "" {
		v.Retire(p.ID, replaced, p.LastSeen)
	}
}

// refreshLeaving notes a sign of a leaving peer, which still may own tickets.
func (v *View) refreshLeaving(p blackboard.PeerState) {
	v.board.Peers.Update(p.ID, func(old blackboard.PeerState, ok bool) (blackboard.PeerState, bool) {
		if !ok || old.Incarnation != p.Incarnation {
			return old, ok
		}
		return newerPeer(old, p, false), true
	})
}

// newerPeer returns the later of two signs of one incarnation. A suspicion is
// lifted by a direct sign or by a later epoch.
func newerPeer(old, p blackboard.PeerState, direct bool) blackboard.PeerState {
	if p.HeartbeatSeq <= old.HeartbeatSeq {
		return old
	}
	p.Leaving = p.Leaving || old.Leaving
	p.Revision = max(p.Revision, old.Revision)
	if old.Suspected && !direct && p.Epoch <= old.Epoch {
		p.Suspected = true
		p.LastSeen = old.LastSeen
	}
	p.Epoch = max(p.Epoch, old.Epoch)
	if old.LastSeen.After(p.LastSeen) && !old.Suspected {
		p.LastSeen = old.LastSeen
	}
	return p
}

// ApplyEndpoint takes in an endpoint from the instance list. A live sign of a
// retired incarnation does not lift its leaving mark.
func (v *View) ApplyEndpoint(e blackboard.EndpointState) {
	if e.Leaving {
		v.Retire(e.ID, e.Incarnation, e.LastListed)
	}
	retired := v.IsRetired(e.ID, e.Incarnation)
	replaced := ""
	v.board.Endpoints.Update(e.ID, func(old blackboard.EndpointState, ok bool) (blackboard.EndpointState, bool) {
		if ok && old.Incarnation == e.Incarnation {
			old.LastListed = e.LastListed
			old.Address = e.Address
			old.Group = e.Group
			return markLeaving(old, retired, e.LastListed), true
		}
		if ok && retired {
			return old, true
		}
		if ok {
			replaced = old.Incarnation
		}
		return markLeaving(e, retired, e.LastListed), true
	})
	if replaced != "" {
		v.Retire(e.ID, replaced, e.LastListed)
	}
}

func markLeaving(e blackboard.EndpointState, leaving bool, since time.Time) blackboard.EndpointState {
	if leaving && !e.Leaving {
		e.Leaving = true
		e.LeavingSince = since
	}
	return e
}

// ApplyLoadReport takes in a load report of an endpoint that the list has named. An
// older report than the one held is ignored; one that says leaving retires the
// incarnation. direct says that the report came from the endpoint itself. It
// returns whether the report was taken.
func (v *View) ApplyLoadReport(id, incarnation string, report blackboard.LoadReport, direct bool) bool {
	taken := false
	current := ""
	if _, ok := v.board.Endpoints.Get(id); !ok {
		return false
	}
	v.board.Endpoints.Update(id, func(e blackboard.EndpointState, ok bool) (blackboard.EndpointState, bool) {
		if !ok {
			return e, false
		}
		current = e.Incarnation
		if incarnation != "" && incarnation != e.Incarnation {
			return e, true
		}
		if e.HasReport && !report.TakenAt.After(e.Report.TakenAt) {
			return e, true
		}
		e.Report = report
		e.HasReport = true
		e.ReportIsDirect = direct
		taken = true
		return e, true
	})
	if taken && report.Leaving {
		v.Retire(id, current, report.TakenAt)
	}
	return taken
}

// LivePeers returns the peers of region that are counted on at now: heard lately
// and not leaving. The order is that of their ids.
func (v *View) LivePeers(region string, now time.Time) []blackboard.PeerState {
	var out []blackboard.PeerState
	v.board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Region == region && !p.Leaving && now.Sub(p.LastSeen) < LivenessTimeout {
			out = append(out, p)
		}
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// LiveGatewayIDs returns the ids of this gateway and of the peers of its region that
// are counted on, ordered. A gateway that is draining leaves itself out.
func (v *View) LiveGatewayIDs(now time.Time) []string {
	self := v.board.Self
	var ids []string
	if v.board.Lifecycle.Get() != blackboard.Draining {
		ids = append(ids, self.ID)
	}
	for _, p := range v.LivePeers(self.Region, now) {
		ids = append(ids, p.ID)
	}
	sort.Strings(ids)
	return ids
}

// PeerByIncarnation returns the peer whose incarnation is given, leaving or not.
func (v *View) PeerByIncarnation(incarnation string) (blackboard.PeerState, bool) {
	var found blackboard.PeerState
	ok := false
	v.board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Incarnation == incarnation {
			found, ok = p, true
		}
		return !ok
	})
	return found, ok
}

// RemoveExpired removes peers not heard for ForgetAfter and marks kept longer than
// RetiredFor.
func (v *View) RemoveExpired(now time.Time) {
	var peers, marks []string
	v.board.Peers.Range(func(id string, p blackboard.PeerState) bool {
		if now.Sub(p.LastSeen) > PeerRetention {
			peers = append(peers, id)
		}
		return true
	})
	v.board.Retired.Range(func(key string, r blackboard.RetiredIncarnation) bool {
		if now.Sub(r.RetiredAt) > RetiredRetention {
			marks = append(marks, key)
		}
		return true
	})
	for _, id := range peers {
		v.board.Peers.Delete(id)
	}
	for _, key := range marks {
		v.board.Retired.Delete(key)
	}
}
