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

// Parameters of the limiter.
const (
	limiterShards = 16
	// baseShareWeight is the weight of the base shares relative to the known
	// demand.
	baseShareWeight = 0.1
	// demandWindow is the time constant that smooths a customer's demand.
	demandWindow = 2 * time.Second
	// burstWindow is the capacity of a token bucket, in time at its rate.
	burstWindow = time.Second
	// peerDemandTTL is the age beyond which the demand reported by another gateway
	// is discarded.
	peerDemandTTL = 5 * time.Second
	// minReportedDemand is the demand, as a fraction of the limit, below which a
	// customer is not reported to other gateways.
	minReportedDemand = 0.02
)

// CustomerUsage is a customer's demand at one gateway, as a fraction of its limit.
type CustomerUsage struct {
	Customer string  `json:"customer"`
	Demand   float64 `json:"demand"`
}

// limiter enforces the customers' limits across all gateways without consensus. A
// gateway's share of a limit follows its share of the demand that the gateways
// report to each other. Where no demand is known, it follows the rendezvous order of
// the gateways for the customer.
type limiter struct {
	self   string
	shards [limiterShards]limiterShard
}

type limiterShard struct {
	mu         sync.Mutex
	gatewayIDs []string
	limits     map[string]intent.Limits
	customers  map[string]*customerState
}

// customerState is the state of one customer's limits at this gateway.
type customerState struct {
	baseShare float64
	requests  tokenBucket
	tokens    tokenBucket
	// concurrent is the number of requests that have passed the limits and are not
	// yet released.
	concurrent int
	demand     demand
	// peerDemands is keyed by gateway id.
	peerDemands map[string]peerDemand
}

type peerDemand struct {
	demand     float64
	receivedAt time.Time
}

func newLimiter(self string) *limiter {
	l := &limiter{self: self}
	for i := range l.shards {
		l.shards[i].customers = make(map[string]*customerState)
		l.shards[i].gatewayIDs = []string{self}
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

func (l *limiter) setGatewayIDs(ids []string) {
	for i := range l.shards {
		l.shards[i].setGatewayIDs(l.self, ids)
	}
}

func (sh *limiterShard) setGatewayIDs(self string, ids []string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.gatewayIDs = append([]string(nil), ids...)
	for name, state := range sh.customers {
		state.baseShare = baseShareOf(name, self, ids)
	}
}

// baseShareOf returns the base share of gateway self for a customer. It also gives
// a share to a gateway that is missing from ids.
func baseShareOf(customer, self string, ids []string) float64 {
	for i, id := range RankGateways(customer, ids) {
		if id == self {
			return baseShare(i, len(ids))
		}
	}
	return 1 / float64(len(ids)+1)
}

func (sh *limiterShard) customer(customer, self string) *customerState {
	state, ok := sh.customers[customer]
	if !ok {
		state = &customerState{baseShare: baseShareOf(customer, self, sh.gatewayIDs), peerDemands: make(map[string]peerDemand)}
		sh.customers[customer] = state
	}
	return state
}

// admit decides on a request by its customer's limits. The request counts towards
// the demand in any case, and towards the limits unless it is refused.
func (l *limiter) admit(item Request, now time.Time) Verdict {
	sh := l.shard(item.Customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	limits := sh.limits[item.Customer]
	state := sh.customer(item.Customer, l.self)
	state.demand.add(requestDemand(limits, item.EstimatedTokens), now)
	share := state.share(now)
	if limits.MaxConcurrent > 0 && state.concurrent >= concurrencyLimit(limits.MaxConcurrent, share) {
		return refuse(failure.CodeLimitExceeded, "too many concurrent requests", time.Second)
	}
	requestRate, tokenRate := limits.RequestsPerSecond*share, limits.TokensPerSecond*share
	if limits.RequestsPerSecond > 0 && !state.requests.refillAndCheck(1, requestRate, now) {
		return refuse(failure.CodeLimitExceeded, "too many requests a second", state.requests.timeUntil(1, requestRate))
	}
	if limits.TokensPerSecond > 0 && !state.tokens.refillAndCheck(float64(item.EstimatedTokens), tokenRate, now) {
		return refuse(failure.CodeLimitExceeded, "too many tokens a second", state.tokens.timeUntil(float64(item.EstimatedTokens), tokenRate))
	}
	state.requests.spend(1)
	state.tokens.spend(float64(item.EstimatedTokens))
	state.concurrent++
	return Verdict{Kind: Dispatch}
}

// concurrencyLimit returns a gateway's share of a limit on concurrent requests, at
// least one.
func concurrencyLimit(limit int, share float64) int {
	return max(1, int(math.Round(float64(limit)*share)))
}

// requestDemand returns the demand of one request as a fraction of its customer's
// limit: the largest fraction among the limits on requests per second, tokens per
// second and concurrent requests.
func requestDemand(limits intent.Limits, tokens int) float64 {
	d := 0.0
	if limits.RequestsPerSecond > 0 {
		d = 1 / limits.RequestsPerSecond
	}
	if limits.TokensPerSecond > 0 {
		d = max(d, float64(tokens)/limits.TokensPerSecond)
	}
	if limits.MaxConcurrent > 0 {
		d = max(d, 1/float64(limits.MaxConcurrent))
	}
	return d
}

// share returns this gateway's share of the customer's limits, from 0 to 1. It
// discards outdated demand of other gateways.
func (c *customerState) share(now time.Time) float64 {
	local := c.demand.rate(now)
	total := local
	for id, o := range c.peerDemands {
		if now.Sub(o.receivedAt) > peerDemandTTL {
			delete(c.peerDemands, id)
			continue
		}
		total += o.demand
	}
	return (baseShareWeight*c.baseShare + local) / (baseShareWeight + total)
}

// release ends an admitted request and spends extraRequests and extraTokens, both of
// which may be negative.
func (l *limiter) release(customer string, extraRequests, extraTokens int) {
	sh := l.shard(customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	state := sh.customer(customer, l.self)
	state.concurrent = max(0, state.concurrent-1)
	state.requests.spend(float64(extraRequests))
	state.tokens.spend(float64(extraTokens))
}

// TopUsage returns the customers with the highest demand at this gateway, at most
// limit of them, to be reported to the other gateways.
func (c *Controller) TopUsage(limit int, now time.Time) []CustomerUsage {
	var out []CustomerUsage
	for i := range c.limiter.shards {
		out = c.limiter.shards[i].appendUsage(out, now)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Demand != out[j].Demand {
			return out[i].Demand > out[j].Demand
		}
		return out[i].Customer < out[j].Customer
	})
	return out[:min(limit, len(out))]
}

func (sh *limiterShard) appendUsage(out []CustomerUsage, now time.Time) []CustomerUsage {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, state := range sh.customers {
		if d := state.demand.rate(now); d >= minReportedDemand {
			out = append(out, CustomerUsage{Customer: name, Demand: d})
		}
	}
	return out
}

// ApplyUsage records the demand reported by another gateway. It ignores reports of
// this gateway itself, unknown customers and invalid values.
func (c *Controller) ApplyUsage(gateway string, usage []CustomerUsage, now time.Time) {
	if gateway == c.limiter.self {
		return
	}
	for _, u := range usage {
		sh := c.limiter.shard(u.Customer)
		sh.mu.Lock()
		if _, known := sh.limits[u.Customer]; known && u.Demand >= 0 && !math.IsInf(u.Demand, 0) {
			sh.customer(u.Customer, c.limiter.self).peerDemands[gateway] = peerDemand{demand: u.Demand, receivedAt: now}
		}
		sh.mu.Unlock()
	}
}
