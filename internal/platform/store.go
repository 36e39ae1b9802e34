package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// The paths of the key-value service.
const (
	kvPath    = "/v1/kv/"
	listPath  = "/v1/kv"
	watchPath = "/v1/watch/"
	leasePath = "/v1/leases/"
	grantPath = "/v1/leases"
)

// Limits of the responses of the key-value service, in bytes.
const (
	maxEntryBytes = 2 << 20
	maxListBytes  = 32 << 20
)

var (
	storeGets    = telemetry.NewCounter("store_get_calls", "calls", "reads of one key")
	storePuts    = telemetry.NewCounter("store_put_calls", "calls", "writes of one key")
	storeDeletes = telemetry.NewCounter("store_delete_calls", "calls", "deletions of one key")
	storeLists   = telemetry.NewCounter("store_list_calls", "calls", "reads of the keys under a prefix")
	storeWatches = telemetry.NewCounter("store_watch_calls", "calls", "watches opened; a waiting watch is one call")
	storeLeases  = telemetry.NewCounter("store_lease_calls", "calls", "leases granted, renewed and revoked")
)

// HTTPStore is the HTTP client of the key-value service.
type HTTPStore struct{ client *client }

// NewHTTPStore returns a client of the service at baseURL ("http://host:port").
func NewHTTPStore(baseURL string, o Options) *HTTPStore {
	return &HTTPStore{client: newClient(baseURL, o)}
}

// Close closes the idle connections.
func (s *HTTPStore) Close() { s.client.Close() }

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, key string) (Entry, error) {
	storeGets.Inc()
	var e Entry
	err := s.client.do(ctx, call{
		op:       "store get",
		method:   http.MethodGet,
		path:     kvPath + escapePath(key),
		timeout:  s.client.opts.ResponseTimeout,
		maxBytes: maxEntryBytes,
	}, &e)
	return e, err
}

// Put implements Store. It is sent once: if the response is lost, the error is an
// *UnavailableError with MaybeApplied set.
func (s *HTTPStore) Put(ctx context.Context, key string, value []byte, opts PutOptions) (Entry, error) {
	storePuts.Inc()
	query := conditionQuery(opts.IfVersion, opts.Era)
	if opts.Lease != "" {
		query.Set("lease", string(opts.Lease))
	}
	var e Entry
	err := s.client.do(ctx, call{
		op:       "store put",
		method:   http.MethodPut,
		path:     kvPath + escapePath(key),
		query:    query,
		body:     value,
		isWrite:  true,
		era:      opts.Era,
		timeout:  s.client.opts.ResponseTimeout,
		maxBytes: maxEntryBytes,
	}, &e)
	return e, err
}

// Delete implements Store. It is sent once.
func (s *HTTPStore) Delete(ctx context.Context, key string, opts DeleteOptions) error {
	storeDeletes.Inc()
	return s.client.do(ctx, call{
		op:       "store delete",
		method:   http.MethodDelete,
		path:     kvPath + escapePath(key),
		query:    conditionQuery(opts.IfVersion, opts.Era),
		isWrite:  true,
		era:      opts.Era,
		timeout:  s.client.opts.ResponseTimeout,
		maxBytes: maxEntryBytes,
	}, nil)
}

// List implements Store.
func (s *HTTPStore) List(ctx context.Context, prefix string) ([]Entry, error) {
	storeLists.Inc()
	var entries []Entry
	err := s.client.do(ctx, call{
		op:       "store list",
		method:   http.MethodGet,
		path:     listPath,
		query:    url.Values{"prefix": {prefix}},
		timeout:  s.client.opts.ResponseTimeout,
		maxBytes: maxListBytes,
	}, &entries)
	return entries, err
}

// Watch implements Store. A connection that is silent for longer than the wait and
// Options.WatchGrace is closed, and the watch is retried once on a new one.
func (s *HTTPStore) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	storeWatches.Inc()
	var e Entry
	err := s.client.do(ctx, call{
		op:     "store watch",
		method: http.MethodGet,
		path:   watchPath + escapePath(key),
		query: url.Values{
			"after":   {strconv.FormatUint(after, 10)},
			"wait_ms": {formatMillis(wait)},
		},
		timeout:  wait + s.client.opts.WatchGrace,
		maxBytes: maxEntryBytes,
	}, &e)
	return e, err
}

// leaseResponse is the response to the grant of a lease.
type leaseResponse struct {
	Lease LeaseID `json:"lease"`
}

// Grant implements Store.
func (s *HTTPStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	storeLeases.Inc()
	var g leaseResponse
	err := s.client.do(ctx, call{
		op:       "store grant",
		method:   http.MethodPost,
		path:     grantPath,
		query:    url.Values{"ttl_ms": {formatMillis(ttl)}},
		isWrite:  true,
		timeout:  s.client.opts.ResponseTimeout,
		maxBytes: maxEntryBytes,
	}, &g)
	return g.Lease, err
}

// KeepAlive implements Store.
func (s *HTTPStore) KeepAlive(ctx context.Context, id LeaseID) error {
	return s.callLease(ctx, "store keep alive", http.MethodPut, id)
}

// Revoke implements Store.
func (s *HTTPStore) Revoke(ctx context.Context, id LeaseID) error {
	return s.callLease(ctx, "store revoke", http.MethodDelete, id)
}

// callLease makes a call on an existing lease.
func (s *HTTPStore) callLease(ctx context.Context, op, method string, id LeaseID) error {
	storeLeases.Inc()
	return s.client.do(ctx, call{
		op:       op,
		method:   method,
		path:     leasePath + escapePath(string(id)),
		isWrite:  true,
		timeout:  s.client.opts.ResponseTimeout,
		maxBytes: maxEntryBytes,
	}, nil)
}

// escapePath escapes a key for a URL path. Its slashes are kept, and the segments
// between them are escaped.
func escapePath(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return strings.Join(segments, "/")
}

// Era implements Store.
func (s *HTTPStore) Era() Era { return s.client.eras.get() }

// conditionQuery returns the query of a write that is conditional on v, unless v is nil,
// and on the era, unless it is 0.
func conditionQuery(v *uint64, era uint64) url.Values {
	query := url.Values{}
	if era != 0 {
		query.Set("era", strconv.FormatUint(era, 10))
	}
	if v != nil {
		query.Set("if_version", strconv.FormatUint(*v, 10))
	}
	return query
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
