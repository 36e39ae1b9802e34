// Package route holds the routes that a gateway serves: which requests go to
// which service, and under which promises. A Table is an immutable snapshot of
// one version of the configuration.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RequestKind says what may be repeated of a request.
type RequestKind int

// The kinds of requests.
const (
	// NonIdempotent requests run at most once for each client attempt.
	NonIdempotent RequestKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events. They run at most
	// once unless their route is resumable.
	Streaming
)

// String returns the name of the kind in logs.
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

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight int
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full worth; of
	// streams, the time to the first event.
	Objective time.Duration
	// EventGapObjective is the longest pause between two events of a stream.
	EventGapObjective time.Duration
	// Priority is the rank among the requests of a service; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxAttempts is the number of endpoints that one client attempt may be
	// sent to.
	MaxAttempts int
	// Sticky says that the requests carry prompts whose parts are shared.
	Sticky bool
	// Resumable says that a broken stream may go on at another endpoint.
	Resumable bool
	// HomeRegions are the only regions that may process the requests; empty
	// means all.
	HomeRegions []string
}

// Repeatable says whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Permits says whether the region may process the route's requests.
func (r *Route) Permits(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// SelectService picks the service of one request. Requests with the same id go to
// the same service.
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
	// MaxConnections is what one endpoint accepts from all gateways together.
	MaxConnections int
	// ColdDuration is how long an endpoint is slow after its start, ColdRate the
	// number of requests a second that it takes in that time.
	ColdDuration          time.Duration
	ColdRequestsPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run in one batch.
	Slots int
	// CacheTokens is the memory that running requests and cached prompts share.
	CacheTokens int
	// TokensPerEvent is the number of tokens that one event of a stream holds.
	TokensPerEvent int
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// Raw is the version as operators wrote it.
	Raw []byte
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
}

// NewTable returns the table of a version.
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
		host := normalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}

// CountPermitted returns the number of a host's routes that a region may process.
func (t *Table) CountPermitted(host, region string) int {
	n := 0
	for _, r := range t.byHost[normalHost(host)] {
		if r.Permits(region) {
			n++
		}
	}
	return n
}

// Match returns the route of a request, nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalHost returns a Host header's value without port and in lower case.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
