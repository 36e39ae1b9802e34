package membership

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/lenient"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// ApplyExchange merges a received exchange into the blackboard. It returns the
// sender's suspicion of this gateway's own incarnation, or nil if there is none.
func (v *View) ApplyExchange(msg peer.Exchange, now time.Time) (selfSuspicion *peer.Suspicion) {
	v.applySender(msg, now)
	for _, r := range msg.Retired {
		v.Retire(r.ID, r.Incarnation, now.Add(-millis(r.AgeMillis)))
	}
	for _, status := range msg.Gateways {
		v.ApplyPeer(peerFromStatus(status, now), false)
	}
	v.applyLoadReports(msg.LoadReports, now)
	for _, s := range msg.Regions {
		v.ApplyRegionSummary(s, now)
	}
	for _, s := range msg.Suspicions {
		if s.ID != v.board.Self.ID {
			v.MarkSuspected(s, now)
			continue
		}
		if s.IncarnationHash == peer.IncarnationHash(v.board.Self.Incarnation) {
			selfSuspicion = &s
		}
	}
	return selfSuspicion
}

// applySender merges the status of the sender of an exchange. Of a status that can't be
// read in full, the former one is kept.
func (v *View) applySender(msg peer.Exchange, now time.Time) {
	from := peerFromStatus(msg.From, now)
	if old, known := v.board.Peers.Get(from.ID); !msg.IsFromComplete() && known && (from.Incarnation == "" || from.Incarnation == old.Incarnation) {
		old.Leaving = old.Leaving || from.Leaving
		old.HeartbeatSeq, old.Suspected = old.HeartbeatSeq+1, false
		from = old
	}
	if from.Incarnation == "" {
		return
	}
	from.LastSeen = now
	v.ApplyPeer(from, true)
}

// RecordResponse records that the peer at the given address has responded, whatever it says.
func (v *View) RecordResponse(address string, now time.Time) {
	var ids []string
	v.board.Peers.Range(func(id string, p blackboard.PeerState) bool {
		if p.Address == address {
			ids = append(ids, id)
		}
		return true
	})
	for _, id := range ids {
		v.applySender(peer.Exchange{From: peer.GatewayStatus{ID: id}, Problems: []lenient.Problem{{Path: "from"}}}, now)
	}
}

// MarkSuspected marks a peer as unresponsive and reports whether the mark is
// new. It ignores suspicions of unknown or leaving peers, of other incarnations
// and of earlier epochs.
func (v *View) MarkSuspected(s peer.Suspicion, now time.Time) bool {
	changed := false
	if _, known := v.board.Peers.Get(s.ID); !known {
		return false
	}
	v.board.Peers.Update(s.ID, func(p blackboard.PeerState, ok bool) (blackboard.PeerState, bool) {
		if !ok || p.Suspected || p.Leaving || p.Epoch > s.Epoch || peer.IncarnationHash(p.Incarnation) != s.IncarnationHash {
			return p, ok
		}
		p.Suspected = true
		p.Epoch = s.Epoch
		p.LastSeen = now.Add(-LivenessTimeout)
		changed = true
		return p, true
	})
	return changed
}

// RefreshUnsuspected sets LastSeen to now for the local peers that are neither
// suspected nor leaving. With a few exchanges a second, a large region rarely
// brings a direct message from each peer, while a peer that stops responding is
// detected by the next gateway that exchanges with it.
func (v *View) RefreshUnsuspected(now time.Time) {
	var ids []string
	region := v.board.Self.Region
	v.board.Peers.Range(func(id string, p blackboard.PeerState) bool {
		if p.Region == region && p.HeartbeatSeq > 0 && !p.Suspected && !p.Leaving {
			ids = append(ids, id)
		}
		return true
	})
	for _, id := range ids {
		v.board.Peers.Update(id, func(p blackboard.PeerState, ok bool) (blackboard.PeerState, bool) {
			if ok && !p.Suspected && !p.Leaving {
				p.LastSeen = now
			}
			return p, ok
		})
	}
}

func (v *View) applyLoadReports(rows peer.LoadReports, now time.Time) {
	n := min(len(rows.EndpointIDs), len(rows.IncarnationHashes), len(rows.AgesMillis), len(rows.Running), len(rows.Waiting),
		len(rows.QueuedPrefill), len(rows.PrefillRate), len(rows.DecodeRate), len(rows.MaxBatch), len(rows.KVPercent))
	for i := range n {
		e, known := v.board.Endpoints.Get(rows.EndpointIDs[i])
		if !known || min(rows.Running[i], rows.Waiting[i], rows.QueuedPrefill[i], rows.PrefillRate[i], rows.DecodeRate[i], rows.MaxBatch[i], rows.KVPercent[i]) < 0 || peer.IncarnationHash(e.Incarnation) != rows.IncarnationHashes[i] {
			continue
		}
		v.ApplyLoadReport(e.ID, e.Incarnation, blackboard.LoadReport{
			TakenAt:             now.Add(-millis(rows.AgesMillis[i])),
			Running:             rows.Running[i],
			Waiting:             rows.Waiting[i],
			QueuedPrefillTokens: rows.QueuedPrefill[i],
			PrefillRate:         float64(rows.PrefillRate[i]),
			DecodeRate:          float64(rows.DecodeRate[i]),
			MaxBatch:            rows.MaxBatch[i],
			KVUsed:              float64(rows.KVPercent[i]) / percent,
		}, false)
	}
}

// ApplyRegionSummary stores the summary of another region unless the stored one
// is newer. Sequence numbers order the summaries of one sender; those of
// different senders are ordered by time.
func (v *View) ApplyRegionSummary(s blackboard.RegionSummary, now time.Time) {
	if s.Region == "" || s.Region == v.board.Self.Region {
		return
	}
	s.AsOf = now.Add(-millis(s.AgeMillis))
	v.board.Regions.Update(s.Region, func(old blackboard.RegionSummary, ok bool) (blackboard.RegionSummary, bool) {
		if !ok {
			return s, true
		}
		if old.From == s.From && s.Seq <= old.Seq {
			return old, true
		}
		if old.From != s.From && !s.AsOf.After(old.AsOf) {
			return old, true
		}
		return s, true
	})
}
