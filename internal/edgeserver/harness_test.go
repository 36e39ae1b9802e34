package edgeserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/edgeserver"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/standin/adoptions"
	"github.com/hickorystage/hickorystage/platform"
	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// system is a set of real gateways on loopback addresses, with a fake store and fake
// endpoints in two regions.
type system struct {
	t            *testing.T
	store        *platformtest.Store
	storeAddress string
	gateways     map[string]*gateway
	endpoints    map[string]*platformtest.FakeEndpoint
	servers      map[string]*httptest.Server
	version      int
	// routeKind and routeTimeout are those of the routes that setRoute writes.
	routeKind    string
	routeTimeout time.Duration
	// pause holds the gateways' calls to the store back while it is locked.
	pause sync.RWMutex
	// endpointPace switches on the pace of endpoints at gateways that start from now on.
	endpointPace bool
	// basePort is the first of the ports that each gateway uses.
	basePort int
}

// nextHost is the number of loopback addresses given out so far.
var nextHost atomic.Int32

// gateway is a running gateway; done receives the result of its Run.
type gateway struct {
	site   *settings.PlatformSettings
	server *edgeserver.Server
	stop   context.CancelFunc
	done   chan error
}

func newSystem(t *testing.T) *system {
	s := &system{t: t, store: platformtest.NewStore(), gateways: map[string]*gateway{}, endpoints: map[string]*platformtest.FakeEndpoint{}, servers: map[string]*httptest.Server{}, routeKind: "idempotent", routeTimeout: 3 * time.Second, basePort: 20000}
	server := httptest.NewServer(s.store)
	s.storeAddress = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() {
		for _, g := range s.gateways {
			g.stop()
		}
		for _, g := range s.gateways {
			<-g.done
		}
		s.store.SetFaults(platformtest.Faults{})
		server.CloseClientConnections()
		server.Close()
	})
	return s
}

// startEndpoint starts an endpoint of a service and writes its entry to the store.
func (s *system) startEndpoint(id, service, zone string) *platformtest.FakeEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	e := platformtest.NewFakeEndpoint(s.store, id, service, listener.Addr().String(), zone, 0)
	s.serveEndpoint(e, listener)
	require.NoError(s.t, e.WriteHeartbeat())
	return e
}

// serveEndpoint lets the endpoint serve at the listener's address.
func (s *system) serveEndpoint(e *platformtest.FakeEndpoint, listener net.Listener) {
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: e}}
	server.Start()
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.endpoints[e.ID()], s.servers[e.ID()] = e, server
}

// setRoute writes a new configuration to the store, with one route from the path prefix
// to the service.
func (s *system) setRoute(path, service string, homes ...string) {
	s.setRouteTo(path, map[string]any{"name": service}, homes...)
}

// setRouteTo is like setRoute for a service with the given properties.
func (s *system) setRouteTo(path string, service map[string]any, homes ...string) {
	s.version += 3
	if homes == nil {
		homes = []string{}
	}
	value, err := json.Marshal(map[string]any{
		"version": s.version,
		"routes": []any{map[string]any{
			"name": "r", "host": "a.example", "prefix": path, "kind": s.routeKind, "timeout-ms": s.routeTimeout.Milliseconds(),
			"target-latency-ms": 500, "service": service["name"], "max-attempts": 2, "home-regions": homes,
		}},
		"services": []any{service},
		"limits":   map[string]any{"max-body-bytes": 1 << 20},
	})
	require.NoError(s.t, err)
	s.store.PutConfig(value)
}

// zones maps data centres to regions.
var zones = map[string]string{"north-a": "north", "south-a": "south"}

// loopbackNetwork is the second byte of the loopback addresses of this process. A listener
// claims it, since several checkouts may run these tests at a time.
type loopbackNetwork struct {
	number int
	claim  net.Listener
}

var claimNetwork = sync.OnceValue(func() loopbackNetwork {
	for n := 1; n < 255; n++ {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:19999", n)); err == nil {
			return loopbackNetwork{number: n, claim: l}
		}
	}
	panic("every loopback network is in use")
})

// newHost returns a loopback address that nothing else uses.
func newHost() string {
	n := nextHost.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", claimNetwork().number, n/250, 1+n%250)
}

// newSite returns the settings of a new gateway, with addresses of its own.
func (s *system) newSite(id, zone string) *settings.PlatformSettings {
	ip := newHost()
	at := func(n int) string { return net.JoinHostPort(ip, fmt.Sprint(s.basePort+n)) }
	site := &settings.PlatformSettings{
		Instance: id, Region: zones[zone], DataCentre: zone, Regions: zones, IP: ip,
		CallerAddress: at(0), ReadyAddress: at(1), PeerAddress: at(2), DirectoryAddress: at(3),
		FirstPort: s.basePort + 10, LastPort: s.basePort + 20, StoreAddress: s.storeAddress,
		HeartbeatInterval: 1200 * time.Millisecond, LinkMbps: 100, CPUCores: 1,
		Limits: settings.Limits{
			ShutdownGrace: 8 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
			ColdOverage: 1.5, ColdSlack: 3,
		},
	}
	for _, g := range s.gateways {
		site.Seeds = append(site.Seeds, g.site.PeerAddress)
	}
	return site
}

func (s *system) newServer(site *settings.PlatformSettings) (*edgeserver.Server, error) {
	client := &pausableStore{Store: platform.NewStore(s.storeAddress, platform.StoreOptions{}), pause: &s.pause}
	return edgeserver.New(site, edgeserver.Platform{
		Settings:       func() (*settings.PlatformSettings, error) { return site, nil },
		Store:          client,
		OperatorSource: platform.OperatorSource{Store: client},
		EndpointSource: platform.EndpointSource{Store: client},
		Codec:          platform.HeaderCodec{},
		EndpointPace:   s.endpointPace,
		NewDirectoryHandler: func(addresses func(host, region string) ([]string, time.Duration)) http.Handler {
			return platform.DirectoryHandler(directory(addresses))
		},
		NewReadinessHandler: platform.ReadyHandler,
	}, log.New(adoptions.Watch(s.t, site.Instance, io.Discard)))
}

// startGateway starts a gateway; one that ran before gets the same addresses again.
func (s *system) startGateway(id, zone string) *gateway {
	var site *settings.PlatformSettings
	if old, ok := s.gateways[id]; ok {
		site = old.site
	} else {
		site = s.newSite(id, zone)
	}
	server, err := s.newServer(site)
	require.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	g := &gateway{site: site, server: server, stop: stop, done: make(chan error, 1)}
	go func() { g.done <- server.Run(ctx) }()
	s.gateways[id] = g
	return g
}

// directory implements platform.Directory.
type directory func(host, region string) ([]string, time.Duration)

func (d directory) Addresses(host string, from platform.ClientLocation) ([]string, time.Duration) {
	return d(host, from.Region)
}

// callID is the id of the last call.
var callID atomic.Int64

// call sends a request on a connection of its own and returns the status, 0 if there
// was no response.
func (g *gateway) call(path string) int {
	_, status := g.callKept(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, path)
	return status
}

// callKept sends a request by the client's connections and returns its attempt id and
// the status, 0 if there was no complete response.
func (g *gateway) callKept(client *http.Client, path string) (id string, status int) {
	id = fmt.Sprintf("%x", callID.Add(1))
	reply, err := platformtest.ClientRequest{
		AttemptID: id, Host: "a.example", Method: http.MethodGet, Target: path, Timeout: 4 * time.Second,
	}.Send(context.Background(), client, g.site.CallerAddress)
	if err != nil {
		return id, 0
	}
	return id, reply.Status
}

func (g *gateway) ready() bool {
	resp, err := http.Get("http://" + g.site.ReadyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// resolve returns the addresses that the gateway's directory names for a region.
func (g *gateway) resolve(region string) []string {
	resp, err := http.Get("http://" + g.site.DirectoryAddress + "/resolve?name=a.example&region=" + region)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return nil
	}
	return body.Addresses
}

// eventually fails the test unless check returns true within limit.
func (s *system) eventually(limit time.Duration, what string, check func() bool) {
	s.t.Helper()
	require.Eventually(s.t, check, limit, 20*time.Millisecond, what)
}
