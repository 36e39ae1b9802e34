package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// BuildExchange builds an exchange message. rotation selects the region
// summaries to include, as only peer.MaxRegions of them fit; callers increment
// it for each message.
func (v *View) BuildExchange(self peer.GatewayStatus, rotation uint64, now time.Time) peer.Exchange {
	return peer.Exchange{
		From:             self,
		MembershipDigest: v.MembershipDigest(self),
		Suspicions:       v.suspicions(),
		LoadReports:      v.loadReports(now),
		Retired:          v.retiredIncarnations(now),
		Regions:          v.regionSummaries(rotation, now),
	}
}

// MembershipDigest returns a hash of the region's gateways, self included, that
// does not depend on their order. Peers that are leaving or have never sent a
// message are left out.
func (v *View) MembershipDigest(self peer.GatewayStatus) uint64 {
	sum := gatewayHash(self.ID, self.Incarnation)
	region := v.board.Self.Region
	v.board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Region == region && p.HeartbeatSeq > 0 && !p.Leaving {
			sum += gatewayHash(p.ID, p.Incarnation)
		}
		return true
	})
	return sum
}

func gatewayHash(id, incarnation string) uint64 { return xxhash.Sum64String(id + "/" + incarnation) }

func (v *View) suspicions() []peer.Suspicion {
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

// NewSuspicion returns the message row that reports p as suspected.
func NewSuspicion(p blackboard.PeerState) peer.Suspicion {
	return peer.Suspicion{ID: p.ID, IncarnationHash: peer.IncarnationHash(p.Incarnation), Epoch: p.Epoch}
}

// loadReports returns the newest load reports that this gateway polled itself,
// then, as far as there is room, the newest of those relayed by peers.
func (v *View) loadReports(now time.Time) peer.LoadReports {
	reportAt := func(e blackboard.EndpointState) time.Time { return e.Report.TakenAt }
	direct := newNewestRows(peer.MaxLoadReports, reportAt)
	relayed := newNewestRows(peer.MaxLoadReports, reportAt)
	v.board.Endpoints.Range(func(_ string, e blackboard.EndpointState) bool {
		switch {
		case !e.HasReport:
		case e.ReportIsDirect:
			direct.add(e)
		default:
			relayed.add(e)
		}
		return true
	})
	rows := append(direct.rows, relayed.rows...)
	var out peer.LoadReports
	for _, e := range rows[:min(len(rows), peer.MaxLoadReports)] {
		appendLoadReport(&out, e, now)
	}
	return out
}

func appendLoadReport(out *peer.LoadReports, e blackboard.EndpointState, now time.Time) {
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

func (v *View) retiredIncarnations(now time.Time) []peer.RetiredIncarnation {
	newest := newNewestRows(peer.MaxRetired, func(r blackboard.RetiredIncarnation) time.Time { return r.RetiredAt })
	v.board.Retired.Range(func(_ string, r blackboard.RetiredIncarnation) bool {
		newest.add(r)
		return true
	})
	out := make([]peer.RetiredIncarnation, 0, len(newest.rows))
	for _, r := range newest.rows {
		out = append(out, peer.RetiredIncarnation{
			ID:          r.ID,
			Incarnation: r.Incarnation,
			AgeMillis:   now.Sub(r.RetiredAt).Milliseconds(),
		})
	}
	return out
}

// regionSummaries returns up to peer.MaxRegions summaries, starting at a
// different region for each rotation.
func (v *View) regionSummaries(rotation uint64, now time.Time) []blackboard.RegionSummary {
	var names []string
	v.board.Regions.Range(func(name string, _ blackboard.RegionSummary) bool {
		names = append(names, name)
		return true
	})
	slices.Sort(names)
	var out []blackboard.RegionSummary
	for i := range min(peer.MaxRegions, len(names)) {
		name := names[(rotation+uint64(i))%uint64(len(names))]
		if s, ok := v.board.Regions.Get(name); ok {
			s.AgeMillis = now.Sub(s.AsOf).Milliseconds()
			out = append(out, s)
		}
	}
	return out
}

// GatewayStatuses returns the status of the region's peers that have sent a
// message and are not leaving, at most peer.MaxGateways of them.
func (v *View) GatewayStatuses(now time.Time) []peer.GatewayStatus {
	var out []peer.GatewayStatus
	region := v.board.Self.Region
	v.board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Region == region && p.HeartbeatSeq > 0 && !p.Leaving {
			out = append(out, statusFromPeer(p, now))
		}
		return len(out) < peer.MaxGateways
	})
	return out
}

// newestRows keeps the newest limit rows of those added, newest first.
type newestRows[T any] struct {
	limit  int
	timeOf func(T) time.Time
	rows   []T
}

func newNewestRows[T any](limit int, timeOf func(T) time.Time) *newestRows[T] {
	return &newestRows[T]{limit: limit, timeOf: timeOf, rows: make([]T, 0, limit)}
}

func (n *newestRows[T]) add(row T) {
	at := n.timeOf(row)
	if len(n.rows) == n.limit && !at.After(n.timeOf(n.rows[n.limit-1])) {
		return
	}
	i := len(n.rows)
	for i > 0 && at.After(n.timeOf(n.rows[i-1])) {
		i--
	}
	if len(n.rows) == n.limit {
		n.rows = n.rows[:n.limit-1]
	}
	n.rows = slices.Insert(n.rows, i, row)
}
