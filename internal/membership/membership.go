// Package membership merges the state of gateways and endpoints, as received
// from peers, the instance list and load reports, into the blackboard. There is
// no consensus: every gateway keeps its own view, and views converge because
// newer state replaces older state.
package membership

import (
	"sort"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
)

// Timeouts and retention periods.
const (
	// LivenessTimeout is the time since PeerState.LastSeen after which a peer
	// no longer counts as live.
	LivenessTimeout = 6 * time.Second
	// PeerRetention is the time since PeerState.LastSeen after which a peer is
	// removed.
	PeerRetention = 2 * time.Minute
	// RetiredRetention is how long a retired incarnation is remembered. It is
	// far longer than the lag of the instance list, so that a stale list entry
	// cannot bring the incarnation back.
	RetiredRetention = 30 * time.Minute
)

// View reads and writes the peers, endpoints, region summaries and retired
// incarnations of a blackboard. It is safe for concurrent use.
type View struct{ board *blackboard.Board }

// New returns a view of board.
func New(board *blackboard.Board) *View { return &View{board: board} }

// IsRetired reports whether the incarnation is known to be leaving or replaced.
func (v *View) IsRetired(id, incarnation string) bool {
	_, ok := v.board.Retired.Get(blackboard.RetiredKey(id, incarnation))
	return ok
}

// Retire marks an incarnation as one that gets no new work and reports whether
// the mark is new. since is when this was first observed.
func (v *View) Retire(id, incarnation string, since time.Time) bool {
	isNew := false
	key := blackboard.RetiredKey(id, incarnation)
	v.board.Retired.Update(key, func(old blackboard.RetiredIncarnation, ok bool) (blackboard.RetiredIncarnation, bool) {
		if ok {
			return old, true
		}
		isNew = true
		return blackboard.RetiredIncarnation{ID: id, Incarnation: incarnation, RetiredAt: since}, true
	})
	if !isNew {
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

// ApplyPeer merges the state of a peer. Within an incarnation the state with the
// higher HeartbeatSeq wins. A different incarnation replaces the known one,
// which is then retired, unless the known one is not leaving and the new state
// comes indirectly and is older. The state of a retired incarnation only updates
// a peer that has that incarnation. direct says that the state came from the
// peer itself.
func (v *View) ApplyPeer(p blackboard.PeerState, direct bool) {
	if p.ID == v.board.Self.ID || p.ID == "" {
		return
	}
	if v.IsRetired(p.ID, p.Incarnation) {
		p.Leaving = true
		v.updateLeavingPeer(p)
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
		return mergePeerStates(old, p, direct), true
	})
	if replaced != "" {
		v.Retire(p.ID, replaced, p.LastSeen)
	}
}

// updateLeavingPeer merges the state of a peer that is leaving, which may still
// own tickets.
func (v *View) updateLeavingPeer(p blackboard.PeerState) {
	v.board.Peers.Update(p.ID, func(old blackboard.PeerState, ok bool) (blackboard.PeerState, bool) {
		if !ok || old.Incarnation != p.Incarnation {
			return old, ok
		}
		return mergePeerStates(old, p, false), true
	})
}

// mergePeerStates merges two states of one incarnation. A suspicion is cleared
// only by a later state that comes from the peer itself or has a later epoch.
func mergePeerStates(old, p blackboard.PeerState, direct bool) blackboard.PeerState {
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

// ApplyEndpoint merges an endpoint from the instance list. An entry that lists a
// retired incarnation as running does not clear its leaving mark.
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

// ApplyLoadReport stores a load report of a known endpoint and reports whether
// it did. It ignores reports that are not newer than the stored one and those of
// another incarnation; an empty incarnation matches any. A report with Leaving
// set retires the incarnation. direct says that the report came from the
// endpoint itself.
func (v *View) ApplyLoadReport(id, incarnation string, report blackboard.LoadReport, direct bool) bool {
	accepted := false
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
		accepted = true
		return e, true
	})
	if accepted && report.Leaving {
		v.Retire(id, current, report.TakenAt)
	}
	return accepted
}

// LivePeers returns the peers of region that are not leaving and were last seen
// less than LivenessTimeout ago, ordered by id.
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

// LiveGatewayIDs returns the sorted ids of this gateway and of the live peers of
// its region. A gateway that is draining leaves itself out.
func (v *View) LiveGatewayIDs(now time.Time) []string {
	self := v.board.Self
	var ids []string
	if !v.board.Lifecycle.Get().IsEnding() {
		ids = append(ids, self.ID)
	}
	for _, p := range v.LivePeers(self.Region, now) {
		ids = append(ids, p.ID)
	}
	sort.Strings(ids)
	return ids
}

// PeerByIncarnation returns the peer with the given incarnation, whether or not
// it is leaving.
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

// RemoveExpired removes peers last seen more than PeerRetention ago and
// retired incarnations older than RetiredRetention.
func (v *View) RemoveExpired(now time.Time) {
	var peers, retired []string
	v.board.Peers.Range(func(id string, p blackboard.PeerState) bool {
		if now.Sub(p.LastSeen) > PeerRetention {
			peers = append(peers, id)
		}
		return true
	})
	v.board.Retired.Range(func(key string, r blackboard.RetiredIncarnation) bool {
		if now.Sub(r.RetiredAt) > RetiredRetention {
			retired = append(retired, key)
		}
		return true
	})
	for _, id := range peers {
		v.board.Peers.Delete(id)
	}
	for _, key := range retired {
		v.board.Retired.Delete(key)
	}
}
