// Package route defines the routing configuration of a gateway: which requests
// go to which service, and the timeouts, latency objectives, retry rules and
// regions that apply to them. A Table is an immutable snapshot of one version of
// the configuration.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/account"
)

// RequestKind classifies requests by whether they may be executed more than
// once.
type RequestKind int

// The kinds of requests.
const (
	// NonIdempotent requests are executed at most once for each attempt of a
	// caller.
	NonIdempotent RequestKind = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Streaming requests get a series of events as their response. They are
	// executed at most once unless their route is resumable.
	Streaming
)

// String returns the kind's name in the configuration and in logs.
func (k RequestKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	// Service is the name of the service.
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight int
}

// Route determines how requests with a given host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Timeout is the maximum time that a caller waits for a response.
	Timeout time.Duration
	// Objective is the latency objective: the time within which a response, or
	// the first event of a stream, should arrive.
	Objective time.Duration
	// EventGapObjective is the objective for the time between two events of a
	// stream.
	EventGapObjective time.Duration
	// Priority orders the requests of a service; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of endpoints that one attempt of a
	// caller is sent to.
	MaxAttempts int
	// Sticky reports whether the requests carry prompts with shared segments.
	Sticky bool
	// Resumable reports whether a broken stream may be continued by another
	// endpoint.
	Resumable bool
	// HomeRegions lists the regions that may process the requests. If it is
	// empty, all regions may.
	HomeRegions []string
	// Public reports whether requests need no key where the table has accounts.
	Public bool
}

// IsIdempotent reports whether a request may be executed more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Permits reports whether the region may process the route's requests.
func (r *Route) Permits(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// SelectService returns the service that a request goes to. It splits requests
// by weight and is deterministic: the same id always selects the same service.
// The route must have at least one target; without positive weights the first
// one is selected.
func (r *Route) SelectService(requestID string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	n := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one endpoint accepts
	// from all gateways together.
	MaxConnections int
	// ColdDuration is how long an endpoint is slow after its start.
	ColdDuration time.Duration
	// ColdRequestsPerSecond is the request rate that an endpoint can take while
	// it is cold.
	ColdRequestsPerSecond float64
	// Engine is nil for services without model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run in one batch.
	Slots int
	// CacheTokens is the KV cache capacity in tokens, which running requests
	// and cached prompts share.
	CacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Limits are the limits on what callers send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routing configuration.
type Table struct {
	Version uint64
	// Services maps names to services.
	Services map[string]*Service
	Limits   Limits
	// Accounts are the client accounts; nil if there are none, in which case no request
	// needs a key.
	Accounts *account.Index
	// Raw is the configuration as operators wrote it.
	Raw []byte
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
}

// NewTable returns a table. It leaves Accounts and Raw unset.
func NewTable(version uint64, routes []*Route, services []*Service, limits Limits) *Table {
	t := &Table{
		Version:  version,
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		host := normalizeHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Len returns the number of routes of all hosts.
func (t *Table) Len() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}

// CountPermitted returns the number of the host's routes whose requests the
// region may process. If there are accounts, it counts each route once for each
// account that permits the region too, public routes for all accounts.
func (t *Table) CountPermitted(host, region string) int {
	n := 0
	for _, r := range t.byHost[normalizeHost(host)] {
		switch {
		case !r.Permits(region):
		case t.Accounts == nil:
			n++
		case r.Public:
			n += t.Accounts.Len()
		default:
			n += t.Accounts.CountPermitted(region)
		}
	}
	return n
}

// Match returns the route with the longest prefix of path among the host's
// routes, or nil if none matches. Host may contain a port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalizeHost returns the value of a Host header in lower case and without the
// port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
