package membership

import (
	"sort"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// Absorb takes in everything an exchange says.
func (v *View) Absorb(msg peer.Exchange, now time.Time) {
	from := fromMember(msg.From, now)
	from.Heard = now
	v.MergePeer(from, true)
	for _, r := range msg.Retired {
		v.Retire(r.ID, r.Incarnation, now.Add(-millis(r.AgeMillis)))
	}
	for _, m := range msg.Members {
		v.MergePeer(fromMember(m, now), false)
	}
	for _, l := range msg.Loads {
		report := l.Report
		report.At = now.Add(-millis(report.AgeMillis))
		v.MergeLoad(l.ID, l.Incarnation, report)
	}
	for _, s := range msg.Regions {
		v.MergeRegion(s, now)
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

// Compose builds an exchange from the freshest rows of each kind, at most
// peer.MaxRows of each.
func (v *View) Compose(self peer.Member, now time.Time) peer.Exchange {
	return peer.Exchange{
		From:    self,
		Members: v.members(now),
		Loads:   v.loads(now),
		Retired: v.retired(now),
		Regions: v.regions(now),
	}
}

func (v *View) members(now time.Time) []peer.Member {
	self := v.board.Self
	var rows []blackboard.PeerState
	v.board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Region == self.Region && now.Sub(p.Heard) < SuspectAfter {
			rows = append(rows, p)
		}
		return true
	})
	rows = freshest(rows, func(p blackboard.PeerState) time.Time { return p.Heard })
	out := make([]peer.Member, 0, len(rows))
	for _, p := range rows {
		out = append(out, toMember(p, now))
	}
	return out
}

func (v *View) loads(now time.Time) []peer.Load {
	var rows []blackboard.EndpointState
	v.board.Endpoints.Range(func(_ string, e blackboard.EndpointState) bool {
		if e.HasReport {
			rows = append(rows, e)
		}
		return true
	})
	rows = freshest(rows, func(e blackboard.EndpointState) time.Time { return e.Report.At })
	out := make([]peer.Load, 0, len(rows))
	for _, e := range rows {
		report := e.Report
		report.AgeMillis = now.Sub(report.At).Milliseconds()
		out = append(out, peer.Load{ID: e.ID, Incarnation: e.Incarnation, Report: report})
	}
	return out
}

func (v *View) retired(now time.Time) []peer.Retired {
	var rows []blackboard.RetiredIncarnation
	v.board.Retired.Range(func(_ string, r blackboard.RetiredIncarnation) bool {
		rows = append(rows, r)
		return true
	})
	rows = freshest(rows, func(r blackboard.RetiredIncarnation) time.Time { return r.Since })
	out := make([]peer.Retired, 0, len(rows))
	for _, r := range rows {
		out = append(out, peer.Retired{
			ID:          r.ID,
			Incarnation: r.Incarnation,
			AgeMillis:   now.Sub(r.Since).Milliseconds(),
		})
	}
	return out
}

func (v *View) regions(now time.Time) []blackboard.RegionSummary {
	var rows []blackboard.RegionSummary
	v.board.Regions.Range(func(_ string, s blackboard.RegionSummary) bool {
		s.AgeMillis = now.Sub(s.Heard).Milliseconds()
		rows = append(rows, s)
		return true
	})
	return freshest(rows, func(s blackboard.RegionSummary) time.Time { return s.Heard })
}

// freshest returns at most peer.MaxRows rows, the latest first.
func freshest[T any](rows []T, at func(T) time.Time) []T {
	sort.SliceStable(rows, func(i, j int) bool { return at(rows[i]).After(at(rows[j])) })
	if len(rows) > peer.MaxRows {
		rows = rows[:peer.MaxRows]
	}
	return rows
}

// Endpoints returns the endpoints of the region for a peer.
func (v *View) Endpoints(now time.Time) []peer.Endpoint {
	out := []peer.Endpoint{}
	v.board.Endpoints.Range(func(_ string, e blackboard.EndpointState) bool {
		out = append(out, peer.Endpoint{
			ID:           e.ID,
			Incarnation:  e.Incarnation,
			Group:        e.Group,
			Region:       e.Region,
			DataCentre:   e.DataCentre,
			Address:      e.Address,
			Leaving:      e.Leaving,
			ListedMillis: now.Sub(e.Listed).Milliseconds(),
		})
		return true
	})
	return out
}

// AbsorbEndpoints takes in the endpoints that a peer knows. One that is known
// here already is left as it is.
func (v *View) AbsorbEndpoints(rows []peer.Endpoint, now time.Time) {
	for _, r := range rows {
		if _, known := v.board.Endpoints.Get(r.ID); known || r.Region != v.board.Self.Region {
			continue
		}
		v.MergeEndpoint(blackboard.EndpointState{
			ID:          r.ID,
			Incarnation: r.Incarnation,
			Group:       r.Group,
			Region:      r.Region,
			DataCentre:  r.DataCentre,
			Address:     r.Address,
			Leaving:     r.Leaving,
			Listed:      now.Add(-millis(r.ListedMillis)),
		})
	}
}

func fromMember(m peer.Member, now time.Time) blackboard.PeerState {
	return blackboard.PeerState{
		ID:            m.ID,
		Incarnation:   m.Incarnation,
		Region:        m.Region,
		Address:       m.Address,
		CallerAddress: m.CallerAddress,
		Leaving:       m.Leaving,
		Ready:         m.Ready,
		Revision:      m.Revision,
		Beat:          m.Beat,
		Heard:         now.Add(-millis(m.AgeMillis)),
	}
}

func toMember(p blackboard.PeerState, now time.Time) peer.Member {
	return peer.Member{
		ID:            p.ID,
		Incarnation:   p.Incarnation,
		Region:        p.Region,
		Address:       p.Address,
		CallerAddress: p.CallerAddress,
		Leaving:       p.Leaving,
		Ready:         p.Ready,
		Revision:      p.Revision,
		Beat:          p.Beat,
		AgeMillis:     now.Sub(p.Heard).Milliseconds(),
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
