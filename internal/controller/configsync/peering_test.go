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

// applyInstanceList tells the gateway of the listed ones every few seconds, as the
// controller of the instance list does, unless its region is cut off.
func (g *gateway) applyInstanceList(board *blackboard.Board, life *tomb.Tomb) error {
	view := membership.New(board)
	for {
		for _, other := range g.fleet.listedGateways(g) {
			if _, known := board.Peers.Get(other.ID); !known && other.ID != g.id {
				view.ApplyPeer(other, false)
			}
		}
		select {
		case <-time.After(listInterval):
		case <-life.Dying():
			return nil
		}
	}
}

// listedGateways returns the gateways of the region and one of each other region.
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
				heard := time.Now().Add(-membership.LivenessTimeout)
				out = append(out, blackboard.PeerState{
					ID: self.ID, Incarnation: self.Incarnation, Region: self.Region, Address: self.PeerAddress, LastSeen: heard,
				})
			}
		}
	}
	return out
}

// errNoResponse is what a peer's failure looks like.
var errNoResponse = errors.New("no answer")

// FetchSnapshot implements configsync.PeerSource.
func (g *gateway) FetchSnapshot(ctx context.Context, address string, minRevision uint64) ([]byte, error) {
	return g.FetchDelta(ctx, address, minRevision, nil)
}

// FetchDelta implements configsync.DeltaSource.
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
			far := g.region != from.region && (g.region.isolated || from.region.isolated)
			return g, g.tomb.Alive() && !g.silentToPeers && !from.silentToPeers && !far
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
	reply := handler.HandleExchange(msg)
	g.waitNetworkDelay(to)
	return reply, nil
}

// waitForTimeout is a call on a peer that doesn't answer.
func waitForTimeout(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(peerTimeout):
		return errNoResponse
	}
}

// waitNetworkDelay waits for the network's delay one way.
func (g *gateway) waitNetworkDelay(to *gateway) {
	if to.region == g.region {
		time.Sleep(time.Millisecond)
		return
	}
	time.Sleep(oneWayDelay)
}
