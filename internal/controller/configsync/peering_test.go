package configsync_test

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/controller/gossip"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// applyInstanceList adds the listed gateways to the gateway's peers at every
// listInterval, as the instance list's controller does.
func (g *gateway) applyInstanceList(board *blackboard.Board, gatewayTomb *tomb.Tomb) error {
	view := membership.New(board)
	for {
		for _, other := range g.fleet.listedGateways(g) {
			if _, known := board.Peers.Get(other.ID); !known && other.ID != g.id {
				view.ApplyPeer(other, false)
			}
		}
		select {
		case <-time.After(listInterval):
		case <-gatewayTomb.Dying():
			return nil
		}
	}
}

// listedGateways returns the gateways of g's region and one of each other region, or
// nil if the region is isolated.
func (f *fleet) listedGateways(g *gateway) []blackboard.PeerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []blackboard.PeerState
	if g.region.isolated {
		return nil
	}
	for _, r := range f.regions {
		for i, other := range r.gateways {
			if r == g.region || i == 0 {
				self := other.board.Self
				lastSeen := time.Now().Add(-membership.LivenessTimeout)
				out = append(out, blackboard.PeerState{
					ID: self.ID, Incarnation: self.Incarnation, Region: self.Region, Address: self.PeerAddress, LastSeen: lastSeen,
				})
			}
		}
	}
	return out
}

// errNoResponse is the error of a call on a peer that fails.
var errNoResponse = errors.New("no response from peer")

// FetchSnapshot implements configsync.SnapshotFetcher.
func (g *gateway) FetchSnapshot(ctx context.Context, address string, minRevision uint64) ([]byte, error) {
	return g.FetchDelta(ctx, address, minRevision, nil)
}

// FetchDelta implements configsync.DeltaFetcher.
func (g *gateway) FetchDelta(ctx context.Context, address string, minRevision uint64, have []string) ([]byte, error) {
	from, reachable := g.fleet.findPeer(g, address)
	if !reachable {
		return nil, waitForTimeout(ctx)
	}
	g.waitNetworkDelay(from)
	state := from.board.Intent.Get()
	if state.Revision < minRevision && !from.untruthful {
		return nil, errNoResponse
	}
	raw, err := revision.MakeDelta(state.Snapshot, have)
	g.fleet.withLock(func() { g.fleet.peerBytes += len(raw) })
	if from.untruthful {
		raw = bytes.ReplaceAll(raw, []byte(`"head"`), []byte(`"Head "`))
	}
	g.waitNetworkDelay(from)
	return raw, err
}

func (f *fleet) findPeer(from *gateway, address string) (*gateway, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.allGateways() {
		if g.id == address {
			disconnected := g.region != from.region && (g.region.isolated || from.region.isolated)
			return g, g.tomb.Alive() && !g.silentToPeers && !from.silentToPeers && !disconnected
		}
	}
	return nil, false
}

// Exchange implements members.Exchanger.
func (g *gateway) Exchange(ctx context.Context, address string, msg peer.Exchange) (peer.Exchange, error) {
	to, reachable := g.fleet.findPeer(g, address)
	if !reachable {
		return peer.Exchange{}, waitForTimeout(ctx)
	}
	g.waitNetworkDelay(to)
	if g.untruthful {
		msg.From.Revision += 1000
	}
	var handler *gossip.Controller
	g.fleet.withLock(func() { g.fleet.exchangeCount++; handler = to.peers })
	response := handler.HandleExchange(msg)
	g.waitNetworkDelay(to)
	return response, nil
}

// waitForTimeout simulates a call on a peer that does not respond.
func waitForTimeout(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(peerTimeout):
		return errNoResponse
	}
}

// waitNetworkDelay waits for the one-way delay of the network.
func (g *gateway) waitNetworkDelay(to *gateway) {
	if to.region == g.region {
		time.Sleep(time.Millisecond)
		return
	}
	time.Sleep(oneWayDelay)
}
