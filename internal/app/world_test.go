package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/publish"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/standin/caller"
	"github.com/hickorystage/hickorystage/internal/standin/directory"
	"github.com/hickorystage/hickorystage/internal/standin/engine"
	"github.com/hickorystage/hickorystage/internal/standin/kv"
	"github.com/hickorystage/hickorystage/internal/standin/memnet"
	"github.com/hickorystage/hickorystage/internal/standin/service"
)

// The regions of the test deployment; the platform stands in the first.
const (
	svealand = "svealand"
	norrland = "norrland"
	gotaland = "gotaland"

	storeAddress     = "10.0.0.1:7100"
	directoryAddress = "10.0.0.1:7200"
	oneWay           = 55 * time.Millisecond
	listLag          = 500 * time.Millisecond
)

var allRegions = []string{svealand, norrland, gotaland}

// world is a whole deployment in one process, over a network in memory.
type world struct {
	t         *testing.T
	net       *memnet.Network
	store     *kv.Server
	directory *directory.Server
	engines   map[string]*engine.Server
	services  map[string]*service.Server
	nodes     map[string]*node
	servers   map[string]*http.Server
	stops     []func()
	logs      io.Writer
}

// node is one gateway of the world.
type node struct {
	id, region            string
	callers, peers, admin string
	app                   *App
	cancel                context.CancelFunc
	hurry                 chan struct{}
	done                  chan error
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{
		t:         t,
		net:       memnet.NewNetwork(oneWay),
		store:     kv.New(kv.Limits{}),
		directory: directory.New(listLag),
		engines:   make(map[string]*engine.Server),
		services:  make(map[string]*service.Server),
		nodes:     make(map[string]*node),
		servers:   make(map[string]*http.Server),
		logs:      io.Discard,
	}
	if os.Getenv("WORLD_LOG") != "" {
		w.logs = os.Stderr
	}
	w.serve(svealand, storeAddress, w.store.Handler())
	w.serve(svealand, directoryAddress, w.directory.Handler())
	return w
}

// serve runs a handler at an address of the network.
func (w *world) serve(zone, address string, h http.Handler) {
	ln, err := w.net.Host(zone, address).Listen(address)
	require.NoError(w.t, err)
	s := &http.Server{Handler: h}
	w.servers[address] = s
	go func() { _ = s.Serve(ln) }()
}

// kill closes a server and resets its connections.
func (w *world) kill(address string) {
	if s := w.servers[address]; s != nil {
		_ = s.Close()
		delete(w.servers, address)
	}
	w.net.Reset(address)
}

// addEndpoints adds an engine and a booking service to a region.
func (w *world) addEndpoints(region string) {
	n := len(w.engines) + 1
	w.addEngine(region, fmt.Sprintf("engine-%s", region), fmt.Sprintf("10.1.0.%d:80", n))
	w.addService(region, "booking-"+region, fmt.Sprintf("10.2.0.%d:80", n))
}

// addService adds a booking service to a region.
func (w *world) addService(region, id, address string) *service.Server {
	s := service.New(service.Config{ID: id, MaxConcurrent: 8})
	w.services[id] = s
	w.serve(region, address, s.Handler())
	w.directory.PutInstance(platform.Instance{ID: id, Incarnation: "1", Group: "booking", Region: region, Address: address, State: platform.InstanceLive})
	return s
}

// addressOf returns the address of a listed instance.
func (w *world) addressOf(id string) string {
	w.t.Helper()
	for _, in := range w.directory.Instances("") {
		if in.ID == id {
			return in.Address
		}
	}
	w.t.Fatalf("instance %s is not listed", id)
	return ""
}

func (w *world) addEngine(region, id, address string) *engine.Server {
	e := engine.New(engine.Config{
		Instance:        platform.Instance{ID: id, Incarnation: "1", Region: region},
		TokenInterval:   20 * time.Millisecond,
		FirstTokenDelay: 50 * time.Millisecond,
		OutputTokens:    20,
	})
	w.engines[id] = e
	w.serve(region, address, e.Handler())
	w.directory.PutInstance(platform.Instance{ID: id, Incarnation: "1", Group: "assistant", Region: region, Address: address, State: platform.InstanceLive})
	return e
}

// addGateway starts a gateway; number tells its addresses.
func (w *world) addGateway(region string, number int) *node {
	id := fmt.Sprintf("gw%d-%s", number, region)
	host := fmt.Sprintf("10.9.0.%d", number)
	n := &node{
		id: id, region: region,
		callers: host + ":8000", peers: host + ":8001", admin: host + ":8002",
		hurry: make(chan struct{}), done: make(chan error, 1),
	}
	s := &settings.Gateway{
		ID: id, Region: region, DataCentre: region + "-1",
		Listen: n.callers, PeerListen: n.peers, AdminListen: n.admin, Advertise: n.callers, PeerAdvertise: n.peers,
		StoreURL: "http://" + storeAddress, DirectoryURL: "http://" + directoryAddress, InstancesURL: "http://" + directoryAddress,
		PeerSecrets: []string{"a-secret-of-the-gateways"}, AdminToken: "a-token-of-the-operators",
		MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, BodyTimeout: 5 * time.Second, DrainTimeout: 30 * time.Second,
		DialTimeout: time.Second, FirstTokenTimeout: 20 * time.Second, ChunkTimeout: 5 * time.Second,
		LoadPollInterval: time.Second, PeerExchangeInterval: 500 * time.Millisecond,
	}
	n.app = New(s, w.net.Host(region, id), log.NewWithOptions(w.logs, log.Options{Prefix: id}))
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.done <- n.app.Run(ctx, n.hurry) }()
	w.nodes[id] = n
	w.directory.PutInstance(platform.Instance{ID: id, Group: platform.GatewayGroup, Region: region, Address: n.peers, State: platform.InstanceLive})
	return n
}

// stop drains a gateway and returns how it ended.
func (w *world) stop(n *node) error {
	n.cancel()
	err := <-n.done
	delete(w.nodes, n.id)
	return err
}

// seed makes a gateway know a peer, as its setting --peers does.
func (w *world) seed(n, known *node) {
	n.app.exchange.AddSeed(known.peers)
}

// endpointState returns what a gateway's operators are shown of an endpoint.
func (w *world) endpointState(id, endpoint string) string {
	c := w.client(w.node(id), "a-token-of-the-operators")
	c.Address = w.node(id).admin
	a, err := c.Do(context.Background(), http.MethodGet, "/admin/v1/endpoints", nil, nil)
	require.NoError(w.t, err)
	var list []gateway.EndpointStatus
	require.NoError(w.t, json.Unmarshal(a.Body, &list))
	for _, e := range list {
		if e.ID == endpoint {
			return e.State
		}
	}
	return "not listed"
}

// keepChatting sends chats until stop, going to the next entry when an
// instance refuses truthfully. It fails at the first answer that is cut off or
// refused with nowhere to go.
func (w *world) keepChatting(entries []gateway.EntryGateway, stop <-chan struct{}) error {
	return w.keepChattingAs("demo-key-svealand", svealand, entries, stop)
}

// keepChattingAs is keepChatting for another customer.
func (w *world) keepChattingAs(key, region string, entries []gateway.EntryGateway, stop <-chan struct{}) error {
	transport := &http.Transport{DialContext: w.net.Host(region, "caller").Dial}
	defer transport.CloseIdleConnections()
	c := &caller.Client{HTTP: &http.Client{Transport: transport}, Key: key}
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		next, err := chatOnce(c, entries)
		if err != nil {
			return err
		}
		entries = next
	}
}

// longChat takes about eight seconds, longer than a gateway lingers at its end,
// so that a stop which doesn't wait for it is seen.
var longChat = caller.ChatBody{Model: "quilt-care", Messages: []caller.Message{{Role: "user", Content: "rolling"}}, MaxTokens: 400}

// chatOnce tries the entries in turn, and those that a refusal names, and
// returns the entries for the next time.
func chatOnce(c *caller.Client, entries []gateway.EntryGateway) ([]gateway.EntryGateway, error) {
	var last error = &caller.NoEntryError{}
	tried := map[string]bool{}
	for queue := slices.Clone(entries); len(queue) > 0; {
		e := queue[0]
		queue = queue[1:]
		if tried[e.Address] {
			continue
		}
		tried[e.Address] = true
		c.Address = e.Address
		s, err := c.Stream(context.Background(), longChat)
		if err == nil && s.Chunks != longChat.MaxTokens {
			return nil, &caller.BrokenStreamError{Event: s.Text}
		}
		if err == nil {
			return freshEntries(c, entries), nil
		}
		named, ok := refusedTruthfully(err)
		if !ok {
			return nil, err
		}
		queue = append(queue, named...)
		last = errors.CombineErrors(errors.Wrapf(err, "entry %s", e.Instance), last)
	}
	return nil, last
}

// refusedTruthfully says whether a chat certainly did not run, and returns the
// entries that the refusal names.
func refusedTruthfully(err error) ([]gateway.EntryGateway, bool) {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, true
	}
	var status *caller.StatusError
	var body gateway.ErrorBody
	if !errors.As(err, &status) || json.Unmarshal([]byte(status.Body), &body) != nil {
		return nil, false
	}
	return body.Error.Entries, body.Error.Outcome == failure.NotRun
}

func freshEntries(c *caller.Client, old []gateway.EntryGateway) []gateway.EntryGateway {
	a, err := c.Do(context.Background(), http.MethodGet, "/v1/entries", nil, nil)
	if err != nil || a.Status != http.StatusOK {
		return old
	}
	var out gateway.EntriesResponse
	if json.Unmarshal(a.Body, &out) != nil {
		return old
	}
	return out.Entries
}

// crash ends a gateway without any farewell: nothing that it does afterwards
// reaches anyone.
func (w *world) crash(n *node) {
	w.net.Kill(n.id)
	n.cancel()
	close(n.hurry)
	<-n.done
	delete(w.nodes, n.id)
}

// close ends everything, so that the bubble can end.
func (w *world) close() {
	for _, n := range w.nodes {
		n.cancel()
	}
	for _, n := range w.nodes {
		<-n.done
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, e := range w.engines {
		_ = e.Close()
	}
	for _, stop := range w.stops {
		stop()
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
}

// publish makes the sample deployment the next revision.
func (w *world) publish(extra ...intent.File) uint64 {
	w.t.Helper()
	files := sampleFolder(w.t)
	files = append(files, extra...)
	store := platform.NewHTTPStore("http://"+storeAddress, platform.Options{Dial: w.net.Host(svealand, "operator").Dial})
	defer store.Close()
	change := publish.Change{Author: "operator", Files: files, Replace: true}
	change.ID = publish.NewChangeID(change)
	outcome, err := publish.New(store, publish.Options{}).Apply(context.Background(), change)
	require.NoError(w.t, err)
	accepted, ok := outcome.(publish.Accepted)
	require.True(w.t, ok, "%+v", outcome)
	return accepted.Revision
}

func sampleFolder(t *testing.T) []intent.File {
	t.Helper()
	names, err := filepath.Glob("../../examples/luftvard/*.yaml")
	require.NoError(t, err)
	var files []intent.File
	for _, name := range names {
		content, err := os.ReadFile(name)
		require.NoError(t, err)
		files = append(files, intent.File{Name: filepath.Base(name), Content: content})
	}
	return files
}

// client returns a caller beside a gateway.
func (w *world) client(n *node, key string) *caller.Client {
	transport := &http.Transport{DialContext: w.net.Host(n.region, "caller").Dial}
	w.stops = append(w.stops, transport.CloseIdleConnections)
	return &caller.Client{HTTP: &http.Client{Transport: transport}, Address: n.callers, Key: key}
}

// await waits until ok, at most limit of virtual time.
func (w *world) await(limit time.Duration, what string, ok func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Fatalf("not within %s: %s", limit, what)
}

func (n *node) serving() bool {
	return n.app.Board().Lifecycle.Get() == blackboard.Serving
}

// knows says whether the gateway has load reports of so many endpoints.
func (n *node) knows(endpoints int) bool {
	count := 0
	n.app.Board().Endpoints.Range(func(_ string, e blackboard.EndpointState) bool {
		if e.HasReport {
			count++
		}
		return true
	})
	return count >= endpoints
}

// standard starts two gateways and the endpoints in each region.
func standard(t *testing.T) *world {
	w := newWorld(t)
	w.publish()
	for i, region := range allRegions {
		w.addEndpoints(region)
		w.addGateway(region, 2*i+1)
		w.addGateway(region, 2*i+2)
	}
	w.await(20*time.Second, "every gateway serves and knows its endpoints and the other regions", func() bool {
		for _, n := range w.nodes {
			if !n.serving() || !n.knows(2) || n.app.Board().Regions.Len() < 2 || n.app.Board().Peers.Len() < 1 {
				return false
			}
		}
		return true
	})
	return w
}

func (w *world) node(id string) *node {
	n := w.nodes[id]
	require.NotNil(w.t, n, id)
	return n
}

func chatBody(text string) caller.ChatBody {
	return caller.ChatBody{Model: "quilt-care", Messages: []caller.Message{{Role: "user", Content: text}}, MaxTokens: 10}
}

func (w *world) entries(c *caller.Client) gateway.EntriesResponse {
	w.t.Helper()
	a, err := c.Do(context.Background(), http.MethodGet, "/v1/entries", nil, nil)
	require.NoError(w.t, err)
	require.Equal(w.t, http.StatusOK, a.Status, string(a.Body))
	var out gateway.EntriesResponse
	require.NoError(w.t, json.Unmarshal(a.Body, &out))
	return out
}
