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

// readList tells the gateway of the listed ones every few seconds, as the
// controller of the instance list does, unless its region is cut off.
func (g *gateway) readList(board *blackboard.Board, life *tomb.Tomb) error {
	view := membership.New(board)
	for {
		for _, other := range g.fleet.listed(g) {
			if _, known := board.Peers.Get(other.ID); !known && other.ID != g.id {
				view.ApplyPeer(other, false)
			}
		}
		select {
		case <-time.After(listTick):
		case <-life.Dying():
			return nil
		}
	}
}

// listed returns the gateways of the region and one of each other region.
func (f *fleet) listed(g *gateway) []blackboard.PeerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []blackboard.PeerState
	if g.region.cutOff {
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

// errNoAnswer is what a peer's failure looks like.
var errNoAnswer = errors.New("no answer")

// FetchSnapshot implements configsync.PeerSource.
func (g *gateway) FetchSnapshot(ctx context.Context, address string, minRevision uint64) ([]byte, error) {
	return g.FetchDelta(ctx, address, minRevision, nil)
}

// FetchDelta implements configsync.DeltaSource.
func (g *gateway) FetchDelta(ctx context.Context, address string, minRevision uint64, have []string) ([]byte, error) {
	from, reachable := g.fleet.find(g, address)
	if !reachable {
		return nil, silence(ctx)
	}
	g.travel(from)
	state := from.board.Intent.Get()
	if state.Revision < minRevision && !from.spoil {
		return nil, errNoAnswer
	}
	raw, err := revision.MakeDelta(state.Snapshot, have)
	g.fleet.set(func() { g.fleet.peerBytes += len(raw) })
	if from.spoil {
		raw = bytes.ReplaceAll(raw, []byte(`"head"`), []byte(`"Head "`))
	}
	g.travel(from)
	return raw, err
}

func (f *fleet) find(from *gateway, address string) (*gateway, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.all() {
		if g.id == address {
			far := g.region != from.region && (g.region.cutOff || from.region.cutOff)
			return g, g.life.Alive() && !g.silentPeer && !from.silentPeer && !far
		}
	}
	return nil, false
}

// Exchange implements members.Exchanger.
func (g *gateway) Exchange(ctx context.Context, address string, msg peer.Exchange) (peer.Exchange, error) {
	to, reachable := g.fleet.find(g, address)
	if !reachable {
		return peer.Exchange{}, silence(ctx)
	}
	g.travel(to)
	if g.spoil {
		msg.From.Revision += 1000
	}
	var handler *gossip.Controller
	g.fleet.set(func() { g.fleet.exchanges++; handler = to.peers })
	reply := handler.HandleExchange(msg)
	g.travel(to)
	return reply, nil
}

// silence is a call on a peer that doesn't answer.
func silence(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(peerTimeout):
		return errNoAnswer
	}
}

// travel waits for the network's delay one way.
func (g *gateway) travel(to *gateway) {
	if to.region == g.region {
		time.Sleep(time.Millisecond)
		return
	}
	time.Sleep(oneWay)
}
