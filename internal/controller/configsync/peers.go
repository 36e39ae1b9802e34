package configsync

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// peerClaim is a peer's unverified statement that it has a revision. remote is set
// if the peer is in another region.
type peerClaim struct {
	address  string
	revision uint64
	remote   bool
}

// peerLoop fetches newer revisions from peers.
func (c *Controller) peerLoop(ctx context.Context) {
	avoid := map[string]time.Time{}
	var claimedSince time.Time
	for sleep(ctx, c.Timing.PeerCheckInterval) {
		if c.currentRevision() == 0 {
			c.adoptFirst()
		}
		dropExpired(avoid)
		claims := c.peerClaims(c.highestRevision())
		if len(claims) == 0 {
			claimedSince = time.Time{}
			continue
		}
		if claimedSince.IsZero() {
			claimedSince = time.Now()
		}
		c.fetchOrAvoid(ctx, c.chooseClaim(claims, avoid, time.Since(claimedSince)), avoid)
	}
}

// dropExpired removes the peers whose time to be avoided has passed.
func dropExpired(avoid map[string]time.Time) {
	now := time.Now()
	maps.DeleteFunc(avoid, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// highestRevision returns the highest revision that is in force or pending.
func (c *Controller) highestRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		return c.pending.state.Revision
	}
	return c.currentRevision()
}

// peerClaims returns the claims of live peers to have a revision above known.
func (c *Controller) peerClaims(known uint64) []peerClaim {
	var out []peerClaim
	now := time.Now()
	c.Board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Revision > known && now.Sub(p.LastSeen) <= c.Timing.LivenessTimeout {
			out = append(out, peerClaim{p.Address, p.Revision, p.Region != c.Board.Self.Region})
		}
		return true
	})
	c.Board.Regions.Range(func(_ string, r blackboard.RegionSummary) bool {
		if r.Region == c.Board.Self.Region || r.Revision <= known || now.Sub(r.AsOf) > c.Timing.LivenessTimeout {
			return true
		}
		for _, g := range r.Gateways {
			out = append(out, peerClaim{g.Peer, r.Revision, true})
		}
		return true
	})
	return out
}

// highestClaimedRevision returns the highest revision that a peer claims to have, 0
// if none is above the one in force.
func (c *Controller) highestClaimedRevision() uint64 {
	var highest uint64
	for _, claim := range c.peerClaims(c.currentRevision()) {
		highest = max(highest, claim.revision)
	}
	return highest
}

// chooseClaim selects the peer to fetch from: a local peer before a remote one, then
// the highest revision, at random among equals. Watch holders may fetch from remote
// peers at once and other gateways only after RemoteFetchDelay, to save bandwidth on
// the link between regions. The result is nil if there is no peer to fetch from now.
func (c *Controller) chooseClaim(claims []peerClaim, avoid map[string]time.Time, waited time.Duration) *peerClaim {
	remoteAllowed := waited >= c.Timing.RemoteFetchDelay || c.holdsWatch()
	var best []peerClaim
	for _, claim := range claims {
		if _, avoided := avoid[claim.address]; avoided || (claim.remote && !remoteAllowed) {
			continue
		}
		switch {
		case len(best) == 0 || claim.isBetterThan(best[0]):
			best = []peerClaim{claim}
		case !best[0].isBetterThan(claim):
			best = append(best, claim)
		}
	}
	if len(best) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &best[c.rand.IntN(len(best))]
}

func (p peerClaim) isBetterThan(other peerClaim) bool {
	if p.remote != other.remote {
		return !p.remote
	}
	return p.revision > other.revision
}

// fetchOrAvoid fetches and offers a peer's snapshot. If that fails, the peer is
// avoided for SnapshotTimeout.
func (c *Controller) fetchOrAvoid(ctx context.Context, claim *peerClaim, avoid map[string]time.Time) {
	if claim == nil {
		return
	}
	if err := c.fetch(ctx, *claim); err != nil && ctx.Err() == nil {
		peerFailures.Inc()
		avoid[claim.address] = time.Now().Add(c.Timing.SnapshotTimeout)
	}
}

func (c *Controller) fetch(ctx context.Context, claim peerClaim) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timing.SnapshotTimeout)
	defer cancel()
	v, err := c.fetchVerified(ctx, claim)
	if err != nil {
		return err
	}
	if v.Head.Revision < claim.revision {
		return &StaleSnapshotError{Address: claim.address, Claimed: claim.revision, Got: v.Head.Revision}
	}
	err = c.offer(v, sourcePeer)
	var contentErr *ContentError
	if errors.As(err, &contentErr) {
		c.reject(contentErr)
	}
	return err
}

// fetchVerified fetches a peer's revision, as a delta if c.Peers supports it, and
// verifies it.
func (c *Controller) fetchVerified(ctx context.Context, claim peerClaim) (*revision.Verified, error) {
	delta, ok := c.Peers.(DeltaFetcher)
	if !ok {
		raw, err := c.Peers.FetchSnapshot(ctx, claim.address, claim.revision)
		if err != nil {
			return nil, err
		}
		return revision.ParseSnapshot(raw)
	}
	known := c.knownBlobs()
	raw, err := delta.FetchDelta(ctx, claim.address, claim.revision, slices.Sorted(maps.Keys(known)))
	if err != nil {
		return nil, err
	}
	return revision.ParseDelta(raw, known)
}

// knownBlobs returns a copy of the contents that this gateway has, by digest.
func (c *Controller) knownBlobs() map[string][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.blobs)
}

// StaleSnapshotError reports that a peer sent a lower revision than it claimed to
// have.
type StaleSnapshotError struct {
	Address string
	Claimed uint64
	Got     uint64
}

// Error implements error.
func (e *StaleSnapshotError) Error() string {
	return fmt.Sprintf("peer %s sent revision %d but claimed %d", e.Address, e.Got, e.Claimed)
}
