package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// Size of the deployment.
const (
	gatewaysPerZone  = 2
	endpointsPerZone = 4
)

// Times of the deployment. The bounds equal those of the gateways' settings.
const (
	// heartbeatInterval is the time between two heartbeats of an endpoint.
	heartbeatInterval = 400 * time.Millisecond
	// drainBound limits how long a leaving endpoint may still get requests,
	// configBound how long a replaced configuration may stay in force.
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
	// contactBound is how long a deployment must have been free of faults before
	// the other bounds hold.
	contactBound = 5 * time.Second
	// workTime is the usual processing time of a request at an endpoint.
	workTime = 60 * time.Millisecond
)

// testRun is one run of the soak test: the deployment and the history of calls and
// faults.
type testRun struct {
	t        *testing.T
	seed     int64
	dir      string
	store    *platformtest.Store
	gateways []*gateway
	history  *history

	mu            sync.Mutex
	random        *rand.Rand
	liveEndpoints []*testEndpoint
	// allEndpoints also holds the endpoints that have crashed or left.
	allEndpoints      []*testEndpoint
	lastConfigVersion int
}

// testEndpoint is one fake endpoint with its server and the proxy in front of it.
// It is never started again: replacements have new IDs.
type testEndpoint struct {
	*platformtest.FakeEndpoint
	zone              string
	service           string
	server            *httptest.Server
	proxy             *proxy
	heartbeatStop     chan struct{}
	heartbeatStopOnce sync.Once
	// departureAt is the time at which the store showed that the endpoint leaves,
	// zero if it never did. history.mu protects it.
	departureAt time.Time
	reserved    bool
}

// newTestRun starts the store, the endpoints and the gateways of a run, which end
// with the test.
func newTestRun(t *testing.T, binary string, seed int64) *testRun {
	dir := filepath.Join("..", "..", "out", fmt.Sprintf("soak-%d", seed))
	require.NoError(t, os.RemoveAll(dir))
	require.NoError(t, os.MkdirAll(dir, 0o755))
	r := &testRun{
		t: t, seed: seed, dir: dir, store: platformtest.NewStore(), history: newHistory(),
		random: rand.New(rand.NewPCG(uint64(seed), 0)),
	}
	server := httptest.NewServer(r.store)
	t.Cleanup(func() {
		r.store.SetFaults(platformtest.Faults{})
		server.CloseClientConnections()
		server.Close()
	})
	for _, zone := range []string{"north-a", "south-a"} {
		for range endpointsPerZone {
			r.addEndpoint(zone, serviceName(len(r.allEndpoints)))
		}
	}
	r.publishConfig()
	n := 0
	for _, zone := range []string{"north-a", "south-a"} {
		for range gatewaysPerZone {
			n++
			r.addGateway(binary, zone, n, server.Listener.Addr().String())
		}
	}
	for _, g := range r.gateways {
		r.writeGatewaySettings(g, 50)
		g.start()
	}
	t.Cleanup(func() {
		for _, g := range r.gateways {
			_ = g.process.Cmd.Process.Kill()
			g.waitExit(gracePeriod)
			_ = g.log.Close()
		}
	})
	return r
}

func (r *testRun) addGateway(binary, zone string, number int, storeAddress string) {
	name := fmt.Sprintf("%s-%d", zone, number)
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	require.NoError(r.t, err)
	g := &gateway{t: r.t, binary: binary, name: name, zone: zone, ip: loopbackIP(r.seed, number), log: log}
	g.settingsFile = filepath.Join(r.t.TempDir(), "node.yaml")
	g.storeProxy = newProxy(r.t, net.JoinHostPort(g.ip, "0"), storeAddress)
	g.callerProxy = newProxy(r.t, net.JoinHostPort(g.ip, "0"), g.address(0))
	r.gateways = append(r.gateways, g)
}

// loopbackIP returns the address of a gateway, which differs between nearby seeds
// so that several runs can share a machine.
func loopbackIP(seed int64, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+seed%128, seed/128%250, number)
}

// writeGatewaySettings writes the settings of a gateway, with all gateways as
// gossip seeds.
func (r *testRun) writeGatewaySettings(g *gateway, budgetSlack int) {
	var seeds []string
	for _, seed := range r.gateways {
		seeds = append(seeds, fmt.Sprintf("%q", seed.address(2)))
	}
	g.writeSettings(seeds, budgetSlack)
}

// addEndpoint starts an endpoint and its heartbeats.
func (r *testRun) addEndpoint(zone, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := fmt.Sprintf("i-%d-%d", r.seed, len(r.allEndpoints))
	server := httptest.NewUnstartedServer(nil)
	p := newProxy(r.t, "127.0.0.1:0", server.Listener.Addr().String())
	e := &testEndpoint{
		FakeEndpoint: platformtest.NewFakeEndpoint(r.store, id, service, p.address(), zone, workTime),
		zone:         zone, service: service, server: server, proxy: p, heartbeatStop: make(chan struct{}),
	}
	server.Config.Handler = e.FakeEndpoint
	server.Start()
	r.t.Cleanup(e.close)
	r.allEndpoints = append(r.allEndpoints, e)
	r.liveEndpoints = append(r.liveEndpoints, e)
	go e.sendHeartbeats(r.t)
}

// sendHeartbeats writes the endpoint's entry to the store every heartbeatInterval
// until stopHeartbeats is called.
func (e *testEndpoint) sendHeartbeats(t *testing.T) {
	for {
		if err := e.WriteHeartbeat(); err != nil {
			t.Error(err)
			return
		}
		select {
		case <-e.heartbeatStop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// close ends the endpoint abruptly, as a crash does: requests in flight are aborted
// and new connections reset. Further calls have no effect.
func (e *testEndpoint) close() {
	e.stopHeartbeats()
	e.server.CloseClientConnections()
	_ = e.server.Listener.Close()
	e.proxy.setFault(resetConns)
}

// stopHeartbeats ends the heartbeats. It may be called more than once.
func (e *testEndpoint) stopHeartbeats() { e.heartbeatStopOnce.Do(func() { close(e.heartbeatStop) }) }

// shutdownTimeout limits how long an endpoint waits for requests in flight at its
// shutdown. A request whose connection was silenced would hold it up for good.
const shutdownTimeout = 3 * time.Second

// shutDown ends the endpoint after its requests in flight, or after
// shutdownTimeout.
func (e *testEndpoint) shutDown() {
	e.stopHeartbeats()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	// An error means that requests were still in flight.
	_ = e.server.Config.Shutdown(ctx)
	e.close()
}

// serviceName assigns numbers to the two services in turn.
func serviceName(number int) string { return fmt.Sprintf("service-%d", number%2) }

// Path prefixes and host of the routes, and the home region of the route of
// homePath.
const (
	bookPath   = "/book/"
	readPath   = "/read/"
	homePath   = "/home/"
	movedPath  = "/moved/"
	host       = "a.example"
	homeRegion = "north"
)

// publishConfig writes a new version of the configuration to the store. The route
// of movedPath leads to a randomly chosen service.
func (r *testRun) publishConfig() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastConfigVersion += 1 + r.random.IntN(4)
	service := serviceName(r.random.IntN(2))
	route := func(name, prefix, kind, service string, attempts int, homeRegions ...string) map[string]any {
		if homeRegions == nil {
			homeRegions = []string{}
		}
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout-ms": 2500, "target-latency-ms": 400,
			"service": service, "max-attempts": attempts, "home-regions": homeRegions, "resumable": kind == "streaming",
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": r.lastConfigVersion,
		"routes": []any{
			route("book", bookPath, "non_idempotent", "service-0", 1),
			route("read", readPath, "idempotent", "service-1", 2),
			route("home", homePath, "idempotent", "service-0", 2, homeRegion),
			route("moved", movedPath, "idempotent", service, 2),
			route("stream", platformtest.StreamPathPrefix, "streaming", "service-1", 3),
		},
		"services": []any{map[string]any{"name": "service-0"}, map[string]any{"name": "service-1"}},
		"limits":   map[string]any{"max-body-bytes": 1 << 20},
	})
	require.NoError(r.t, err)
	r.store.PutConfig(value)
	r.history.addConfigVersion(service, time.Now())
}

// randomInt returns a random number in [0, n).
func (r *testRun) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// randomDuration returns a random duration in [from, to).
func (r *testRun) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(r.randomInt(int(to-from)))
}

// newClient returns a client that reuses connections and asks for no compression.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
}
