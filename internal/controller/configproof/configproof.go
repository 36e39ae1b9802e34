// Package configproof is the controller that keeps the proof up to date that the
// configuration in force is current, where the settings ask for strict revocation and the
// configuration has accounts. Otherwise it does nothing and sends nothing.
//
// The store reader of the region has a proof from its own calls. The other gateways ask it
// for the age of that proof, by datagrams, and a second hub if it doesn't answer or has
// only an old one itself. A gateway whose proof grows old all the same asks a hub of another
// region and reads the configuration from the store.
package configproof

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/freshness"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	// askInterval is the time from the start of one round to that of the next. With it, and watches of the store reader
	// of a tenth of the bound of 5 s, a proof is less than 2 s old in calm.
	askInterval = 400 * time.Millisecond
	// askTimeout is how long a round waits for an answer before it goes on. It covers a
	// round trip to another region, or the pauses of two small machines, each of which a
	// processor quota holds for up to 100 ms. An answer that comes later still counts.
	askTimeout = 200 * time.Millisecond
	// askJitter is the share by which rounds are shifted at random, so that the gateways
	// of a region don't ask at the same time.
	askJitter = 0.1
	// firstInterval is the time between two rounds before there is a proof, for at most
	// firstRoundsTime: after the start the hubs become known one by one.
	firstInterval   = 100 * time.Millisecond
	firstRoundsTime = 2 * time.Second
	// startTime is how long the store reader waits after the start for its first proof, from
	// its own calls, before it makes another one.
	startTime = 300 * time.Millisecond
	// minPause is the time between two rounds if the first took long, since nobody
	// answered.
	minPause = 50 * time.Millisecond
	// lapsedReadInterval is the time between two reads of the store by a gateway whose
	// proof has ended: it needs a path to the store, and so do all others then.
	lapsedReadInterval = time.Second
	// maxReads is the number of reads in flight. A read on a dead connection takes about
	// two intervals to fail.
	maxReads = 3
)

// Ages of the proof, as shares of the bound, from which on a gateway reads the store
// itself. The shares rise from the store reader to the second hub and to the others, which
// are spread over the last interval, so that those before can help those after without
// further reads. At the last one, time is left for a few reads.
const (
	readerReadShare = 0.35
	hubReadShare    = 0.45
	firstReadShare  = 0.6
	lastReadShare   = 0.7
)

var (
	reads    = telemetry.NewCounter("proof_reads", "calls", "reads of the configuration from the store because the proof that it is current was old")
	proofAge = telemetry.NewCounter("proof_age", "milliseconds", "age of the proof that the configuration is current; -1 if there is none")
	lapses   = telemetry.NewCounter("proof_lapses", "lapses", "times that the proof that the configuration is current became too old")
)

// Peers asks other gateways for their proofs.
type Peers interface {
	RequestProof(ctx context.Context, gateway, address string) (grants.ProofResponse, error)
}

// Configs brings newer configurations into force.
type Configs interface {
	// ReadConfig reads the configuration from the store, and observes the proof.
	ReadConfig(ctx context.Context) error
	// Fetch fetches the configuration of another gateway that has the given version.
	Fetch(ctx context.Context, gateway string, version uint64) bool
}

// Config holds what the controller uses.
type Config struct {
	Board    *blackboard.Edge
	Gateways *fleet.Gateways
	Tracker  *freshness.Tracker
	Clock    freshness.Clock
	Peers    Peers
	Configs  Configs
	Logger   *log.Logger
}

// Controller keeps the proof of this gateway up to date.
type Controller struct {
	Config
	// beganAt is when proofs were first needed without a break; began is set then.
	began   bool
	beganAt freshness.Instant
	// lastReadAt is when the last read was started; hasRead is set then.
	hasRead    bool
	lastReadAt freshness.Instant
	// asksElsewhere is the number of requests to gateways of other regions.
	asksElsewhere int
	// lapsed is set while the proof is too old.
	lapsed bool

	running sync.WaitGroup
	// readSlots limits the reads in flight.
	readSlots chan struct{}
}

// New returns the controller.
func New(c Config) *Controller {
	return &Controller{Config: c, readSlots: make(chan struct{}, maxReads)}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "configproof" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	defer c.running.Wait()
	for ctx.Err() == nil {
		site, siteChanged := c.Board.Settings.Watch()
		routes, routesChanged := c.Board.Routes.Watch()
		if !site.Limits.RevokeStrict || routes == nil || routes.Accounts == nil {
			c.began, c.lapsed = false, false
			select {
			case <-ctx.Done():
			case <-siteChanged:
			case <-routesChanged:
			}
			continue
		}
		next := time.Now().Add(time.Duration(float64(c.interval()) * (1 - askJitter + 2*askJitter*rand.Float64())))
		c.refresh(ctx, site.Limits.Revocation)
		select {
		case <-ctx.Done():
		case <-time.After(max(time.Until(next), minPause)):
		}
	}
	return nil
}

// interval returns the time from the start of this round to that of the next.
func (c *Controller) interval() time.Duration {
	_, ok := c.Tracker.AsOf()
	if !ok && (!c.began || c.Clock.Now().Sub(c.beganAt) < firstRoundsTime) {
		return firstInterval
	}
	return askInterval
}

// refresh makes one round: it asks other gateways, and reads the store if the proof is old
// all the same.
func (c *Controller) refresh(ctx context.Context, bound time.Duration) {
	now := time.Now()
	hubs := c.Gateways.Hubs(c.Gateways.Self().Region, now)
	rank := slices.Index(hubs, c.Gateways.Self().ID)
	enough, readAfter := shareOf(bound, readerReadShare), shareOf(bound, c.readShare(rank))
	answered := false
	if rank != 0 || c.age() >= enough {
		answered = c.askHubs(ctx, hubs, enough)
	}
	if c.age() >= readAfter && (rank >= 0 || !answered) {
		c.askOtherRegion(ctx)
	}
	if age := c.age(); age >= readAfter && ctx.Err() == nil && c.Tracker.MayProve(c.Clock.Now()) {
		c.startRead(ctx, age, bound)
	}
	c.report(bound)
}

func shareOf(bound time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(bound))
}

// readShare returns the share of the bound at which this gateway reads the store, by its
// position among the hubs of the region, -1 for none.
func (c *Controller) readShare(rank int) float64 {
	switch rank {
	case 0:
		return readerReadShare
	case -1:
		spread := float64(xxhash.Sum64String(c.Gateways.Self().ID)) / math.MaxUint64
		return firstReadShare + spread*(lastReadShare-firstReadShare)
	default:
		return hubReadShare
	}
}

// askHubs asks the hubs one after the other, until the proof is younger than enough. It
// reports whether one of them answered.
func (c *Controller) askHubs(ctx context.Context, hubs []string, enough time.Duration) (answered bool) {
	for _, id := range hubs {
		gw, ok := c.Gateways.Get(id)
		if !ok || gw.GrantAddress == "" {
			continue
		}
		answered = c.ask(ctx, gw) || answered
		if age, ok := c.Tracker.Age(c.Clock.Now()); ok && age < enough {
			break
		}
	}
	return answered
}

// askOtherRegion asks a hub of another region, the regions and their hubs in turn: the
// store may answer there while this region has no path to it.
func (c *Controller) askOtherRegion(ctx context.Context) {
	self := c.Gateways.Self().Region
	regions := slices.DeleteFunc(c.Gateways.Regions(), func(r string) bool { return r == self })
	if len(regions) == 0 {
		return
	}
	n := c.asksElsewhere
	c.asksElsewhere++
	hubs := c.Gateways.Hubs(regions[n%len(regions)], time.Now())
	if len(hubs) == 0 {
		return
	}
	if gw, ok := c.Gateways.Get(hubs[n/len(regions)%len(hubs)]); ok && gw.GrantAddress != "" {
		c.ask(ctx, gw)
	}
}

// ask asks another gateway and reports whether it answered within askTimeout.
func (c *Controller) ask(ctx context.Context, gw fleet.GatewayStatus) (answered bool) {
	done := make(chan bool, 1)
	c.running.Go(func() { done <- c.exchange(ctx, gw) })
	select {
	case answered = <-done:
	case <-time.After(askTimeout):
	}
	return answered
}

// exchange takes over the proof of another gateway, and its configuration if that is newer.
// It reports whether the other gateway answered.
func (c *Controller) exchange(ctx context.Context, gw fleet.GatewayStatus) (answered bool) {
	startedAt := c.Clock.Now()
	response, err := c.Peers.RequestProof(ctx, gw.ID, gw.GrantAddress)
	if err != nil {
		c.Logger.Debug("no proof from gateway", "gateway", gw.ID, "err", err)
		return false
	}
	age, ok := response.Age()
	if !ok {
		return true
	}
	if response.Version > c.inForce() {
		c.Configs.Fetch(ctx, gw.ID, response.Version)
	}
	// The other gateway stated its age after this one had started to ask.
	c.Tracker.Observe(freshness.Observation{AsOf: startedAt.Add(-age), Version: response.Version, Era: response.Era}, c.inForce(), c.Clock.Now())
	return true
}

// Prove implements grants.Prover.
func (c *Controller) Prove() grants.ProofResponse {
	var out grants.ProofResponse
	// The proof is read before the version, which may become newer in between but not
	// older.
	if asOf, ok := c.Tracker.AsOf(); ok {
		out.SetAge(c.Clock.Now().Sub(asOf))
	}
	out.Version, out.Era = c.inForce(), c.Tracker.Era()
	return out
}

// inForce returns the version of the configuration in force, 0 for none.
func (c *Controller) inForce() uint64 {
	if routes := c.Board.Routes.Get(); routes != nil {
		return routes.Version
	}
	return 0
}

// age returns the age of the proof. Without one it is a time that rises from when a proof
// was first needed, so that the store reader makes a call after startTime.
func (c *Controller) age() time.Duration {
	now := c.Clock.Now()
	if !c.began {
		c.began, c.beganAt = true, now
	}
	if age, ok := c.Tracker.Age(now); ok {
		return age
	}
	bound := c.Board.Settings.Get().Limits.Revocation
	return now.Sub(c.beganAt) + shareOf(bound, readerReadShare) - startTime
}

// startRead starts a read of the configuration from the store, unless one was started a
// moment ago.
func (c *Controller) startRead(ctx context.Context, age, bound time.Duration) {
	interval := askInterval / 2
	if age > bound {
		interval = lapsedReadInterval
	}
	now := c.Clock.Now()
	if c.hasRead && now.Sub(c.lastReadAt) < interval {
		return
	}
	select {
	case c.readSlots <- struct{}{}:
	default:
		return
	}
	c.hasRead, c.lastReadAt = true, now
	reads.Inc()
	c.Logger.Info("reading the configuration for a proof", "age_ms", age.Milliseconds())
	c.running.Go(func() {
		defer func() { <-c.readSlots }()
		if err := c.Configs.ReadConfig(ctx); err != nil && ctx.Err() == nil {
			c.Logger.Warn("cannot read the configuration for a proof", "err", err)
		}
	})
}

// report publishes the age of the proof, and logs when it becomes too old or young enough
// again.
func (c *Controller) report(bound time.Duration) {
	age, ok := c.Tracker.Age(c.Clock.Now())
	if !ok {
		age = -time.Millisecond
	}
	proofAge.Set(age.Milliseconds())
	lapsed := !ok || age > bound
	switch {
	case !ok && c.Clock.Now().Sub(c.beganAt) < startTime:
		return
	case lapsed && !c.lapsed:
		lapses.Inc()
		c.Logger.Warn("the configuration isn't proved current; requests with keys are refused", "version", c.inForce(), "age_ms", age.Milliseconds(), "bound_ms", bound.Milliseconds())
	case !lapsed && c.lapsed:
		c.Logger.Info("the configuration is proved current again", "version", c.inForce(), "age_ms", age.Milliseconds())
	}
	c.lapsed = lapsed
}
