package membership

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// Absorb takes in everything an exchange says and returns the ids of the
// gateways that it names and that are not known here in their present
// incarnation.
func (v *View) Absorb(msg peer.Exchange, now time.Time) (unknown []string) {
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
	return v.absorbBeats(msg.Beats, msg.From.Revision, now)
}

// absorbBeats freshens the peers that are known.
func (v *View) absorbBeats(rows peer.Beats, revision uint64, now time.Time) (unknown []string) {
	n := min(len(rows.IDs), len(rows.Tags), len(rows.Beats), len(rows.AgesMillis))
	for i := range n {
		id := rows.IDs[i]
		p, known := v.board.Peers.Get(id)
		if id == v.board.Self.ID {
			continue
		}
		if !known || peer.Tag(p.Incarnation) != rows.Tags[i] {
			unknown = append(unknown, id)
			continue
		}
		p.Beat = rows.Beats[i]
		p.Heard = now.Add(-millis(rows.AgesMillis[i]))
		p.Ready = true
		p.Revision = revision
		if i < len(rows.Revisions) {
			p.Revision = uint64(int64(revision) + rows.Revisions[i])
		}
		v.MergePeer(p, false)
	}
	return unknown
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
		})
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
