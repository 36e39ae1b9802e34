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

// maxDirectoryBytes bounds the responses of the directory and the instance list.
const maxDirectoryBytes = 8 << 20

var (
	directoryCalls = telemetry.NewCounter("directory_calls", "calls", "calls to the directory for callers")
	listCalls      = telemetry.NewCounter("instance_list_calls", "calls", "reads of the instance list")
	oddInstances   = telemetry.NewCounter("instance_list_odd", "entries", "entries of the instance list that can't be used and were left out")
)

// HTTPDirectory is the HTTP client of the directory for callers.
type HTTPDirectory struct{ client *client }

// NewHTTPDirectory returns a client of the directory at baseURL.
func NewHTTPDirectory(baseURL string, o Options) *HTTPDirectory {
	return &HTTPDirectory{client: newClient(baseURL, o)}
}

// Close closes the idle connections.
func (d *HTTPDirectory) Close() { d.client.Close() }

// Register implements Directory.
func (d *HTTPDirectory) Register(ctx context.Context, r Registration, ttl time.Duration) error {
	directoryCalls.Inc()
	body, err := json.Marshal(r)
	if err != nil {
		return &UnavailableError{Op: "directory register", Cause: err}
	}
	return d.client.do(ctx, call{
		op:       "directory register",
		method:   http.MethodPut,
		path:     directoryPath + "/" + escapePath(r.Instance),
		query:    url.Values{"ttl_ms": {formatMillis(ttl)}},
		body:     body,
		isWrite:  true,
		timeout:  d.client.opts.ResponseTimeout,
		maxBytes: maxDirectoryBytes,
	}, nil)
}

// Deregister implements Directory.
func (d *HTTPDirectory) Deregister(ctx context.Context, instance string) error {
	directoryCalls.Inc()
	return d.client.do(ctx, call{
		op:       "directory deregister",
		method:   http.MethodDelete,
		path:     directoryPath + "/" + escapePath(instance),
		isWrite:  true,
		timeout:  d.client.opts.ResponseTimeout,
		maxBytes: maxDirectoryBytes,
	}, nil)
}

// Lookup implements Directory.
func (d *HTTPDirectory) Lookup(ctx context.Context) ([]Registration, error) {
	directoryCalls.Inc()
	var out []Registration
	err := d.client.do(ctx, call{
		op:       "directory lookup",
		method:   http.MethodGet,
		path:     directoryPath,
		timeout:  d.client.opts.ResponseTimeout,
		maxBytes: maxDirectoryBytes,
	}, &out)
	return out, err
}

// HTTPInstanceList is the HTTP client of the instance list. It caches the last
// list of each region and sends its entity tag, so that a list that has not
// changed is not transferred again. It is safe for concurrent use.
type HTTPInstanceList struct {
	client *client

	mu    sync.Mutex
	cache map[string]cachedList
}

// cachedList is the list of one region and its entity tag.
type cachedList struct {
	etag      string
	instances []Instance
}

// NewHTTPInstanceList returns a client of the instance list at baseURL.
func NewHTTPInstanceList(baseURL string, o Options) *HTTPInstanceList {
	return &HTTPInstanceList{client: newClient(baseURL, o), cache: make(map[string]cachedList)}
}

// Close closes the idle connections.
func (l *HTTPInstanceList) Close() { l.client.Close() }

// Instances implements InstanceList. The result may be shared with other callers
// and must not be modified.
func (l *HTTPInstanceList) Instances(ctx context.Context, region string) ([]Instance, error) {
	listCalls.Inc()
	query := url.Values{}
	if region != "" {
		query.Set("region", region)
	}
	cached := l.cached(region)
	k := call{
		op:       "instance list",
		method:   http.MethodGet,
		path:     instancesPath,
		query:    query,
		etag:     cached.etag,
		timeout:  l.client.opts.ResponseTimeout,
		maxBytes: maxDirectoryBytes,
	}
	r, err := l.client.send(ctx, k)
	if err != nil {
		return nil, err
	}
	if r.status == http.StatusNotModified && cached.etag != "" {
		return cached.instances, nil
	}
	var entries []json.RawMessage
	if err := k.decode(r, &entries); err != nil {
		return nil, err
	}
	out := make([]Instance, 0, len(entries))
	for _, entry := range entries {
		var i Instance
		// One odd entry must not keep the others out.
		if json.Unmarshal(entry, &i) != nil || !i.isUsable() {
			oddInstances.Inc()
			continue
		}
		out = append(out, i)
	}
	l.setCached(region, cachedList{etag: r.etag, instances: out})
	return out, nil
}

func (l *HTTPInstanceList) cached(region string) cachedList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cache[region]
}

func (l *HTTPInstanceList) setCached(region string, list cachedList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cache[region] = list
}
