package membership

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// Absorb takes in everything an exchange says. It returns the suspicion of this
// gateway itself, or nil.
func (v *View) Absorb(msg peer.Exchange, now time.Time) (self *peer.Suspect) {
	from := fromMember(msg.From, now)
	from.Heard = now
	v.MergePeer(from, true)
	for _, r := range msg.Retired {
		v.Retire(r.ID, r.Incarnation, now.Add(-millis(r.AgeMillis)))
	}
	for _, m := range msg.Members {
		v.MergePeer(fromMember(m, now), false)
	}
	v.absorbLoads(msg.Loads, now)
	for _, s := range msg.Regions {
		v.MergeRegion(s, now)
	}
	for _, s := range msg.Suspects {
		if s.ID != v.board.Self.ID {
			v.Suspect(s, now)
			continue
		}
		if s.Tag == peer.Tag(v.board.Self.Incarnation) {
			self = &s
		}
	}
	return self
}

// Suspect notes that a peer did not answer, unless a later epoch of it is
// known, and says whether that is news.
func (v *View) Suspect(s peer.Suspect, now time.Time) bool {
	news := false
	if _, known := v.board.Peers.Get(s.ID); !known {
		return false
	}
	v.board.Peers.Update(s.ID, func(p blackboard.PeerState, ok bool) (blackboard.PeerState, bool) {
		if !ok || p.Suspected || p.Leaving || p.Epoch > s.Epoch || peer.Tag(p.Incarnation) != s.Tag {
			return p, ok
		}
		p.Suspected = true
		p.Epoch = s.Epoch
		p.Heard = now.Add(-SuspectAfter)
		news = true
		return p, true
	})
	return news
}

// Believe freshens the peers of the region that nobody suspects: with a few
// exchanges a second a peer's own sign comes rarely in a large region, while a
// peer that stops answering is found by whoever next exchanges with it.
func (v *View) Believe(now time.Time) {
	var ids []string
	region := v.board.Self.Region
	v.board.Peers.Range(func(id string, p blackboard.PeerState) bool {
		if p.Region == region && p.Beat > 0 && !p.Suspected && !p.Leaving {
			ids = append(ids, id)
		}
		return true
	})
	for _, id := range ids {
		v.board.Peers.Update(id, func(p blackboard.PeerState, ok bool) (blackboard.PeerState, bool) {
			if ok && !p.Suspected && !p.Leaving {
				p.Heard = now
			}
			return p, ok
		})
	}
}

func (v *View) absorbLoads(rows peer.Loads, now time.Time) {
	n := min(len(rows.IDs), len(rows.Tags), len(rows.AgesMillis), len(rows.Running), len(rows.Waiting),
		len(rows.QueuedPrefill), len(rows.PrefillRate), len(rows.DecodeRate), len(rows.MaxBatch), len(rows.KVPercent))
	for i := range n {
		e, known := v.board.Endpoints.Get(rows.IDs[i])
		if !known || peer.Tag(e.Incarnation) != rows.Tags[i] {
			continue
		}
		v.MergeLoad(e.ID, e.Incarnation, blackboard.LoadReport{
			At:                  now.Add(-millis(rows.AgesMillis[i])),
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

// MergeRegion keeps the summary of another region that is the fresher.
func (v *View) MergeRegion(s blackboard.RegionSummary, now time.Time) {
	if s.Region == "" || s.Region == v.board.Self.Region {
		return
	}
	s.Heard = now.Add(-millis(s.AgeMillis))
	v.board.Regions.Update(s.Region, func(old blackboard.RegionSummary, ok bool) (blackboard.RegionSummary, bool) {
		if !ok {
			return s, true
		}
		if old.From == s.From && s.Seq <= old.Seq {
			return old, true
		}
		if old.From != s.From && !s.Heard.After(old.Heard) {
			return old, true
		}
		return s, true
	})
}
