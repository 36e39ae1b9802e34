package membership

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
)

// maxSummaryGateways limits the peers listed in a region summary.
const maxSummaryGateways = 8

// LocalRegionSummary returns the summary of this region that is sent to other
// regions. seq must grow with each call.
func (v *View) LocalRegionSummary(seq uint64, now time.Time) blackboard.RegionSummary {
	self := v.board.Self
	s := blackboard.RegionSummary{
		Region:             self.Region,
		From:               self.ID + "/" + self.Incarnation,
		Seq:                seq,
		AsOf:               now,
		Groups:             v.groupSummaries(),
		Revision:           v.board.Intent.Get().Revision,
		GatewaysByRevision: map[uint64]int{},
	}
	s.GatewaysByRevision[s.Revision]++
	if v.board.Lifecycle.Get() == blackboard.Serving {
		s.Gateways = append(s.Gateways, blackboard.GatewayAddress{
			ID:     self.ID,
			Peer:   self.PeerAddress,
			Caller: self.CallerAddress,
		})
	}
	for _, p := range v.LivePeers(self.Region, now) {
		s.GatewaysByRevision[p.Revision]++
		if p.Ready && len(s.Gateways) < maxSummaryGateways {
			s.Gateways = append(s.Gateways, blackboard.GatewayAddress{
				ID:     p.ID,
				Peer:   p.Address,
				Caller: p.CallerAddress,
			})
		}
	}
	return s
}

func (v *View) groupSummaries() map[string]blackboard.GroupSummary {
	groups := make(map[string]blackboard.GroupSummary)
	v.board.Endpoints.Range(func(_ string, e blackboard.EndpointState) bool {
		if e.Leaving {
			return true
		}
		g := groups[e.Group]
		g.Endpoints++
		g.Running += e.Report.Running
		g.Waiting += e.Report.Waiting
		g.QueuedPrefillTokens += e.Report.QueuedPrefillTokens
		g.PrefillRate += e.Report.PrefillRate
		if free := e.Report.MaxBatch - e.Report.Running - e.Report.Waiting; free > 0 {
			g.FreeSlots += free
		}
		groups[e.Group] = g
		return true
	})
	return groups
}
