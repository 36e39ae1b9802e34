// Package configsync keeps the gateway on the newest configuration. It reads
// the head from the store by a watch that few gateways of a region hold, learns
// of newer revisions from peers, and polls the store slowly as a net. It adopts
// a revision only if it is higher than the one in force, whole and valid.
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

// SnapshotFetcher fetches snapshots from other gateways. The answer is untrusted.
type SnapshotFetcher interface {
	// FetchSnapshot returns the peer's snapshot if its revision is at least
	// minRevision.
	FetchSnapshot(ctx context.Context, peerAddress string, minRevision uint64) ([]byte, error)
}

// DeltaFetcher is a PeerSource that can leave out contents which this gateway
// has, so that a small change costs few bytes however large the configuration.
type DeltaFetcher interface {
	SnapshotFetcher
	// FetchDelta is FetchSnapshot, but the answer may leave out the contents
	// whose digests are in have (see revision.Reduce).
	FetchDelta(ctx context.Context, peerAddress string, minRevision uint64, have []string) ([]byte, error)
}

// Parser makes an intent of a revision's files.
type Parser func(files []revision.File) (*intent.Intent, error)

// Config is what the controller needs.
type Config struct {
	Board *blackboard.Board
	Store platform.Store
	Peers SnapshotFetcher
	Parse Parser
	Log   *log.Logger
	// Timing is DefaultTiming if zero.
	Timing Timing
}

// Timing holds the controller's waits.
type Timing struct {
	// WatchTimeout is how long one watch call waits for a change.
	WatchTimeout time.Duration
	// MinRetryDelay and RetryMax bound the pause after a failed call on the store.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	// PollInterval is the mean time between two polls by any of a region's
	// gateways; each polls once in PollEvery times their number.
	PollInterval time.Duration
	// StartPollInterval is the mean time between two polls of a gateway that
	// holds no revision yet.
	StartPollInterval time.Duration
	// PeerCheckInterval is the time between two looks at what peers hold.
	PeerCheckInterval time.Duration
	// SnapshotTimeout bounds the fetch of a snapshot from a peer.
	SnapshotTimeout time.Duration
	// RemoteFetchDelay is how long a gateway that holds no watch waits for its own
	// region before it fetches a revision from another one.
	RemoteFetchDelay time.Duration
	// LivenessTimeout is how long a peer counts as live after it was heard.
	LivenessTimeout time.Duration
	// StartGrace is how long a starting gateway listens to its peers before
	// it adopts a first revision.
	StartGrace time.Duration
	// MaxStartDelay is how long a starting gateway holds back a revision while
	// a peer says that it holds a higher one.
	MaxStartDelay time.Duration
	// BadContentRetryDelay is the time after which a head with bad content is read again.
	BadContentRetryDelay time.Duration
}

// DefaultTiming returns the waits that keep a change under 9 s everywhere.
func DefaultTiming() Timing {
	return Timing{
		WatchTimeout:      3 * time.Second,
		MinRetryDelay:       200 * time.Millisecond,
		MaxRetryDelay:       2 * time.Second,
		PollInterval:      1500 * time.Millisecond,
		StartPollInterval: 3 * time.Second,
		PeerCheckInterval:       250 * time.Millisecond,
		SnapshotTimeout:    2 * time.Second,
		RemoteFetchDelay:     time.Second,
		LivenessTimeout:     5 * time.Second,
		StartGrace:     time.Second,
		MaxStartDelay:     6 * time.Second,
		BadContentRetryDelay:       10 * time.Second,
	}
}

// Controller keeps the blackboard's intent on the newest revision.
type Controller struct {
	Config
	startedAt time.Time
	// offerMu is held while a revision is parsed and adopted.
	offerMu sync.Mutex

	mu sync.Mutex
	// pending is the highest revision found by a starting gateway.
	pending *candidate
	// blobs holds the contents of the current head's files by digest.
	blobs map[string][]byte
	// rejectedDigest is the digest of a head with bad content; it is read again
	// after retryAt.
	rejectedDigest string
	rejectedRetryAt  time.Time
	// ancestorDigests holds the digests of the heads that were in force and of
	// their parents, the newest last.
	ancestorDigests []string
	rand      *rand.Rand
}

// New returns a controller.
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

// jitter returns a random duration between half of d and one and a half of it.
func (c *Controller) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.rand.Int64N(int64(d)))
}

// sleep waits for d and returns false when ctx ends first.
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

// backoff grows the pauses after failures.
type backoff struct {
	min, max time.Duration
	delay     time.Duration
}

func (b *backoff) reset() { b.delay = 0 }

func (b *backoff) nextDelay() time.Duration {
	b.delay = min(max(b.min, 2*b.delay), b.max)
	return b.delay
}
