package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// The paths of the directory and the instance list.
const (
	directoryPath = "/v1/directory"
	instancesPath = "/v1/instances"
)

// maxDirectoryBytes bounds the answers of the directory and the instance list.
const maxDirectoryBytes = 8 << 20

var (
	directoryCalls = telemetry.NewCounter("directory_calls", "calls", "calls on the directory for callers")
	listCalls      = telemetry.NewCounter("instance_list_calls", "calls", "reads of the instance list")
)

// HTTPDirectory is the HTTP client of the directory for callers.
type HTTPDirectory struct{ caller *caller }

// NewHTTPDirectory returns a client of the directory at baseURL.
func NewHTTPDirectory(baseURL string, o Options) *HTTPDirectory {
	return &HTTPDirectory{caller: newCaller(baseURL, o)}
}

// Close closes the idle connections.
func (d *HTTPDirectory) Close() { d.caller.Close() }

// Register implements Directory.
func (d *HTTPDirectory) Register(ctx context.Context, r Registration, ttl time.Duration) error {
	directoryCalls.Inc()
	body, err := json.Marshal(r)
	if err != nil {
		return &UnavailableError{Op: "directory register", Cause: err}
	}
	return d.caller.do(ctx, call{
		op:       "directory register",
		method:   http.MethodPut,
		path:     directoryPath + "/" + escape(r.Instance),
		query:    url.Values{"ttl_ms": {millis(ttl)}},
		body:     body,
		write:    true,
		limit:    d.caller.opts.ResponseTimeout,
		maxBytes: maxDirectoryBytes,
	}, nil)
}

// Deregister implements Directory.
func (d *HTTPDirectory) Deregister(ctx context.Context, instance string) error {
	directoryCalls.Inc()
	return d.caller.do(ctx, call{
		op:       "directory deregister",
		method:   http.MethodDelete,
		path:     directoryPath + "/" + escape(instance),
		write:    true,
		limit:    d.caller.opts.ResponseTimeout,
		maxBytes: maxDirectoryBytes,
	}, nil)
}

// Lookup implements Directory.
func (d *HTTPDirectory) Lookup(ctx context.Context) ([]Registration, error) {
	directoryCalls.Inc()
	var out []Registration
	err := d.caller.do(ctx, call{
		op:       "directory lookup",
		method:   http.MethodGet,
		path:     directoryPath,
		limit:    d.caller.opts.ResponseTimeout,
		maxBytes: maxDirectoryBytes,
	}, &out)
	return out, err
}

// HTTPInstanceList is the HTTP client of the instance list. It keeps the last
// list of each region, so that one that has not changed costs few bytes.
type HTTPInstanceList struct {
	caller *caller

	mu   sync.Mutex
	last map[string]listed
}

// listed is an answer of the list and its entity tag.
type listed struct {
	etag      string
	instances []Instance
}

// NewHTTPInstanceList returns a client of the instance list at baseURL.
func NewHTTPInstanceList(baseURL string, o Options) *HTTPInstanceList {
	return &HTTPInstanceList{caller: newCaller(baseURL, o), last: make(map[string]listed)}
}

// Close closes the idle connections.
func (l *HTTPInstanceList) Close() { l.caller.Close() }

// Instances implements InstanceList. The caller must not change the result.
func (l *HTTPInstanceList) Instances(ctx context.Context, region string) ([]Instance, error) {
	listCalls.Inc()
	query := url.Values{}
	if region != "" {
		query.Set("region", region)
	}
	last := l.lastOf(region)
	k := call{
		op:       "instance list",
		method:   http.MethodGet,
		path:     instancesPath,
		query:    query,
		etag:     last.etag,
		limit:    l.caller.opts.ResponseTimeout,
		maxBytes: maxDirectoryBytes,
	}
	a, err := l.caller.answer(ctx, k)
	if err != nil {
		return nil, err
	}
	if a.status == http.StatusNotModified && last.etag != "" {
		return last.instances, nil
	}
	var out []Instance
	if err := k.decode(a, &out); err != nil {
		return nil, err
	}
	l.keep(region, listed{etag: a.etag, instances: out})
	return out, nil
}

func (l *HTTPInstanceList) lastOf(region string) listed {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last[region]
}

func (l *HTTPInstanceList) keep(region string, x listed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[region] = x
}
