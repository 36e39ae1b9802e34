package edge

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/backoff"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/budget"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/requestlimit"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// Headers that testCodec reads and writes.
const (
	headerID        = "X-Id"
	headerTimeout   = "X-Patience-Ms"
	headerExpect    = "X-Expect"
	headerRemaining = "X-Left-Ms"
	headerNotRun    = "X-Not-Run"
	headerLeaving   = "X-Leaving"
	headerPrompt    = "X-Prompt-Tokens"
	headerSegments  = "X-Prompt-Segments"
	headerLastID    = "Last-Event-Id"
	headerResumes   = "X-Resumes"
	headerInstance  = "X-Instance"
	headerCold      = "X-Cold-Ms"
	headerKey       = "X-Key"
	headerAccount   = "X-Account"
	headerUrgency   = "X-Urgency"
	headerPercent   = "X-Time-Percent"
)

// testCodec implements httpmeta.HeaderCodec.
type testCodec struct{}

func (testCodec) ReadRequest(h http.Header) httpmeta.Request {
	ms, _ := strconv.Atoi(h.Get(headerTimeout))
	r := httpmeta.Request{AttemptID: h.Get(headerID), Timeout: time.Duration(ms) * time.Millisecond, Key: h.Get(headerKey), LastEventID: h.Get(headerLastID), Resumes: h.Get(headerResumes)}
	if n, err := strconv.Atoi(h.Get(headerPrompt)); err == nil {
		r.Prompt = &httpmeta.PromptInfo{Model: "m", Tokens: n, MaxOutputTokens: 10, Segments: []httpmeta.PromptSegment{{ID: "a", Tokens: n / 2}, {ID: "b", Tokens: n / 2}}}
		total := n + r.Prompt.MaxOutputTokens
		r.TokenCount = &total
	}
	if ids := strings.Fields(h.Get(headerSegments)); len(ids) > 0 {
		r.Prompt = &httpmeta.PromptInfo{Model: "m", Tokens: 10 * len(ids), MaxOutputTokens: 10}
		for _, id := range ids {
			r.Prompt.Segments = append(r.Prompt.Segments, httpmeta.PromptSegment{ID: id, Tokens: 10})
		}
	}
	return r
}

func (testCodec) WriteAttempt(h http.Header, a httpmeta.Attempt) {
	h.Set(headerExpect, a.EndpointID)
	h.Set(headerRemaining, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	h.Set(headerUrgency, strconv.Itoa(a.Priority))
	if a.Account != "" {
		h.Set(headerAccount, a.Account)
	}
	if a.LastEventID != "" {
		h.Set(headerLastID, a.LastEventID)
	}
}

func (testCodec) ReadResponse(h http.Header) httpmeta.Response {
	ms, _ := strconv.Atoi(h.Get(headerCold))
	percent, _ := strconv.Atoi(h.Get(headerPercent))
	return httpmeta.Response{
		AttemptID: h.Get(headerID), NotExecuted: h.Get(headerNotRun) != "", Leaving: h.Get(headerLeaving) != "",
		EndpointID: h.Get(headerInstance), ColdRemaining: time.Duration(ms) * time.Millisecond,
		Load: &httpmeta.Load{TimePercent: percent},
	}
}

func (testCodec) RemoveAccount(h http.Header) {
	h.Del(headerKey)
	h.Del(headerAccount)
}

func (testCodec) StripResponseHeader(h http.Header) { h.Del(headerNotRun) }

// receivedRequest is a request as an endpoint received it.
type receivedRequest struct {
	method, target, host, body string
	header                     http.Header
}

// fakeEndpoint is an endpoint that records its requests. It responds with its id, or
// by the handler if one is set.
type fakeEndpoint struct {
	id     string
	server *httptest.Server

	mu       sync.Mutex
	received []receivedRequest
	handler  http.HandlerFunc
	// cancelled counts the requests whose connection ended before the response.
	cancelled int
}

func (e *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.received = append(e.received, receivedRequest{r.Method, r.RequestURI, r.Host, string(body), r.Header.Clone()})
	h := e.handler
	e.mu.Unlock()
	w.Header().Set(headerID, r.Header.Get(headerID))
	if h == nil {
		_, _ = io.WriteString(w, "answer of "+e.id)
		return
	}
	h(w, r)
	if r.Context().Err() != nil {
		e.mu.Lock()
		e.cancelled++
		e.mu.Unlock()
	}
}

func (e *fakeEndpoint) requests() []receivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]receivedRequest(nil), e.received...)
}

func (e *fakeEndpoint) cancelledCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// crash ends the endpoint: its connections are reset and new ones refused.
func (e *fakeEndpoint) crash() {
	_ = e.server.Listener.Close()
	e.server.CloseClientConnections()
}

// setHandler replaces the handler of the endpoint.
func (e *fakeEndpoint) setHandler(h http.HandlerFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handler = h
}

// region is one gateway with the endpoints of its region.
type region struct {
	t            *testing.T
	name         string
	edge         *Edge
	callerServer *httptest.Server
	peerServer   *httptest.Server
}

// cluster is a set of regions whose gateways know each other.
type cluster struct {
	t       *testing.T
	regions map[string]*region
	entries []fleet.Entry
	routes  []*route.Route
	limits  route.Limits
}

var testSite = &settings.PlatformSettings{
	HeartbeatInterval: 100 * time.Millisecond,
	Regions:           map[string]string{"north-a": "north", "south-a": "south"},
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t, regions: make(map[string]*region), limits: route.Limits{MaxBodyBytes: 1000}}
	for _, name := range names {
		c.regions[name] = c.startGateway(name)
	}
	c.introduceAt(1)
	return c
}

// hearAgain makes the gateways hear each other once more, after which they are alive for
// fleet.SilenceTimeout.
func (c *cluster) hearAgain() { c.introduceAt(2) }

// introduceAt makes the gateways hear each other with statuses of the given sequence number.
func (c *cluster) introduceAt(seq uint64) {
	for _, r := range c.regions {
		for _, o := range c.regions {
			if o != r {
				address := strings.TrimPrefix(o.peerServer.URL, "http://")
				status := fleet.GatewayStatus{
					Gateway: fleet.Gateway{ID: "gw-" + o.name, Incarnation: "1", Region: o.name, PeerAddress: address, CallerAddress: "caller-" + o.name},
					Ready:   true,
				}
				r.edge.Gateways.ApplyStatus(status, time.Now().Add(-time.Minute))
				status.Seq = seq
				r.edge.Gateways.ApplyStatus(status, time.Now())
			}
		}
	}
}

// startGateway starts the only gateway of a region, which has been running for a while.
func (c *cluster) startGateway(name string) *region {
	return c.startGatewayAt("gw-"+name, name, time.Now().Add(-time.Minute))
}

// startGatewayAt starts a gateway that believes to have been started at the given time.
func (c *cluster) startGatewayAt(id, name string, started time.Time) *region {
	dial := (&net.Dialer{}).DialContext
	board := blackboard.NewEdge(testSite)
	board.Lifecycle.Set(blackboard.Serving)
	r := &region{t: c.t, name: name}
	r.edge = New(Config{
		Board:             board,
		Registry:          fleet.NewRegistry(testSite.Regions),
		Gateways:          fleet.NewGateways(fleet.Gateway{ID: id, Region: name, CallerAddress: "caller-" + name}, started),
		Codec:             testCodec{},
		Loads:             endpointload.New(),
		RetryBudget:       budget.NewRetryBudget(budget.RetrySettings{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}),
		ColdStarts:        budget.NewColdStartLimiter(budget.ColdStartSettings{Overage: 1, Slack: 2, ConcurrentSenders: 1}),
		Quarantine:        quarantine.New(),
		RequestQuarantine: quarantine.NewOfRequests(),
		Pauses:            backoff.New[int64](),
		Limits:            requestlimit.New(),
		EndpointTransport: transport.New(dial, time.Second),
		GatewayTransport:  transport.New(dial, time.Second),
		ResponseForecast:  true,
		RegionSpill:       true,
		Logger:            log.New(io.Discard),
	})
	// The store lists no other gateway.
	r.edge.Gateways.ApplyStoreList(nil, started)
	r.callerServer = httptest.NewServer(r.edge.CallerHandler())
	r.peerServer = httptest.NewServer(r.edge.PeerHandler(http.NotFoundHandler()))
	c.t.Cleanup(r.callerServer.Close)
	c.t.Cleanup(r.peerServer.Close)
	return r
}

// addRoute adds a route to the configuration of every gateway. Unset fields get
// defaults.
func (c *cluster) addRoute(r route.Route) {
	r.Host = "a.example"
	if r.Targets == nil {
		r.Targets = []route.Target{{Service: "s"}}
	}
	if r.Timeout == 0 {
		r.Timeout = 5 * time.Second
	}
	r.Objective = max(r.Objective, time.Second)
	r.MaxAttempts = max(r.MaxAttempts, 1)
	c.routes = append(c.routes, &r)
	services := []*route.Service{{Name: "s", ColdRequestsPerSecond: 1}}
	for _, region := range c.regions {
		table := route.NewTable(uint64(len(c.routes)), c.routes, services, c.limits)
		region.edge.Board.Routes.Set(table)
	}
}

// startEndpoint starts an endpoint in a data centre and adds its entry to the
// registries of all gateways.
func (c *cluster) startEndpoint(id, dataCentre string) *fakeEndpoint {
	e := &fakeEndpoint{id: id}
	e.server = httptest.NewServer(e)
	c.t.Cleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
	})
	c.setEntry(fleet.Endpoint{ID: id, Service: "s", DataCentre: dataCentre, Slots: 8, Address: strings.TrimPrefix(e.server.URL, "http://")})
	return e
}

// setEntry adds or replaces the entry of an endpoint in the registries of all
// gateways.
func (c *cluster) setEntry(e fleet.Endpoint) {
	c.entries = append(c.entries, fleet.Entry{ID: e.ID, Endpoint: &e})
	for _, r := range c.regions {
		r.edge.Registry.Apply(c.entries, time.Now())
	}
}

// addUnreachableEndpoint adds the entry of an endpoint at an address that refuses
// connections.
func (c *cluster) addUnreachableEndpoint(id, dataCentre string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	address := l.Addr().String()
	require.NoError(c.t, l.Close())
	c.setEntry(fleet.Endpoint{ID: id, Service: "s", DataCentre: dataCentre, Slots: 8, Address: address})
}

// response is the response that a caller got. err is set if there was none or it was
// incomplete.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request to the region's gateway.
func (r *region) call(method, path, body string, header map[string]string) response {
	r.t.Helper()
	return r.callContext(context.Background(), method, path, body, header)
}

func (r *region) callContext(ctx context.Context, method, path, body string, header map[string]string) response {
	req, err := http.NewRequestWithContext(ctx, method, r.callerServer.URL+path, bytes.NewReader([]byte(body)))
	require.NoError(r.t, err)
	req.Host = "a.example"
	req.Header.Set(headerID, "id-1")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(got), err: err}
}

// placedRequest is a request for which an endpoint has been chosen, and which has not
// been sent.
type placedRequest struct {
	session  *session
	decision placement.Decision
}

// place opens a session for a request without sending it.
func (r *region) place(t *testing.T, id string) placedRequest {
	req := httptest.NewRequest(http.MethodGet, "/q/", nil)
	req.Host = "a.example"
	req.Header.Set(headerID, id)
	s, err := r.edge.openSession(httptest.NewRecorder(), req, time.Now())
	require.NoError(t, err)
	s.tried = make(map[string]bool)
	d, _ := s.place(t.Context())
	return placedRequest{session: s, decision: d}
}

// resetConnection resets the connection of a request without a response.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// truncateResponse resets the connection after sending fewer bytes than its
// Content-Length says.
func truncateResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	resetConnection(w, r)
}

// respondNotRun sheds a request: it responds that the request was not run.
func respondNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func respondStatus(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// waitForCancel sends no response and returns when the request is cancelled.
func waitForCancel(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// requestCount returns the number of requests that the endpoints have received.
func requestCount(endpoints ...*fakeEndpoint) int {
	n := 0
	for _, e := range endpoints {
		n += len(e.requests())
	}
	return n
}
