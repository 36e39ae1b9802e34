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
	"sync"
	"testing"
	"testing/synctest"
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
	"github.com/hickorystage/hickorystage/internal/standin/adoptions"
	"github.com/hickorystage/hickorystage/internal/standin/caller"
	"github.com/hickorystage/hickorystage/internal/standin/directory"
	"github.com/hickorystage/hickorystage/internal/standin/engine"
	"github.com/hickorystage/hickorystage/internal/standin/kv"
	"github.com/hickorystage/hickorystage/internal/standin/memnet"
	"github.com/hickorystage/hickorystage/internal/standin/service"
)

// The regions of the test deployment, and the addresses and delays of its
// platform. The store and the directory run in the first region.
const (
	svealand = "svealand"
	norrland = "norrland"
	gotaland = "gotaland"

	storeAddress     = "10.0.0.1:7100"
	directoryAddress = "10.0.0.1:7200"
	oneWayDelay      = 55 * time.Millisecond
	directoryLag     = 500 * time.Millisecond
)

var allRegions = []string{svealand, norrland, gotaland}

// testDeployment is a whole deployment in one process, over an in-memory network.
type testDeployment struct {
	t         *testing.T
	net       *memnet.Network
	store     *kv.Server
	directory *directory.Server
	engines   map[string]*engine.Server
	services  map[string]*service.Server
	gateways  map[string]*testGateway
	servers   map[string]*http.Server
	// cleanupMu guards cleanups.
	cleanupMu sync.Mutex
	cleanups  []func()
	logOutput io.Writer
}

// testGateway is one gateway of a test deployment.
type testGateway struct {
	id, region                               string
	callerAddress, peerAddress, adminAddress string
	app                                      *App
	cancel                                   context.CancelFunc
	forceStop                                chan struct{}
	done                                     chan error
}

func newDeployment(t *testing.T) *testDeployment {
	t.Helper()
	d := &testDeployment{
		t:         t,
		net:       memnet.NewNetwork(oneWayDelay),
		store:     kv.New(kv.Limits{}),
		directory: directory.New(directoryLag),
		engines:   make(map[string]*engine.Server),
		services:  make(map[string]*service.Server),
		gateways:  make(map[string]*testGateway),
		servers:   make(map[string]*http.Server),
		logOutput: io.Discard,
	}
	if os.Getenv("WORLD_LOG") != "" {
		d.logOutput = os.Stderr
	}
	d.serve(svealand, storeAddress, d.store.Handler())
	d.serve(svealand, directoryAddress, d.directory.Handler())
	return d
}

// serve serves a handler at an address of the in-memory network.
func (d *testDeployment) serve(zone, address string, h http.Handler) {
	ln, err := d.net.Host(zone, address).Listen(address)
	require.NoError(d.t, err)
	s := &http.Server{Handler: h}
	d.servers[address] = s
	go func() { _ = s.Serve(ln) }()
}

// kill closes a server and resets its connections.
func (d *testDeployment) kill(address string) {
	if s := d.servers[address]; s != nil {
		_ = s.Close()
		delete(d.servers, address)
	}
	d.net.Reset(address)
}

// addEndpoints adds an engine and a booking service to a region.
func (d *testDeployment) addEndpoints(region string) {
	n := len(d.engines) + 1
	d.addEngine(region, fmt.Sprintf("engine-%s", region), fmt.Sprintf("10.1.0.%d:80", n))
	d.addService(region, "booking-"+region, fmt.Sprintf("10.2.0.%d:80", n))
}

// addService adds a booking service to a region.
func (d *testDeployment) addService(region, id, address string) *service.Server {
	s := service.New(service.Config{ID: id, MaxConcurrent: 8})
	d.services[id] = s
	d.serve(region, address, s.Handler())
	d.directory.PutInstance(platform.Instance{ID: id, Incarnation: "1", Group: "booking", Region: region, Address: address, State: platform.InstanceLive})
	return s
}

// addressOf returns the address of a listed instance.
func (d *testDeployment) addressOf(id string) string {
	d.t.Helper()
	for _, in := range d.directory.Instances("") {
		if in.ID == id {
			return in.Address
		}
	}
	d.t.Fatalf("instance %s is not listed", id)
	return ""
}

func (d *testDeployment) addEngine(region, id, address string) *engine.Server {
	e := engine.New(engine.Config{
		Instance:        platform.Instance{ID: id, Incarnation: "1", Region: region},
		TokenInterval:   20 * time.Millisecond,
		FirstTokenDelay: 50 * time.Millisecond,
		OutputTokens:    20,
	})
	d.engines[id] = e
	d.serve(region, address, e.Handler())
	d.directory.PutInstance(platform.Instance{ID: id, Incarnation: "1", Group: "assistant", Region: region, Address: address, State: platform.InstanceLive})
	return e
}

// addGateway starts a gateway. Its ID and addresses are derived from number.
func (d *testDeployment) addGateway(region string, number int) *testGateway {
	id := fmt.Sprintf("gw%d-%s", number, region)
	host := fmt.Sprintf("10.9.0.%d", number)
	gw := &testGateway{
		id: id, region: region,
		callerAddress: host + ":8000", peerAddress: host + ":8001", adminAddress: host + ":8002",
		forceStop: make(chan struct{}), done: make(chan error, 1),
	}
	s := &settings.Gateway{
		ID: id, Region: region, DataCentre: region + "-1",
		Listen: gw.callerAddress, PeerListen: gw.peerAddress, AdminListen: gw.adminAddress, Advertise: gw.callerAddress, PeerAdvertise: gw.peerAddress,
		StoreURL: "http://" + storeAddress, DirectoryURL: "http://" + directoryAddress, InstancesURL: "http://" + directoryAddress,
		PeerSecrets: []string{"a-secret-of-the-gateways"}, AdminToken: "a-token-of-the-operators",
		MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, BodyTimeout: 5 * time.Second, DrainTimeout: 30 * time.Second,
		DialTimeout: time.Second, FirstTokenTimeout: 20 * time.Second, ChunkTimeout: 5 * time.Second,
		LoadPollInterval: time.Second, PeerExchangeInterval: 500 * time.Millisecond,
	}
	gw.app = New(s, d.net.Host(region, id), log.NewWithOptions(adoptions.Watch(d.t, id, d.logOutput), log.Options{Prefix: id}))
	ctx, cancel := context.WithCancel(context.Background())
	gw.cancel = cancel
	go func() { gw.done <- gw.app.Run(ctx, gw.forceStop) }()
	d.gateways[id] = gw
	d.directory.PutInstance(platform.Instance{ID: id, Group: platform.GatewayGroup, Region: region, Address: gw.peerAddress, State: platform.InstanceLive})
	return gw
}

// stop shuts a gateway down gracefully and returns the error of its Run.
func (d *testDeployment) stop(gw *testGateway) error {
	gw.cancel()
	err := <-gw.done
	delete(d.gateways, gw.id)
	return err
}

// addSeed gives a gateway the address of a peer, as the flag --peers does.
func (d *testDeployment) addSeed(gw, peer *testGateway) {
	gw.app.gossip.AddSeed(peer.peerAddress)
}

// endpointState returns the state of an endpoint in a gateway's admin API.
func (d *testDeployment) endpointState(id, endpoint string) string {
	c := d.client(d.gateway(id), "a-token-of-the-operators")
	c.Address = d.gateway(id).adminAddress
	a, err := c.Do(context.Background(), http.MethodGet, "/admin/v1/endpoints", nil, nil)
	require.NoError(d.t, err)
	var list []gateway.EndpointStatus
	require.NoError(d.t, json.Unmarshal(a.Body, &list))
	for _, e := range list {
		if e.ID == endpoint {
			return e.State
		}
	}
	return "not listed"
}

// streamChatsUntil streams one chat after the other until stop is closed. It goes
// on to the next entry gateway if one certainly has not run the chat, and returns
// an error if a response is cut off or no entry gateway is left.
func (d *testDeployment) streamChatsUntil(entries []gateway.EntryGateway, stop <-chan struct{}) error {
	return d.streamChatsAs("demo-key-svealand", svealand, entries, stop)
}

// streamChatsAs is streamChatsUntil with the customer's key and the caller's region.
func (d *testDeployment) streamChatsAs(key, region string, entries []gateway.EntryGateway, stop <-chan struct{}) error {
	transport := &http.Transport{DialContext: d.net.Host(region, "caller").Dial}
	defer transport.CloseIdleConnections()
	c := &caller.Client{HTTP: &http.Client{Transport: transport}, Key: key}
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		next, err := streamFromAnyEntry(c, entries)
		if err != nil {
			return err
		}
		entries = next
	}
}

// longChat takes about eight seconds. That is longer than a gateway keeps its
// servers open at the end of a shutdown, so a shutdown that does not wait for the
// chat cuts it off.
var longChat = caller.ChatBody{Model: "quilt-care", Messages: []caller.Message{{Role: "user", Content: "rolling"}}, MaxTokens: 400}

// streamFromAnyEntry streams longChat from the first entry gateway that serves it.
// It tries the given entries and then those that refusals name. It returns the
// entries to use for the next chat.
func streamFromAnyEntry(c *caller.Client, entries []gateway.EntryGateway) ([]gateway.EntryGateway, error) {
	var last error = &caller.NoGatewayError{}
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
			return nil, &caller.IncompleteStreamError{Event: s.Text}
		}
		if err == nil {
			return refreshEntries(c, entries), nil
		}
		named, ok := entriesIfNotRun(err)
		if !ok {
			return nil, err
		}
		queue = append(queue, named...)
		last = errors.CombineErrors(errors.Wrapf(err, "entry %s", e.Instance), last)
	}
	return nil, last
}

// entriesIfNotRun reports whether a chat certainly has not run, and returns the
// entry gateways that the refusal names, if there is one.
func entriesIfNotRun(err error) ([]gateway.EntryGateway, bool) {
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

// refreshEntries asks the gateway for the current entries, and returns the old ones
// if it does not answer.
func refreshEntries(c *caller.Client, old []gateway.EntryGateway) []gateway.EntryGateway {
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

// crash simulates a killed process: it cuts the gateway off from the network first,
// so that no other process sees it shut down.
func (d *testDeployment) crash(gw *testGateway) {
	d.net.Kill(gw.id)
	gw.cancel()
	close(gw.forceStop)
	<-gw.done
	delete(d.gateways, gw.id)
}

// close stops everything: a synctest bubble ends only when all of its goroutines
// have ended.
func (d *testDeployment) close() {
	for _, gw := range d.gateways {
		gw.cancel()
	}
	for _, gw := range d.gateways {
		<-gw.done
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	for _, e := range d.engines {
		_ = e.Close()
	}
	d.cleanupMu.Lock()
	defer d.cleanupMu.Unlock()
	for _, stop := range d.cleanups {
		stop()
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
}

// addCleanup adds what close does at its end.
func (d *testDeployment) addCleanup(f func()) {
	d.cleanupMu.Lock()
	defer d.cleanupMu.Unlock()
	d.cleanups = append(d.cleanups, f)
}

// closeAndCheckMemory is close. Whatever the test did, no request may leave bytes in the
// memory account of its gateway.
func (d *testDeployment) closeAndCheckMemory() {
	d.close()
	synctest.Wait()
	for id, gw := range d.gateways {
		require.Zero(d.t, gw.app.memory.Usage().InUse, id)
	}
}

// publish publishes the sample configuration with the extra files, and returns the
// new revision.
func (d *testDeployment) publish(extra ...intent.File) uint64 {
	d.t.Helper()
	files := sampleConfigFiles(d.t)
	files = append(files, extra...)
	store := platform.NewHTTPStore("http://"+storeAddress, platform.Options{Dial: d.net.Host(svealand, "operator").Dial})
	defer store.Close()
	change := publish.Change{Author: "operator", Files: files, Replace: true}
	change.ID = publish.NewChangeID(change)
	outcome, err := publish.New(store, publish.Options{}).Apply(context.Background(), change)
	require.NoError(d.t, err)
	accepted, ok := outcome.(publish.Accepted)
	require.True(d.t, ok, "%+v", outcome)
	return accepted.Revision
}

func sampleConfigFiles(t *testing.T) []intent.File {
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

// client returns a caller in the gateway's region with connections of its own.
func (d *testDeployment) client(gw *testGateway, key string) *caller.Client {
	transport := &http.Transport{DialContext: d.net.Host(gw.region, "caller").Dial}
	d.addCleanup(transport.CloseIdleConnections)
	return &caller.Client{HTTP: &http.Client{Transport: transport}, Address: gw.callerAddress, Key: key}
}

// await waits until ok returns true, and fails the test after limit (virtual time).
func (d *testDeployment) await(limit time.Duration, what string, ok func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	d.t.Fatalf("condition not met within %s: %s", limit, what)
}

func (gw *testGateway) isServing() bool {
	return gw.app.Board().Lifecycle.Get() == blackboard.Serving
}

// hasLoadReports reports whether the gateway has load reports of at least the given
// number of endpoints.
func (gw *testGateway) hasLoadReports(endpoints int) bool {
	count := 0
	gw.app.Board().Endpoints.Range(func(_ string, e blackboard.EndpointState) bool {
		if e.HasReport {
			count++
		}
		return true
	})
	return count >= endpoints
}

// startStandardDeployment starts two gateways, an engine and a booking service in
// each region, and waits until every gateway serves and knows them.
func startStandardDeployment(t *testing.T) *testDeployment {
	d := newDeployment(t)
	d.publish()
	for i, region := range allRegions {
		d.addEndpoints(region)
		d.addGateway(region, 2*i+1)
		d.addGateway(region, 2*i+2)
	}
	d.await(20*time.Second, "every gateway serves and knows its endpoints and the other regions", func() bool {
		for _, gw := range d.gateways {
			if !gw.isServing() || !gw.hasLoadReports(2) || gw.app.Board().Regions.Len() < 2 || gw.app.Board().Peers.Len() < 1 {
				return false
			}
		}
		return true
	})
	return d
}

func (d *testDeployment) gateway(id string) *testGateway {
	gw := d.gateways[id]
	require.NotNil(d.t, gw, id)
	return gw
}

func chatBody(text string) caller.ChatBody {
	return caller.ChatBody{Model: "quilt-care", Messages: []caller.Message{{Role: "user", Content: text}}, MaxTokens: 10}
}

func (d *testDeployment) entries(c *caller.Client) gateway.EntriesResponse {
	d.t.Helper()
	a, err := c.Do(context.Background(), http.MethodGet, "/v1/entries", nil, nil)
	require.NoError(d.t, err)
	require.Equal(d.t, http.StatusOK, a.Status, string(a.Body))
	var out gateway.EntriesResponse
	require.NoError(d.t, json.Unmarshal(a.Body, &out))
	return out
}
