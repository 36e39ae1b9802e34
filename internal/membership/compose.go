package membership

import (
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// Compose builds an exchange from the freshest rows of each kind. turn rotates
// through the region summaries, of which few fit.
func (v *View) Compose(self peer.Member, turn uint64, now time.Time) peer.Exchange {
	return peer.Exchange{
		From:    self,
		Beats:   v.beats(self.Revision, now),
		Loads:   v.loads(now),
		Retired: v.retired(now),
		Regions: v.regions(turn, now),
	}
}

// beats returns the signs of life of the peers that are ready and stay.
func (v *View) beats(revision uint64, now time.Time) peer.Beats {
	rows := newFreshest(peer.MaxBeats, func(p blackboard.PeerState) time.Time { return p.Heard })
	region := v.board.Self.Region
	v.board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Region == region && p.Ready && !p.Leaving && now.Sub(p.Heard) < SuspectAfter {
			rows.offer(p)
		}
		return true
	})
	var out peer.Beats
	differs := false
	for _, p := range rows.items {
		out.IDs = append(out.IDs, p.ID)
		out.Tags = append(out.Tags, peer.Tag(p.Incarnation))
		out.Beats = append(out.Beats, p.Beat)
		out.AgesMillis = append(out.AgesMillis, now.Sub(p.Heard).Milliseconds())
		out.Revisions = append(out.Revisions, int64(p.Revision)-int64(revision))
		differs = differs || p.Revision != revision
	}
	if !differs {
		out.Revisions = nil
	}
	return out
}

func (v *View) loads(now time.Time) peer.Loads {
	rows := newFreshest(peer.MaxLoads, func(e blackboard.EndpointState) time.Time { return e.Report.At })
	v.board.Endpoints.Range(func(_ string, e blackboard.EndpointState) bool {
		if e.HasReport {
			rows.offer(e)
		}
		return true
	})
	var out peer.Loads
	for _, e := range rows.items {
		r := e.Report
		out.IDs = append(out.IDs, e.ID)
		out.Tags = append(out.Tags, peer.Tag(e.Incarnation))
		out.AgesMillis = append(out.AgesMillis, now.Sub(r.At).Milliseconds())
		out.Running = append(out.Running, r.Running)
		out.Waiting = append(out.Waiting, r.Waiting)
		out.QueuedPrefill = append(out.QueuedPrefill, r.QueuedPrefillTokens)
		out.PrefillRate = append(out.PrefillRate, int(r.PrefillRate))
		out.DecodeRate = append(out.DecodeRate, int(r.DecodeRate))
		out.MaxBatch = append(out.MaxBatch, r.MaxBatch)
		out.KVPercent = append(out.KVPercent, int(r.KVUsed*percent))
	}
	return out
}

const percent = 100

func (v *View) retired(now time.Time) []peer.Retired {
	rows := newFreshest(peer.MaxRetired, func(r blackboard.RetiredIncarnation) time.Time { return r.Since })
	v.board.Retired.Range(func(_ string, r blackboard.RetiredIncarnation) bool {
		rows.offer(r)
		return true
	})
	out := make([]peer.Retired, 0, len(rows.items))
	for _, r := range rows.items {
		out = append(out, peer.Retired{
			ID:          r.ID,
			Incarnation: r.Incarnation,
			AgeMillis:   now.Sub(r.Since).Milliseconds(),
		})
	}
	return out
}

// regions returns peer.MaxRegions summaries, others at each turn.
func (v *View) regions(turn uint64, now time.Time) []blackboard.RegionSummary {
	var names []string
	v.board.Regions.Range(func(name string, _ blackboard.RegionSummary) bool {
		names = append(names, name)
		return true
	})
	slices.Sort(names)
	var out []blackboard.RegionSummary
	for i := range min(peer.MaxRegions, len(names)) {
		name := names[(turn+uint64(i))%uint64(len(names))]
		if s, ok := v.board.Regions.Get(name); ok {
			s.AgeMillis = now.Sub(s.Heard).Milliseconds()
			out = append(out, s)
		}
	}
	return out
}

// Members returns the full rows of the peers that are named.
func (v *View) Members(ids []string, now time.Time) []peer.Member {
	var out []peer.Member
	for _, id := range ids[:min(len(ids), peer.MaxMembers)] {
		if p, ok := v.board.Peers.Get(id); ok {
			out = append(out, toMember(p, now))
		}
	}
	return out
}

// freshest keeps the latest rows of those offered, the latest first.
type freshest[T any] struct {
	limit int
	at    func(T) time.Time
	items []T
}

func newFreshest[T any](limit int, at func(T) time.Time) *freshest[T] {
	return &freshest[T]{limit: limit, at: at, items: make([]T, 0, limit)}
}

func (f *freshest[T]) offer(row T) {
	at := f.at(row)
	if len(f.items) == f.limit && !at.After(f.at(f.items[f.limit-1])) {
		return
	}
	i := len(f.items)
	for i > 0 && at.After(f.at(f.items[i-1])) {
		i--
	}
	if len(f.items) == f.limit {
		f.items = f.items[:f.limit-1]
	}
	f.items = slices.Insert(f.items, i, row)
}
