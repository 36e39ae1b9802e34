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
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/edgeserver"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/platform"
	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// system is a deployment of real gateways on loopback addresses, with a store
// and endpoints of two regions.
type system struct {
	t         *testing.T
	store     *platformtest.Store
	address   string
	gateways  map[string]*gateway
	endpoints map[string]*platformtest.FakeEndpoint
	servers   map[string]*httptest.Server
	version   int
	// base is the first of the ports that this system uses.
	base int
}

// nextHost numbers the loopback addresses that tests use.
var nextHost atomic.Int32

type gateway struct {
	site *settings.Site
	app  *edgeserver.Server
	stop context.CancelFunc
	done chan error
}

func newSystem(t *testing.T) *system {
	s := &system{t: t, store: platformtest.NewStore(), gateways: map[string]*gateway{}, endpoints: map[string]*platformtest.FakeEndpoint{}, servers: map[string]*httptest.Server{}, base: 20000}
	server := httptest.NewServer(s.store)
	s.address = strings.TrimPrefix(server.URL, "http://")
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

// endpoint starts an endpoint of a service and writes its entry.
func (s *system) endpoint(id, service, zone string) *platformtest.FakeEndpoint {
	server := httptest.NewUnstartedServer(nil)
	e := platformtest.NewFakeEndpoint(s.store, id, service, server.Listener.Addr().String(), zone, 0)
	server.Config.Handler = e
	server.Start()
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.endpoints[id], s.servers[id] = e, server
	require.NoError(s.t, e.WriteHeartbeat())
	return e
}

// route puts a new configuration in force in which a path leads to a service.
func (s *system) route(path, service string, homes ...string) {
	s.version += 3
	if homes == nil {
		homes = []string{}
	}
	value, err := json.Marshal(map[string]any{
		"version": s.version,
		"routes": []any{map[string]any{
			"name": "r", "host": "a.example", "prefix": path, "kind": "idempotent", "timeout-ms": 3000,
			"target-latency-ms": 500, "service": service, "max-attempts": 2, "home-regions": homes,
		}},
		"services": []any{map[string]any{"name": service}},
		"limits":   map[string]any{"max-body-bytes": 1 << 20},
	})
	require.NoError(s.t, err)
	s.store.Put("op/config", value)
}

var zones = map[string]string{"north-a": "north", "south-a": "south"}

// start starts a gateway, on the addresses that it had if it ran before.
func (s *system) start(id, zone string) *gateway {
	site := &settings.Site{}
	if old, ok := s.gateways[id]; ok {
		site = old.site
	} else {
		ip := fmt.Sprintf("127.0.%d.1", nextHost.Add(1)+10)
		at := func(n int) string { return net.JoinHostPort(ip, fmt.Sprint(s.base+n)) }
		*site = settings.Site{
			Instance: id, Region: zones[zone], DataCentre: zone, Regions: zones, IP: ip,
			CallerAddress: at(0), ReadyAddress: at(1), PeerAddress: at(2), DirectoryAddress: at(3),
			FirstPort: s.base + 10, LastPort: s.base + 20, StoreAddress: s.address,
			HeartbeatInterval: 1200 * time.Millisecond, LinkMbps: 100, Processor: 1,
			Bounds: settings.Bounds{
				Grace: 8 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
				ColdOverage: 1.5, ColdSlack: 3,
			},
		}
		for _, g := range s.gateways {
			site.Seeds = append(site.Seeds, g.site.PeerAddress)
		}
	}
	client := platform.NewStore(s.address, platform.StoreOptions{})
	app, err := edgeserver.New(site, edgeserver.Platform{
		Settings:       func() (*settings.Site, error) { return site, nil },
		Store:          client,
		OperatorSource: platform.OperatorSource{Store: client},
		EndpointSource: platform.EndpointSource{Store: client},
		Codec:          platform.HeaderCodec{},
		NewDirectoryHandler: func(addresses func(host, region string) ([]string, time.Duration)) http.Handler {
			return platform.DirectoryHandler(directory(addresses))
		},
		NewReadinessHandler: platform.ReadyHandler,
	}, log.New(io.Discard))
	require.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	g := &gateway{site: site, app: app, stop: stop, done: make(chan error, 1)}
	go func() { g.done <- app.Run(ctx) }()
	s.gateways[id] = g
	return g
}

type directory func(host, region string) ([]string, time.Duration)

func (d directory) Addresses(host string, from platform.ClientLocation) ([]string, time.Duration) {
	return d(host, from.Region)
}

var callID atomic.Int64

// call sends a request and returns the status, 0 if there was no answer.
func (g *gateway) call(path string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	id := fmt.Sprintf("%x", callID.Add(1))
	reply, err := platformtest.ClientRequest{
		AttemptID: id, Host: "a.example", Method: http.MethodGet, Target: path, Timeout: 4 * time.Second,
	}.Send(context.Background(), client, g.site.CallerAddress)
	if err != nil {
		return 0
	}
	return reply.Status
}

func (g *gateway) ready() bool {
	resp, err := http.Get("http://" + g.site.ReadyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// resolve asks the gateway's directory.
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

// within checks that something becomes true in time.
func (s *system) within(limit time.Duration, what string, check func() bool) {
	s.t.Helper()
	require.Eventually(s.t, check, limit, 20*time.Millisecond, what)
}
