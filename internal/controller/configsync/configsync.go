// Package configsync keeps the gateway on the newest configuration. A few gateways
// of each region watch the head in the store; the others learn of newer revisions
// from peers and poll the store at a low rate as a fallback. A revision is adopted
// only if it is higher than the one in force, complete and valid.
package configsync

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// SnapshotFetcher fetches snapshots from other gateways. The response is untrusted.
type SnapshotFetcher interface {
	// FetchSnapshot returns the peer's snapshot if its revision is at least
	// minRevision.
	FetchSnapshot(ctx context.Context, peerAddress string, minRevision uint64) ([]byte, error)
}

// DeltaFetcher is a SnapshotFetcher that can omit contents that this gateway
// already has, so that a small change to a large configuration takes few bytes.
type DeltaFetcher interface {
	SnapshotFetcher
	// FetchDelta is like FetchSnapshot, but the response may omit the contents
	// whose digests are in have (see revision.MakeDelta).
	FetchDelta(ctx context.Context, peerAddress string, minRevision uint64, have []string) ([]byte, error)
}

// Parser parses and validates a revision's files.
type Parser func(files []revision.File) (*intent.Intent, error)

// Config holds the controller's dependencies.
type Config struct {
	Board *blackboard.Board
	Store platform.Store
	Peers SnapshotFetcher
	Parse Parser
	Log   *log.Logger
	// Timing is DefaultTiming if zero.
	Timing Timing
}

// Timing holds the controller's intervals and timeouts.
type Timing struct {
	// WatchTimeout is the time that one watch call waits for a change.
	WatchTimeout time.Duration
	// MinRetryDelay and MaxRetryDelay bound the delay before a failed watch call
	// is retried. MinRetryDelay also separates watch calls that return at once,
	// and MaxRetryDelay is the mean delay before a repair of the store.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	// PollInterval is the mean time between two polls by any gateway of a region;
	// each gateway polls every PollInterval times the number of gateways.
	PollInterval time.Duration
	// StartPollInterval is the mean time between two polls of a gateway without
	// a revision in force.
	StartPollInterval time.Duration
	// PeerCheckInterval is the time between two checks of the revisions that
	// peers report.
	PeerCheckInterval time.Duration
	// SnapshotTimeout bounds the fetch of a snapshot from a peer.
	SnapshotTimeout time.Duration
	// RemoteFetchDelay is the time that a gateway without a watch waits for a
	// revision to reach its own region before fetching it from a remote peer.
	RemoteFetchDelay time.Duration
	// LivenessTimeout is the time after the last sign of life at which a peer is
	// no longer considered live.
	LivenessTimeout time.Duration
	// StartGrace is the time for which a starting gateway collects the revisions
	// of its peers before it adopts its first one.
	StartGrace time.Duration
	// MaxStartDelay is the time after the start for which a gateway postpones the
	// adoption of its first revision while a peer reports a higher one.
	MaxStartDelay time.Duration
	// BadContentRetryDelay is the time after which a head with invalid content is
	// read again.
	BadContentRetryDelay time.Duration
}

// DefaultTiming returns the default timing, with which a change is in force at all
// gateways within 9 s.
func DefaultTiming() Timing {
	return Timing{
		WatchTimeout:         3 * time.Second,
		MinRetryDelay:        200 * time.Millisecond,
		MaxRetryDelay:        2 * time.Second,
		PollInterval:         1500 * time.Millisecond,
		StartPollInterval:    3 * time.Second,
		PeerCheckInterval:    250 * time.Millisecond,
		SnapshotTimeout:      2 * time.Second,
		RemoteFetchDelay:     time.Second,
		LivenessTimeout:      5 * time.Second,
		StartGrace:           time.Second,
		MaxStartDelay:        6 * time.Second,
		BadContentRetryDelay: 10 * time.Second,
	}
}

// Controller keeps the intent on the blackboard at the newest revision.
type Controller struct {
	Config
	startedAt time.Time
	// offerMu is held while a revision is parsed and adopted.
	offerMu sync.Mutex

	mu sync.Mutex
	// pending is the highest revision that a starting gateway has found, nil once
	// a revision is in force.
	pending *candidate
	// blobs maps digests to the contents of the files in force and of those read
	// since.
	blobs map[string][]byte
	// rejectedDigest is the digest of the last head with invalid content. The head
	// is read again after rejectedRetryAt.
	rejectedDigest  string
	rejectedRetryAt time.Time
	// ancestorDigests lists the digests of the heads that were in force and of
	// their parents, newest last.
	ancestorDigests []string
	rand            *rand.Rand
}

// New returns a controller. It does nothing until Run is called.
func New(c Config) *Controller {
	if c.Timing == (Timing{}) {
		c.Timing = DefaultTiming()
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(c.Board.Self.ID + "/" + c.Board.Self.Incarnation))
	return &Controller{
		Config: c,
		blobs:  map[string][]byte{},
		rand:   rand.New(rand.NewPCG(seed.Sum64(), 0)),
	}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "configsync" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	c.startedAt = time.Now()
	for _, loop := range []func(context.Context){c.watchLoop, c.pollLoop, c.peerLoop} {
		t.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	<-t.Dying()
	return nil
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.rand.Int64N(int64(d)))
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// backoff computes exponentially growing delays after consecutive failures.
type backoff struct {
	min, max time.Duration
	delay    time.Duration
}

func (b *backoff) reset() { b.delay = 0 }

func (b *backoff) nextDelay() time.Duration {
	b.delay = min(max(b.min, 2*b.delay), b.max)
	return b.delay
}
