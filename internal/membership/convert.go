package membership

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// Endpoints returns the endpoints of the region for a peer.
func (v *View) Endpoints(now time.Time) []peer.Endpoint {
	out := []peer.Endpoint{}
	v.board.Endpoints.Range(func(_ string, e blackboard.EndpointState) bool {
		out = append(out, peer.Endpoint{
			ID:              e.ID,
			Incarnation:     e.Incarnation,
			Group:           e.Group,
			Region:          e.Region,
			DataCentre:      e.DataCentre,
			Address:         e.Address,
			Leaving:         e.Leaving,
			ListedAgeMillis: now.Sub(e.LastListed).Milliseconds(),
		})
		return true
	})
	return out
}

// AddMissingEndpoints takes in the endpoints that a peer knows. One that is known
// here already is left as it is.
func (v *View) AddMissingEndpoints(rows []peer.Endpoint, now time.Time) {
	for _, r := range rows {
		if _, known := v.board.Endpoints.Get(r.ID); known || r.Region != v.board.Self.Region {
			continue
		}
		v.ApplyEndpoint(blackboard.EndpointState{
			ID:          r.ID,
			Incarnation: r.Incarnation,
			Group:       r.Group,
			Region:      r.Region,
			DataCentre:  r.DataCentre,
			Address:     r.Address,
			Leaving:     r.Leaving,
			LastListed:  now.Add(-millis(r.ListedAgeMillis)),
		})
	}
}

func fromMember(m peer.GatewayStatus, now time.Time) blackboard.PeerState {
	return blackboard.PeerState{
		ID:            m.ID,
		Incarnation:   m.Incarnation,
		Region:        m.Region,
		Address:       m.Address,
		CallerAddress: m.CallerAddress,
		Leaving:       m.Leaving,
		Ready:         m.Ready,
		Revision:      m.Revision,
		HeartbeatSeq:  m.HeartbeatSeq,
		Epoch:         m.Epoch,
		LastSeen:      now.Add(-millis(m.AgeMillis)),
	}
}

func toMember(p blackboard.PeerState, now time.Time) peer.GatewayStatus {
	return peer.GatewayStatus{
		ID:            p.ID,
		Incarnation:   p.Incarnation,
		Region:        p.Region,
		Address:       p.Address,
		CallerAddress: p.CallerAddress,
		Leaving:       p.Leaving,
		Ready:         p.Ready,
		Revision:      p.Revision,
		HeartbeatSeq:  p.HeartbeatSeq,
		Epoch:         p.Epoch,
		AgeMillis:     now.Sub(p.LastSeen).Milliseconds(),
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
