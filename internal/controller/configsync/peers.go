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

// peerClaim says that the gateway at an address holds a revision.
type peerClaim struct {
	address  string
	revision uint64
	remote   bool
}

// peerLoop fetches revisions that peers hold and this gateway does not.
func (c *Controller) peerLoop(ctx context.Context) {
	avoid := map[string]time.Time{}
	var since time.Time
	for sleep(ctx, c.Timing.PeerCheckInterval) {
		if c.currentRevision() == 0 {
			c.adoptFirst()
		}
		dropExpired(avoid)
		claims := c.peerClaims(c.highestRevision())
		if len(claims) == 0 {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		c.fetchOrAvoid(ctx, c.chooseClaim(claims, avoid, time.Since(since)), avoid)
	}
}

// dropExpired drops the entries that are over.
func dropExpired(avoid map[string]time.Time) {
	now := time.Now()
	maps.DeleteFunc(avoid, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// highestRevision is the highest revision that is in force or pending.
func (c *Controller) highestRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		return c.pending.state.Revision
	}
	return c.currentRevision()
}

// peerClaims returns who says to hold a revision above known.
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

// highestClaimedRevision is the highest revision that another gateway says to hold.
func (c *Controller) highestClaimedRevision() uint64 {
	var highest uint64
	for _, k := range c.peerClaims(c.currentRevision()) {
		highest = max(highest, k.revision)
	}
	return highest
}

// chooseClaim picks whom to ask: the highest revision, in this region before another
// one, at random. Another region is asked by the holders at once and by the
// others after a wait, to spare the link. The result is nil when nobody is to
// be asked now.
func (c *Controller) chooseClaim(claims []peerClaim, avoid map[string]time.Time, waited time.Duration) *peerClaim {
	remoteAllowed := waited >= c.Timing.RemoteFetchDelay || c.holdsWatch()
	var best []peerClaim
	for _, k := range claims {
		if _, avoided := avoid[k.address]; avoided || (k.remote && !remoteAllowed) {
			continue
		}
		switch {
		case len(best) == 0 || k.isBetterThan(best[0]):
			best = []peerClaim{k}
		case !best[0].isBetterThan(k):
			best = append(best, k)
		}
	}
	if len(best) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &best[c.rand.IntN(len(best))]
}

func (k peerClaim) isBetterThan(other peerClaim) bool {
	if k.remote != other.remote {
		return !k.remote
	}
	return k.revision > other.revision
}

// fetchOrAvoid fetches and offers a peer's snapshot. A peer that fails is avoided
// for a while.
func (c *Controller) fetchOrAvoid(ctx context.Context, k *peerClaim, avoid map[string]time.Time) {
	if k == nil {
		return
	}
	if err := c.fetch(ctx, *k); err != nil && ctx.Err() == nil {
		peerFailures.Inc()
		avoid[k.address] = time.Now().Add(c.Timing.SnapshotTimeout)
	}
}

func (c *Controller) fetch(ctx context.Context, k peerClaim) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timing.SnapshotTimeout)
	defer cancel()
	v, err := c.fetchVerified(ctx, k)
	if err != nil {
		return err
	}
	if v.Head.Revision < k.revision {
		return &StaleSnapshotError{Address: k.address, Claimed: k.revision, Got: v.Head.Revision}
	}
	err = c.offer(v, sourcePeer)
	var bad *ContentError
	if errors.As(err, &bad) {
		c.reject(bad)
	}
	return err
}

// fetchVerified fetches what this gateway lacks of a peer's revision.
func (c *Controller) fetchVerified(ctx context.Context, k peerClaim) (*revision.Verified, error) {
	delta, ok := c.Peers.(DeltaFetcher)
	if !ok {
		raw, err := c.Peers.FetchSnapshot(ctx, k.address, k.revision)
		if err != nil {
			return nil, err
		}
		return revision.ParseSnapshot(raw)
	}
	known := c.knownBlobs()
	raw, err := delta.FetchDelta(ctx, k.address, k.revision, slices.Sorted(maps.Keys(known)))
	if err != nil {
		return nil, err
	}
	return revision.ParseDelta(raw, known)
}

// knownBlobs returns the contents that this gateway has, by their digest.
func (c *Controller) knownBlobs() map[string][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.blobs)
}

// StaleSnapshotError says that a peer sent a lower revision than it claimed.
type StaleSnapshotError struct {
	Address string
	Claimed uint64
	Got     uint64
}

// Error implements error.
func (e *StaleSnapshotError) Error() string {
	return fmt.Sprintf("peer %s sent revision %d and claimed %d", e.Address, e.Got, e.Claimed)
}
