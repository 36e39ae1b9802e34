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

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/budget"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// Headers of the codec of these tests.
const (
	headerID       = "X-Id"
	headerPatience = "X-Patience-Ms"
	headerExpect   = "X-Expect"
	headerLeft     = "X-Left-Ms"
	headerNotRun   = "X-Not-Run"
	headerPrompt   = "X-Prompt-Tokens"
	headerLastID   = "Last-Event-Id"
)

type testCodec struct{}

func (testCodec) ReadRequest(h http.Header) httpmeta.Request {
	ms, _ := strconv.Atoi(h.Get(headerPatience))
	r := httpmeta.Request{AttemptID: h.Get(headerID), Timeout: time.Duration(ms) * time.Millisecond}
	if n, err := strconv.Atoi(h.Get(headerPrompt)); err == nil {
		r.Prompt = &httpmeta.PromptInfo{Model: "m", Tokens: n, MaxOutputTokens: 10, Segments: []httpmeta.PromptSegment{{ID: "a", Tokens: n / 2}, {ID: "b", Tokens: n / 2}}}
	}
	return r
}

func (testCodec) WriteAttempt(h http.Header, a httpmeta.Attempt) {
	h.Set(headerExpect, a.EndpointID)
	h.Set(headerLeft, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	if a.LastEventID != "" {
		h.Set(headerLastID, a.LastEventID)
	}
}

func (testCodec) ReadResponse(h http.Header) httpmeta.Response {
	return httpmeta.Response{AttemptID: h.Get(headerID), NotExecuted: h.Get(headerNotRun) != ""}
}

func (testCodec) StripResponseHeader(h http.Header) { h.Del(headerNotRun) }

// arrival is one request as an endpoint got it.
type arrival struct {
	method, target, host, body string
	header                     http.Header
}

// endpoint is a fake endpoint. It answers by the handler at hand.
type endpoint struct {
	id     string
	server *httptest.Server

	mu      sync.Mutex
	got     []arrival
	handler http.HandlerFunc
	// cancelled counts the requests whose connection ended before the answer.
	cancelled int
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.got = append(e.got, arrival{r.Method, r.RequestURI, r.Host, string(body), r.Header.Clone()})
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

func (e *endpoint) requests() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.got...)
}

func (e *endpoint) cancels() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// answerWith makes the endpoint answer by h.
func (e *endpoint) answerWith(h http.HandlerFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handler = h
}

// region is one gateway with the endpoints of its region.
type region struct {
	t     *testing.T
	name  string
	edge  *Edge
	front *httptest.Server
	peer  *httptest.Server
}

// world is a number of regions that know each other.
type world struct {
	t         *testing.T
	regions   map[string]*region
	endpoints []fleet.Entry
	routes    []*route.Route
	limits    route.Limits
}

var testSite = &settings.Site{
	HeartbeatInterval: 100 * time.Millisecond,
	Regions:           map[string]string{"north-a": "north", "south-a": "south"},
}

func newWorld(t *testing.T, names ...string) *world {
	w := &world{t: t, regions: make(map[string]*region), limits: route.Limits{MaxBodyBytes: 1000}}
	for _, name := range names {
		w.regions[name] = w.newRegion(name)
	}
	for _, r := range w.regions {
		for _, o := range w.regions {
			if o != r {
				address := strings.TrimPrefix(o.peer.URL, "http://")
				r.edge.Gateways.ApplyStatus(fleet.GatewayStatus{
					Gateway: fleet.Gateway{ID: "gw-" + o.name, Incarnation: "1", Region: o.name, PeerAddress: address, CallerAddress: "caller-" + o.name},
					Seq:     1, Ready: true,
				}, time.Now())
			}
		}
	}
	return w
}

func (w *world) newRegion(name string) *region {
	dial := (&net.Dialer{}).DialContext
	board := blackboard.NewEdge(testSite)
	board.Lifecycle.Set(blackboard.Serving)
	r := &region{t: w.t, name: name}
	r.edge = New(Config{
		Board:       board,
		Registry:    fleet.NewRegistry(testSite.Regions),
		Gateways:    fleet.NewGateways(fleet.Gateway{ID: "gw-" + name, Region: name, CallerAddress: "caller-" + name}),
		Codec:       testCodec{},
		Loads:       endpointload.New(),
		RetryBudget: budget.NewRetryBudget(budget.RetrySettings{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}),
		ColdStarts:  budget.NewColdStartLimiter(budget.ColdStartSettings{Overage: 1, Slack: 2, ConcurrentSenders: 1}),
		Near:        transport.New(dial, time.Second),
		Far:         transport.New(dial, time.Second),
		Logger:      log.New(io.Discard),
	})
	r.front = httptest.NewServer(r.edge.CallerHandler())
	r.peer = httptest.NewServer(r.edge.PeerHandler(http.NotFoundHandler()))
	w.t.Cleanup(r.front.Close)
	w.t.Cleanup(r.peer.Close)
	return r
}

// route adds a route to every gateway's configuration.
func (w *world) route(r route.Route) {
	r.Host = "a.example"
	if r.Targets == nil {
		r.Targets = []route.Target{{Service: "s"}}
	}
	if r.Timeout == 0 {
		r.Timeout = 5 * time.Second
	}
	r.Objective = max(r.Objective, time.Second)
	r.MaxAttempts = max(r.MaxAttempts, 1)
	w.routes = append(w.routes, &r)
	services := []*route.Service{{Name: "s", ColdRequestsPerSecond: 1}}
	for _, region := range w.regions {
		table := route.NewTable(uint64(len(w.routes)), w.routes, services, w.limits)
		region.edge.Board.Routes.Set(table)
	}
}

// endpoint starts an endpoint in a data centre and tells all gateways of it.
func (w *world) endpoint(id, dataCentre string) *endpoint {
	e := &endpoint{id: id}
	e.server = httptest.NewServer(e)
	w.t.Cleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
	})
	w.entry(fleet.Endpoint{ID: id, Service: "s", DataCentre: dataCentre, Slots: 8, Address: strings.TrimPrefix(e.server.URL, "http://")})
	return e
}

func (w *world) entry(e fleet.Endpoint) {
	w.endpoints = append(w.endpoints, fleet.Entry{ID: e.ID, Endpoint: &e})
	for _, r := range w.regions {
		r.edge.Registry.Apply(w.endpoints, time.Now())
	}
}

// unreachable adds an endpoint at an address where nobody listens.
func (w *world) unreachable(id, dataCentre string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	address := l.Addr().String()
	require.NoError(w.t, l.Close())
	w.entry(fleet.Endpoint{ID: id, Service: "s", DataCentre: dataCentre, Slots: 8, Address: address})
}

// answer is what a caller got. err is set if the answer was not whole.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request to the region's gateway.
func (r *region) call(method, path, body string, header map[string]string) answer {
	r.t.Helper()
	return r.callContext(context.Background(), method, path, body, header)
}

func (r *region) callContext(ctx context.Context, method, path, body string, header map[string]string) answer {
	req, err := http.NewRequestWithContext(ctx, method, r.front.URL+path, bytes.NewReader([]byte(body)))
	require.NoError(r.t, err)
	req.Host = "a.example"
	req.Header.Set(headerID, "id-1")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(got), err: err}
}

// reset breaks the connection of a request off without an answer.
func reset(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// truncated announces more bytes than it sends.
func truncated(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	reset(w, r)
}

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// hang answers nothing until its caller goes.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func arrivals(endpoints ...*endpoint) int {
	n := 0
	for _, e := range endpoints {
		n += len(e.requests())
	}
	return n
}
