package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Timing of the modelled network and control plane.
const (
	// engineOneWayDelay is the network delay between a gateway and an engine of
	// its region.
	engineOneWayDelay = 500 * time.Microsecond
	// pollInterval is the time between a gateway's load reports; relayedReportLag
	// is the added age of a report that another gateway has relayed.
	pollInterval     = 500 * time.Millisecond
	relayedReportLag = 300 * time.Millisecond
	// summaryInterval is the time between the summaries of a region.
	summaryInterval = time.Second
	// silenceTimeout is how long a gateway waits on a silent connection.
	silenceTimeout = 2 * time.Second
	// drainPeriod is how long a run goes on after the end of arrivals. It is longer
	// than every request's deadline.
	drainPeriod = 70 * time.Second
)

// event is a function to run at a virtual time. Events of the same time run in the
// order in which they were scheduled.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simulation is one run of a deployment under one policy in one scenario. It runs in
// a single goroutine.
type simulation struct {
	deployment  Deployment
	scenario    Scenario
	policy      Policy
	now         time.Time
	seq         uint64
	events      eventHeap
	rng         *rand.Rand
	regions     []*region
	engines     []*engine
	enginesByID map[string]*engine
	gateways    []*gateway
	links       map[[2]int]*link
	cutRegions  map[int]bool
	callCount   int
	recorder    *recorder
}

// region holds the engines and gateways of one region.
type region struct {
	index    int
	name     string
	engines  []*engine
	gateways []*gateway
	// nextGateway counts the requests from other regions, which the gateways take
	// in turn.
	nextGateway int
}

func newSim(dep Deployment, sc Scenario, p Policy, seed uint64) *simulation {
	s := &simulation{
		deployment: dep, scenario: sc, policy: p, now: epoch, rng: rand.New(rand.NewPCG(seed, 99)),
		enginesByID: make(map[string]*engine), links: make(map[[2]int]*link), cutRegions: make(map[int]bool),
	}
	s.recorder = newRecorder(sc)
	for i, size := range dep.Regions {
		s.addRegion(i, size, seed)
	}
	for _, g := range s.gateways {
		g.configure()
	}
	s.scheduleControlTraffic()
	s.scheduleFaults()
	s.scheduleLoad(seed)
	return s
}

func (s *simulation) addRegion(i int, size RegionSize, seed uint64) {
	r := &region{index: i, name: size.Name}
	for k := range size.Engines {
		cfg := s.deployment.Engine
		cfg.Seed = seed + uint64(i*100+k)
		e := &engine{sim: s, id: fmt.Sprintf("%s-e%02d", size.Name, k), region: r, model: model.New(cfg, epoch), calls: make(map[string]*call)}
		r.engines = append(r.engines, e)
		s.engines = append(s.engines, e)
		s.enginesByID[e.id] = e
	}
	for k := range size.Gateways {
		g := newGateway(s, r, fmt.Sprintf("%s-g%02d", size.Name, k))
		r.gateways = append(r.gateways, g)
		s.gateways = append(s.gateways, g)
	}
	s.regions = append(s.regions, r)
}

// scheduleAt schedules fn to run at t.
func (s *simulation) scheduleAt(t time.Time, fn func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: fn})
}

// scheduleAfter schedules fn to run after d.
func (s *simulation) scheduleAfter(d time.Duration, fn func()) { s.scheduleAt(s.now.Add(d), fn) }

// run processes the events in order of time until drainPeriod after the end of
// arrivals.
func (s *simulation) run() Result {
	end := epoch.Add(s.scenario.Duration + drainPeriod)
	for len(s.events) > 0 {
		ev := heap.Pop(&s.events).(event)
		if ev.at.After(end) {
			break
		}
		s.now = ev.at
		ev.run()
	}
	return s.recorder.result(s)
}

// scheduleLoad generates the requests of all regions and schedules their first
// attempts.
func (s *simulation) scheduleLoad(seed uint64) {
	var all []arrival
	for i, r := range s.regions {
		regionRate := s.deployment.DesignRatePerEngine * float64(len(r.engines))
		g := newGenerator(&s.deployment.Mix, i, seed)
		all = append(all, g.arrivals(s.scenario.Duration, s.scenario.MaxRateFactor*regionRate, func(t time.Duration) float64 {
			return s.scenario.RateFactor(i, t) * regionRate
		})...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	for i := range all {
		c := newCaller(s, &all[i], i)
		s.scheduleAt(epoch.Add(all[i].at), c.send)
	}
}

// scheduleControlTraffic schedules the polls and announcements of the gateways and
// the region summaries, with staggered start times.
func (s *simulation) scheduleControlTraffic() {
	for i, g := range s.gateways {
		phase := pollInterval * time.Duration(i) / time.Duration(len(s.gateways))
		s.scheduleEvery(phase, pollInterval, g.poll)
		if every := s.policy.AnnounceInterval; every > 0 {
			s.scheduleEvery(every*time.Duration(i)/time.Duration(len(s.gateways)), every, g.announce)
		}
	}
	for i, r := range s.regions {
		s.scheduleEvery(time.Duration(i)*50*time.Millisecond, summaryInterval, func() { s.sendRegionSummary(r) })
	}
}

// scheduleEvery schedules fn at phase after the epoch and every period from then on.
func (s *simulation) scheduleEvery(phase, period time.Duration, fn func()) {
	var tick func()
	tick = func() {
		fn()
		s.scheduleAfter(period, tick)
	}
	s.scheduleAt(epoch.Add(phase), tick)
}

// isReachable reports whether neither of two different regions is cut off; a region
// always reaches itself.
func (s *simulation) isReachable(a, b int) bool {
	return a == b || !s.cutRegions[a] && !s.cutRegions[b]
}

// link is one direction of the connection between two regions. It is busy until
// freeAt.
type link struct {
	freeAt time.Time
	bytes  int
}

// reserveLink queues n bytes behind those already sent on the link and returns when
// the last of them arrives.
func (s *simulation) reserveLink(from, to, n int) time.Time {
	key := [2]int{from, to}
	l, ok := s.links[key]
	if !ok {
		l = &link{}
		s.links[key] = l
	}
	if l.freeAt.Before(s.now) {
		l.freeAt = s.now
	}
	rate := s.deployment.Link.MegabitsPerSecond * 1e6 / 8
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	l.bytes += n
	return l.freeAt.Add(s.deployment.Link.OneWayDelay.AsDuration())
}
