package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// BuildExchange builds an exchange. turn rotates through the region summaries, of
// which few fit.
func (v *View) BuildExchange(self peer.GatewayStatus, turn uint64, now time.Time) peer.Exchange {
	return peer.Exchange{
		From:             self,
		MembershipDigest: v.MembershipDigest(self),
		Suspicions:       v.suspects(),
		LoadReports:      v.loads(now),
		Retired:          v.retired(now),
		Regions:          v.regions(turn, now),
	}
}

// MembershipDigest sums up the gateways of the region that have been heard, self
// included. It does not depend on their order.
func (v *View) MembershipDigest(self peer.GatewayStatus) uint64 {
	sum := memberHash(self.ID, self.Incarnation)
	region := v.board.Self.Region
	v.board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Region == region && p.HeartbeatSeq > 0 && !p.Leaving {
			sum += memberHash(p.ID, p.Incarnation)
		}
		return true
	})
	return sum
}

func memberHash(id, incarnation string) uint64 { return xxhash.Sum64String(id + "/" + incarnation) }

func (v *View) suspects() []peer.Suspicion {
	var out []peer.Suspicion
	region := v.board.Self.Region
	v.board.Peers.Range(func(id string, p blackboard.PeerState) bool {
		if p.Region == region && p.Suspected && !p.Leaving {
			out = append(out, NewSuspicion(p))
		}
		return len(out) < peer.MaxSuspicions
	})
	return out
}

// NewSuspicion is the row that tells peers of a suspicion.
func NewSuspicion(p blackboard.PeerState) peer.Suspicion {
	return peer.Suspicion{ID: p.ID, IncarnationHash: peer.IncarnationHash(p.Incarnation), Epoch: p.Epoch}
}

// loads returns the load reports that this gateway had from the endpoints
// themselves, then the freshest of those that peers told.
func (v *View) loads(now time.Time) peer.LoadReports {
	reportAt := func(e blackboard.EndpointState) time.Time { return e.Report.TakenAt }
	direct := newFreshest(peer.MaxLoadReports, reportAt)
	told := newFreshest(peer.MaxLoadReports, reportAt)
	v.board.Endpoints.Range(func(_ string, e blackboard.EndpointState) bool {
		switch {
		case !e.HasReport:
		case e.ReportIsDirect:
			direct.offer(e)
		default:
			told.offer(e)
		}
		return true
	})
	rows := append(direct.items, told.items...)
	var out peer.LoadReports
	for _, e := range rows[:min(len(rows), peer.MaxLoadReports)] {
		addLoad(&out, e, now)
	}
	return out
}

func addLoad(out *peer.LoadReports, e blackboard.EndpointState, now time.Time) {
	r := e.Report
	out.EndpointIDs = append(out.EndpointIDs, e.ID)
	out.IncarnationHashes = append(out.IncarnationHashes, peer.IncarnationHash(e.Incarnation))
	out.AgesMillis = append(out.AgesMillis, now.Sub(r.TakenAt).Milliseconds())
	out.Running = append(out.Running, r.Running)
	out.Waiting = append(out.Waiting, r.Waiting)
	out.QueuedPrefill = append(out.QueuedPrefill, r.QueuedPrefillTokens)
	out.PrefillRate = append(out.PrefillRate, int(r.PrefillRate))
	out.DecodeRate = append(out.DecodeRate, int(r.DecodeRate))
	out.MaxBatch = append(out.MaxBatch, r.MaxBatch)
	out.KVPercent = append(out.KVPercent, int(r.KVUsed*percent))
}

const percent = 100

func (v *View) retired(now time.Time) []peer.RetiredIncarnation {
	rows := newFreshest(peer.MaxRetired, func(r blackboard.RetiredIncarnation) time.Time { return r.RetiredAt })
	v.board.Retired.Range(func(_ string, r blackboard.RetiredIncarnation) bool {
		rows.offer(r)
		return true
	})
	out := make([]peer.RetiredIncarnation, 0, len(rows.items))
	for _, r := range rows.items {
		out = append(out, peer.RetiredIncarnation{
			ID:          r.ID,
			Incarnation: r.Incarnation,
			AgeMillis:   now.Sub(r.RetiredAt).Milliseconds(),
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
			s.AgeMillis = now.Sub(s.AsOf).Milliseconds()
			out = append(out, s)
		}
	}
	return out
}

// GatewayStatuses returns the full rows of the region's gateways that have been heard.
func (v *View) GatewayStatuses(now time.Time) []peer.GatewayStatus {
	var out []peer.GatewayStatus
	region := v.board.Self.Region
	v.board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Region == region && p.HeartbeatSeq > 0 && !p.Leaving {
			out = append(out, toMember(p, now))
		}
		return len(out) < peer.MaxGateways
	})
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
