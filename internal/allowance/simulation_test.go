package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	simulatedGateways = 60
	gatewaysPerRegion = 20
	nearDelay         = time.Millisecond
	farDelay          = 55 * time.Millisecond
	// maxWait is how long a request waits for credit.
	maxWait = 400 * time.Millisecond
)

var (
	testBounds = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 140000}
	large      = Limit{PerSecond: 4.5e6, Burst: 4.5e6}
	small      = Limit{PerSecond: 60000, Burst: 60000}
	epoch      = time.Unix(1000, 0)
)

// simulation runs an account's requests at the wallets of 60 gateways in three regions.
type simulation struct {
	limit    Limit
	random   *rand.Rand
	now      time.Duration
	gateways []*simulatedGateway
	events   map[time.Duration][]func()
	// coordinatorOf returns the gateway that one asks now. startsAt holds when a gateway
	// begins to coordinate. isGone reports whether a gateway is not alive in the view of
	// another. isCut reports whether datagrams are lost.
	coordinatorOf func(from int) int
	startsAt      map[int]time.Duration
	isGone        func(viewer, id int) bool
	isCut         func(from, to int) bool
	// weight is the part of the demand at a gateway.
	weight func(id int) float64

	ran                       []use
	served, refused, messages int
	waited                    int
}

// use is the cost of a request that ran.
type use struct {
	at   time.Duration
	cost float64
}

type simulatedGateway struct {
	wallet   *Wallet
	contacts Contacts
	// bucket is that of a coordinator, own that of a gateway alone.
	bucket, own *Bucket
	waiting     []waitingRequest
	// frozenUntil is the end of a freeze, isStopped is set after the end of the gateway.
	frozenUntil time.Duration
	isStopped   bool
}

type waitingRequest struct {
	*Waiter
	since time.Duration
}

func newSimulation(limit Limit) *simulation {
	s := &simulation{
		limit: limit, random: rand.New(rand.NewPCG(1, 2)), events: make(map[time.Duration][]func()),
		coordinatorOf: func(int) int { return 0 },
		startsAt:      map[int]time.Duration{0: 0},
		isGone:        func(int, int) bool { return false },
		isCut:         func(int, int) bool { return false },
		weight:        func(int) float64 { return 1.0 / simulatedGateways },
	}
	for range simulatedGateways {
		s.gateways = append(s.gateways, &simulatedGateway{wallet: NewWallet()})
	}
	return s
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

// send delivers a datagram, after a freeze of the receiver if there is one.
func (s *simulation) send(from, to int, deliver func()) {
	s.messages++
	delay := nearDelay
	if from/gatewaysPerRegion != to/gatewaysPerRegion {
		delay = farDelay
	}
	if from == to {
		deliver()
		return
	}
	if s.isCut(from, to) {
		return
	}
	at := s.now + delay
	s.events[at] = append(s.events[at], func() { s.deliver(to, deliver) })
}

func (s *simulation) deliver(to int, deliver func()) {
	switch g := s.gateways[to]; {
	case g.isStopped:
	case s.now < g.frozenUntil:
		s.events[g.frozenUntil] = append(s.events[g.frozenUntil], func() { s.deliver(to, deliver) })
	default:
		deliver()
	}
}

// answer lets a gateway answer an ask if it is a coordinator.
func (s *simulation) answer(to, from int, ask Ask, askedAt time.Time) {
	g, asker := s.gateways[to], s.gateways[from]
	startsAt, isCoordinator := s.startsAt[to]
	if !isCoordinator {
		return
	}
	if g.bucket == nil {
		g.bucket = NewBucket(s.time())
		g.bucket.StartAt(epoch.Add(startsAt))
		g.bucket.Configure(s.limit, testBounds)
	}
	grant := Grant{Starting: g.bucket.IsStarting(s.time())}
	if isCounted := g.contacts.Record(string(rune(from)), ask, s.time()); isCounted {
		grant = g.bucket.Grant(ask, s.share(to), s.time())
	}
	s.send(to, from, func() {
		if grant.Starting {
			asker.wallet.Fail(0, s.time())
			return
		}
		asker.wallet.Reached(askedAt, ask.Leave)
		asker.wallet.Add(grant, askedAt, s.time())
	})
}

// share returns the part of the limit that a coordinator hands out.
func (s *simulation) share(coordinator int) float64 {
	counted := 0
	for id := range s.gateways {
		if !s.isGone(coordinator, id) && !s.gateways[coordinator].contacts.IsLost(string(rune(id)), s.time()) {
			counted++
		}
	}
	return float64(counted) / simulatedGateways
}

// ask lets a gateway ask for credit as far as it is time for it.
func (s *simulation) ask(id int) {
	g, now, to := s.gateways[id], s.time(), s.coordinatorOf(id)
	if !g.wallet.Alone(now) {
		g.own = nil
		g.wallet.SetCoordinator(string(rune('a' + to)))
		if ask, ok := g.wallet.Due(now); ok {
			s.send(id, to, func() { s.answer(to, id, ask, now) })
		}
		return
	}
	if g.own == nil {
		g.own = NewBucket(now)
		g.own.Configure(s.limit, testBounds)
	}
	g.wallet.SetCoordinator("")
	if ask, ok := g.wallet.Due(now); ok {
		g.wallet.Add(g.own.Grant(ask, 1.0/simulatedGateways, now), now, now)
	}
	if probe, ok := g.wallet.Probe(now); ok {
		s.send(id, to, func() { s.answer(to, id, probe, now) })
	}
}

// run lets requests arrive that cost demand per second, for the given time.
func (s *simulation) run(d time.Duration, demand float64) {
	const step = time.Millisecond
	for end := s.now + d; s.now < end; s.now += step {
		for _, event := range s.events[s.now] {
			event()
		}
		delete(s.events, s.now)
		for id, g := range s.gateways {
			if g.isStopped || s.now < g.frozenUntil {
				continue
			}
			s.arrive(id, demand*s.weight(id)*step.Seconds())
			s.settleWaiting(g)
			s.ask(id)
		}
	}
}

// arrive lets requests of 2,400 and 12,000 tokens arrive that cost so much on average.
func (s *simulation) arrive(id int, cost float64) {
	const short, long, mean = 2400.0, 12000.0, 0.8*2400 + 0.2*12000
	for n := cost / mean; n > 0 && s.random.Float64() < n; n-- {
		c := short
		if s.random.IntN(5) == 0 {
			c = long
		}
		g := s.gateways[id]
		if g.wallet.Take(c, s.time()) {
			s.record(c)
		} else {
			s.waited++
			g.waiting = append(g.waiting, waitingRequest{g.wallet.Wait(c), s.now})
		}
	}
}

func (s *simulation) settleWaiting(g *simulatedGateway) {
	var still []waitingRequest
	for _, r := range g.waiting {
		select {
		case verdict := <-r.Done():
			if verdict.Granted {
				s.record(r.cost)
			} else {
				s.refused++
			}
		default:
			if s.now-r.since < maxWait {
				still = append(still, r)
				continue
			}
			g.wallet.Cancel(r.Waiter, s.time())
			s.refused++
		}
	}
	g.waiting = still
}

func (s *simulation) record(cost float64) {
	s.served++
	s.ran = append(s.ran, use{s.now, cost})
}

// cost returns what ran from one time to another.
func (s *simulation) cost(from, to time.Duration) float64 {
	sum := 0.0
	for _, u := range s.ran {
		if u.at >= from && u.at < to {
			sum += u.cost
		}
	}
	return sum
}

// worst returns what ran in the worst window, as a part of the bound.
func (s *simulation) worst() float64 {
	sum, most, first := 0.0, 0.0, 0
	for _, u := range s.ran {
		for sum += u.cost; u.at-s.ran[first].at > testBounds.Window; first++ {
			sum -= s.ran[first].cost
		}
		most = max(most, sum)
	}
	return most / ((s.limit.PerSecond*testBounds.Window.Seconds()+s.limit.Burst)*(1+testBounds.Overage) + testBounds.Slack)
}

// start fills the bucket and lets the wallets find their demand.
func (s *simulation) start(demand float64) {
	s.run(5*time.Second, demand)
	s.served, s.refused, s.waited, s.messages = 0, 0, 0, 0
}

// TestBelowTheLimitNothingIsRefused guards against credit that lies idle at some gateways
// while others refuse, and against messages and waits in proportion to the requests.
func TestBelowTheLimitNothingIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		limit Limit
		part  float64
	}{
		"large, nine tenths": {large, 0.9},
		"large, a fifth":     {large, 0.2},
		"small, half":        {small, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(tc.limit)
			s.start(tc.part * tc.limit.PerSecond)
			s.run(20*time.Second, tc.part*tc.limit.PerSecond)
			perGateway := float64(s.messages) / 20 / simulatedGateways
			t.Logf("served %d, waited %d, datagrams per second and gateway %.1f, worst window %.2f", s.served, s.waited, perGateway, s.worst())
			require.Zero(t, s.refused)
			require.LessOrEqual(t, s.worst(), 1.0)
			require.LessOrEqual(t, perGateway, 12.0, "asks and responses")
		})
	}
}

// TestLimitHoldsAndIsUsed guards against credit that is lost between the gateways, and
// against more than the bound after a time without load, when bucket and wallets are full.
func TestLimitHoldsAndIsUsed(t *testing.T) {
	for name, tc := range map[string]struct {
		limit Limit
		part  float64
		least float64
	}{
		"large, at the limit": {large, 1, 0.95},
		"large, five times":   {large, 5, 0.97},
		"small, five times":   {small, 5, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(tc.limit)
			s.start(0.5 * tc.limit.PerSecond)
			s.run(20*time.Second, tc.part*tc.limit.PerSecond)
			used := s.cost(10*time.Second, s.now) / 15 / tc.limit.PerSecond
			t.Logf("served %d, refused %d, used of the limit %.3f, worst window %.3f, datagrams per second and gateway %.1f",
				s.served, s.refused, used, s.worst(), float64(s.messages)/20/simulatedGateways)
			require.LessOrEqual(t, s.worst(), 1.0)
			require.GreaterOrEqual(t, used, tc.least)
		})
	}
}

// TestLoadThatMovesIsNotRefused moves all load between data centres of ten gateways,
// within and across regions, each time within one step.
func TestLoadThatMovesIsNotRefused(t *testing.T) {
	for name, part := range map[string]float64{"half": 0.5, "nine tenths": 0.9} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(large)
			centre := 0
			s.weight = func(id int) float64 { return map[bool]float64{true: 0.1}[id/10 == centre] }
			s.start(part * large.PerSecond)
			for _, centre = range []int{5, 0, 1, 3, 5} {
				s.run(3*time.Second, part*large.PerSecond)
			}
			t.Logf("served %d, waited %d, worst window %.2f", s.served, s.waited, s.worst())
			require.Zero(t, s.refused)
			require.LessOrEqual(t, s.worst(), 1.0)
		})
	}
}
