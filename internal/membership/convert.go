package membership

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// Endpoints returns the known endpoints of this region in the form that is sent
// to peers.
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

// AddMissingEndpoints adds the endpoints of this region that a peer knows.
// Endpoints already known here are left unchanged.
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

func peerFromStatus(status peer.GatewayStatus, now time.Time) blackboard.PeerState {
	return blackboard.PeerState{
		ID:            status.ID,
		Incarnation:   status.Incarnation,
		Region:        status.Region,
		Address:       status.Address,
		CallerAddress: status.CallerAddress,
		Leaving:       status.Leaving,
		Ready:         status.Ready,
		Revision:      status.Revision,
		HeartbeatSeq:  status.HeartbeatSeq,
		Epoch:         status.Epoch,
		LastSeen:      now.Add(-millis(status.AgeMillis)),
	}
}

func statusFromPeer(p blackboard.PeerState, now time.Time) peer.GatewayStatus {
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
