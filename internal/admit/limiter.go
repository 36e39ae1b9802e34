package admit

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
)

// Constants of the limits.
const (
	limiterShards = 16
	// baseWeight is the weight of the base shares against known demand.
	baseWeight = 0.1
	// demandWindow smooths the demand of a customer.
	demandWindow = 2 * time.Second
	// burstTime is how much of its rate a customer may use at once.
	burstTime = time.Second
	// forgetAfter is the age beyond which another gateway's demand is
	// forgotten.
	forgetAfter = 5 * time.Second
	// usageFloor is the demand, as a share of the limit, below which a
	// customer is not told to other gateways.
	usageFloor = 0.02
)

// CustomerUsage is a customer's demand at one gateway, as a share of its limit.
type CustomerUsage struct {
	Customer string  `json:"customer"`
	Demand   float64 `json:"demand"`
}

// limiter keeps the customers' limits without agreement between gateways: a
// gateway's part of a limit follows its share of the known demand, and the
// rendezvous order of gateways where no demand is known.
type limiter struct {
	self   string
	shards [limiterShards]limiterShard
}

type limiterShard struct {
	mu        sync.Mutex
	gateways  []string
	limits    map[string]intent.Limits
	customers map[string]*account
}

// account is the use of one customer at this gateway.
type account struct {
	base       float64
	requests   bucket
	tokens     bucket
	concurrent int
	demand     demand
	others     map[string]heardDemand
}

type heardDemand struct {
	demand float64
	at     time.Time
}

func newLimiter(self string) *limiter {
	l := &limiter{self: self}
	for i := range l.shards {
		l.shards[i].customers = make(map[string]*account)
		l.shards[i].gateways = []string{self}
	}
	return l
}

func (l *limiter) shard(customer string) *limiterShard {
	return &l.shards[xxhash.Sum64String(customer)%limiterShards]
}

func (l *limiter) configure(customers map[string]intent.Customer) {
	for i := range l.shards {
		l.shards[i].setLimits(make(map[string]intent.Limits))
	}
	for name, c := range customers {
		sh := l.shard(name)
		sh.mu.Lock()
		sh.limits[name] = c.Limits
		sh.mu.Unlock()
	}
}

func (sh *limiterShard) setLimits(limits map[string]intent.Limits) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.limits = limits
}

func (l *limiter) setGateways(ids []string) {
	for i := range l.shards {
		l.shards[i].setGateways(l.self, ids)
	}
}

func (sh *limiterShard) setGateways(self string, ids []string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.gateways = append([]string(nil), ids...)
	for name, a := range sh.customers {
		a.base = baseOf(name, self, ids)
	}
}

func baseOf(customer, self string, ids []string) float64 {
	for i, id := range RankGateways(customer, ids) {
		if id == self {
			return baseShare(i, len(ids))
		}
	}
	return 1 / float64(len(ids)+1)
}

func (sh *limiterShard) account(customer, self string) *account {
	a, ok := sh.customers[customer]
	if !ok {
		a = &account{base: baseOf(customer, self, sh.gateways), others: make(map[string]heardDemand)}
		sh.customers[customer] = a
	}
	return a
}

// take judges a request by its customer's limits and counts it.
func (l *limiter) take(item Request, now time.Time) Verdict {
	sh := l.shard(item.Customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	lim := sh.limits[item.Customer]
	a := sh.account(item.Customer, l.self)
	a.demand.add(demandOf(lim, item.EstimatedTokens), now)
	share := a.share(now)
	if lim.Concurrent > 0 && a.concurrent >= places(lim.Concurrent, share) {
		return refuse(failure.CodeLimited, "too many concurrent requests", time.Second)
	}
	reqRate, tokRate := lim.RequestsPerSecond*share, lim.TokensPerSecond*share
	if lim.RequestsPerSecond > 0 && !a.requests.has(1, reqRate, now) {
		return refuse(failure.CodeLimited, "too many requests a second", a.requests.wait(1, reqRate))
	}
	if lim.TokensPerSecond > 0 && !a.tokens.has(float64(item.EstimatedTokens), tokRate, now) {
		return refuse(failure.CodeLimited, "too many tokens a second", a.tokens.wait(float64(item.EstimatedTokens), tokRate))
	}
	a.requests.spend(1)
	a.tokens.spend(float64(item.EstimatedTokens))
	a.concurrent++
	return Verdict{Kind: Dispatch}
}

// places is a gateway's part of a limit on concurrent requests, at least one.
func places(limit int, share float64) int {
	return max(1, int(math.Round(float64(limit)*share)))
}

// demandOf is a request's share of a second of its customer's tightest limit.
func demandOf(lim intent.Limits, tokens int) float64 {
	d := 0.0
	if lim.RequestsPerSecond > 0 {
		d = 1 / lim.RequestsPerSecond
	}
	if lim.TokensPerSecond > 0 {
		d = max(d, float64(tokens)/lim.TokensPerSecond)
	}
	if lim.Concurrent > 0 {
		d = max(d, 1/float64(lim.Concurrent))
	}
	return d
}

// share is this gateway's part of the customer's limits.
func (a *account) share(now time.Time) float64 {
	own := a.demand.rate(now)
	all := own
	for id, o := range a.others {
		if now.Sub(o.at) > forgetAfter {
			delete(a.others, id)
			continue
		}
		all += o.demand
	}
	return (baseWeight*a.base + own) / (baseWeight + all)
}

func (l *limiter) finish(customer string, extra int, _ time.Time) {
	sh := l.shard(customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	a := sh.account(customer, l.self)
	a.concurrent = max(0, a.concurrent-1)
	a.tokens.spend(float64(extra))
}

// TopUsage returns at most limit customers with the highest demand here, to be
// told to the other gateways.
func (c *Controller) TopUsage(limit int, now time.Time) []CustomerUsage {
	var out []CustomerUsage
	for i := range c.limiter.shards {
		out = c.limiter.shards[i].usage(out, now)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Demand != out[j].Demand {
			return out[i].Demand > out[j].Demand
		}
		return out[i].Customer < out[j].Customer
	})
	return out[:min(limit, len(out))]
}

func (sh *limiterShard) usage(out []CustomerUsage, now time.Time) []CustomerUsage {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, a := range sh.customers {
		if d := a.demand.rate(now); d >= usageFloor {
			out = append(out, CustomerUsage{Customer: name, Demand: d})
		}
	}
	return out
}

// ApplyUsage takes in the demand that another gateway told.
func (c *Controller) ApplyUsage(gateway string, usage []CustomerUsage, now time.Time) {
	if gateway == c.limiter.self {
		return
	}
	for _, u := range usage {
		sh := c.limiter.shard(u.Customer)
		sh.mu.Lock()
		if _, known := sh.limits[u.Customer]; known && u.Demand >= 0 && !math.IsInf(u.Demand, 0) {
			sh.account(u.Customer, c.limiter.self).others[gateway] = heardDemand{demand: u.Demand, at: now}
		}
		sh.mu.Unlock()
	}
}
