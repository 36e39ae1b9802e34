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

// Times of the modelled network and of the control plane.
const (
	// engineDelay is one way between a gateway and an engine of its region.
	engineDelay = 500 * time.Microsecond
	// pollEvery is the time between a gateway's readings of load; gossipLag is
	// the added lag of a reading that came by another gateway.
	pollEvery = 500 * time.Millisecond
	gossipLag = 300 * time.Millisecond
	// summaryEvery is the time between region summaries.
	summaryEvery = time.Second
	// silenceLimit is how long a call may be silent.
	silenceLimit = 2 * time.Second
	// drainTime is how long a run goes on after the last arrival.
	drainTime = 70 * time.Second
)

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq uint64
	do  func()
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

// sim is one run of one policy over one scenario.
type sim struct {
	dep      Deployment
	scenario Scenario
	policy   Policy
	now      time.Time
	seq      uint64
	events   eventHeap
	rnd      *rand.Rand
	regions  []*region
	engines  []*engine
	byID     map[string]*engine
	gateways []*gateway
	links    map[[2]int]*link
	cut      map[int]bool
	requests int
	fig      *collector
}

// region is the engines and gateways of one region.
type region struct {
	index    int
	name     string
	engines  []*engine
	gateways []*gateway
	// next is the gateway that takes the next request from another region.
	next int
}

func newSim(dep Deployment, sc Scenario, p Policy, seed uint64) *sim {
	s := &sim{
		dep: dep, scenario: sc, policy: p, now: epoch, rnd: rand.New(rand.NewPCG(seed, 99)),
		byID: make(map[string]*engine), links: make(map[[2]int]*link), cut: make(map[int]bool),
	}
	s.fig = newCollector(sc)
	for i, size := range dep.Regions {
		s.addRegion(i, size, seed)
	}
	for _, g := range s.gateways {
		g.setUp()
	}
	s.startControl()
	s.startFaults()
	s.startLoad(seed)
	return s
}

func (s *sim) addRegion(i int, size RegionSize, seed uint64) {
	r := &region{index: i, name: size.Name}
	for k := range size.Engines {
		cfg := s.dep.Engine
		cfg.Seed = seed + uint64(i*100+k)
		e := &engine{sim: s, id: fmt.Sprintf("%s-e%02d", size.Name, k), region: r, model: model.New(cfg, epoch), jobs: make(map[string]*call)}
		r.engines = append(r.engines, e)
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
	}
	for k := range size.Gateways {
		g := newGateway(s, r, fmt.Sprintf("%s-g%02d", size.Name, k))
		r.gateways = append(r.gateways, g)
		s.gateways = append(s.gateways, g)
	}
	s.regions = append(s.regions, r)
}

// at schedules fn.
func (s *sim) at(t time.Time, fn func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, do: fn})
}

// after schedules fn in d.
func (s *sim) after(d time.Duration, fn func()) { s.at(s.now.Add(d), fn) }

// run plays the events up to the end.
func (s *sim) run() Figures {
	end := epoch.Add(s.scenario.Length + drainTime)
	for len(s.events) > 0 {
		ev := heap.Pop(&s.events).(event)
		if ev.at.After(end) {
			break
		}
		s.now = ev.at
		ev.do()
	}
	return s.fig.figures(s)
}

// startLoad draws the arrivals of all regions.
func (s *sim) startLoad(seed uint64) {
	var all []arrival
	for i, r := range s.regions {
		per := s.dep.SizedRate * float64(len(r.engines))
		g := newGenerator(&s.dep.Mix, i, seed)
		all = append(all, g.arrivals(s.scenario.Length, s.scenario.Peak*per, func(t time.Duration) float64 {
			return s.scenario.Rate(i, t) * per
		})...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	for i := range all {
		c := newCaller(s, &all[i], i)
		s.at(epoch.Add(all[i].at), c.call)
	}
}

// startControl starts the gateways' readings and the region summaries.
func (s *sim) startControl() {
	for i, g := range s.gateways {
		phase := pollEvery * time.Duration(i) / time.Duration(len(s.gateways))
		s.every(phase, pollEvery, g.poll)
		if every := s.policy.AnnounceEvery; every > 0 {
			s.every(every*time.Duration(i)/time.Duration(len(s.gateways)), every, g.announce)
		}
	}
	for i, r := range s.regions {
		s.every(time.Duration(i)*50*time.Millisecond, summaryEvery, func() { s.summarise(r) })
	}
}

func (s *sim) every(phase, period time.Duration, fn func()) {
	var tick func()
	tick = func() {
		fn()
		s.after(period, tick)
	}
	s.at(epoch.Add(phase), tick)
}

// reachable says whether two regions can talk.
func (s *sim) reachable(a, b int) bool { return a == b || !s.cut[a] && !s.cut[b] }

// link is one direction between two regions.
type link struct {
	freeAt time.Time
	bytes  int
}

// transfer returns when n bytes sent now arrive.
func (s *sim) transfer(from, to, n int) time.Time {
	key := [2]int{from, to}
	l, ok := s.links[key]
	if !ok {
		l = &link{}
		s.links[key] = l
	}
	if l.freeAt.Before(s.now) {
		l.freeAt = s.now
	}
	rate := s.dep.Link.MegabitsPerSecond * 1e6 / 8
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	l.bytes += n
	return l.freeAt.Add(s.dep.Link.OneWayDelay.AsDuration())
}
