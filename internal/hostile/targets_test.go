package hostile

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/processtest"
	"github.com/hickorystage/hickorystage/internal/standin/caller"
	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// Limits of the attacked processes. Memory is that of the smallest machines; descriptors
// are a third of the fewest, so that a small crowd exceeds them.
const (
	memoryLimitMB  = 144
	maxDescriptors = 1000
)

// Limits on what callers send, as the operators' examples have them.
const (
	maxHeaderBytes = 16384
	maxBodyBytes   = 4 << 20
)

// requestTimeout ends an ordinary request that hangs.
const requestTimeout = 10 * time.Second

// target is a listener of a gateway process.
type target struct {
	process *processtest.Process
	address string
	// head holds the lines of a request to which a body can be added, without the empty
	// line at its end.
	head string
	// bodyStart and bodyEnd enclose any number of letters in a body.
	bodyStart, bodyEnd string
	// calmStatus is the status of a request made of head and a small body, largeStatus
	// that of one with a body of maxBodyBytes.
	calmStatus, largeStatus int
	// sendOrdinary sends an ordinary request. The error is nil if it was served.
	sendOrdinary func() error
}

// forEachTarget runs a test on the listeners of callers and of other gateways, of both
// halves, each with a new process.
func forEachTarget(t *testing.T, test func(t *testing.T, target *target)) {
	t.Run("RouteCallers", func(t *testing.T) { test(t, startRouteGateway(t, false)) })
	t.Run("RoutePeers", func(t *testing.T) { test(t, startRouteGateway(t, true)) })
	t.Run("ChatCallers", func(t *testing.T) { test(t, startChatGateway(t, false)) })
	t.Run("ChatPeers", func(t *testing.T) { test(t, startChatGateway(t, true)) })
}

const (
	routeHost = "a.example"
	routePath = "/read/x"
)

// startRouteGateway starts a gateway of the route half with one endpoint.
func startRouteGateway(t *testing.T, attackPeers bool) *target {
	store := platformtest.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	t.Cleanup(storeServer.CloseClientConnections)
	endpointServer := httptest.NewUnstartedServer(nil)
	endpoint := platformtest.NewFakeEndpoint(store, "i-1", "service-0", endpointServer.Listener.Addr().String(), "north-a", 10*time.Millisecond)
	endpointServer.Config.Handler = endpoint
	endpointServer.Start()
	t.Cleanup(endpointServer.Close)
	t.Cleanup(endpointServer.CloseClientConnections)
	go sendHeartbeats(t.Context(), endpoint)
	config, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "read", "host": routeHost, "prefix": "/read/", "kind": "idempotent", "timeout-ms": 5000, "target-latency-ms": 1000,
			"service": "service-0", "max-attempts": 2, "home-regions": []string{},
		}},
		"services": []any{map[string]any{"name": "service-0"}},
		"limits":   map[string]any{"max-header-bytes": maxHeaderBytes, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	require.NoError(t, err)
	store.PutConfig(config)

	dir := t.TempDir()
	callers, ready, peers := processtest.FreeAddress(t), processtest.FreeAddress(t), processtest.FreeAddress(t)
	settingsFile := filepath.Join(dir, "node.yaml")
	require.NoError(t, os.WriteFile(settingsFile, fmt.Appendf(nil, `node-name: gw
zone: north-a
region: north
ip: %q
zones: {north-a: north}
listen: {front: %q, ready: %q, control: %q}
internal-ports: [21000, 21010]
limits: {memory-mb: %d, max-fds: %d, cpu-share: 1, cores: 1, link-mbps: 1000}
heartbeat-ms: 400
bounds: {contact-ms: 5000, drain-ms: 3000, grace-s: 8, config-ms: 3000, evacuate-ms: 5000,
  retry-budget-ratio: 0.2, budget-window-s: 10, budget-slack: 50, cold-overage: 1.5, cold-slack: 3, ttl_max_s: 5}
platform: {address: %q, ttl-min-ms: 1000}
`, processtest.LoopbackIP(), callers, ready, peers, memoryLimitMB, maxDescriptors, storeServer.Listener.Addr()), 0o600))
	binary := filepath.Join(processtest.Build(t, "hickorystage"), "hickorystage")
	target := &target{
		process:   processtest.StartLogged(t, dir, "gw", []string{"HICKORYSTAGE_SETTINGS=" + settingsFile}, binary, "gateway", "--metrics-port", "0"),
		address:   callers,
		head:      "POST " + routePath + " HTTP/1.1\r\nHost: " + routeHost + "\r\n",
		bodyStart: "x", calmStatus: http.StatusOK, largeStatus: http.StatusOK,
	}
	ordinary := http.Header{}
	platformtest.SetAttemptID(ordinary, "ordinary")
	if attackPeers {
		target.address = peers
		ordinary.Set("X-Gateway-Forward", `{"from":"gw-2","service":"service-0","version":1,"remaining_ms":4000,"objective_ms":800}`)
	}
	for name, values := range ordinary {
		target.head += name + ": " + values[0] + "\r\n"
	}
	target.sendOrdinary = func() error { return send(target.address, routePath, routeHost, ordinary, "x") }
	require.Eventually(t, func() bool { return target.sendOrdinary() == nil }, time.Minute, 100*time.Millisecond, "the gateway serves")
	return target
}

// sendHeartbeats writes the endpoint's entry until ctx ends.
func sendHeartbeats(ctx context.Context, endpoint *platformtest.FakeEndpoint) {
	for ctx.Err() == nil {
		_ = endpoint.WriteHeartbeat()
		time.Sleep(400 * time.Millisecond)
	}
}

// startChatGateway starts a gateway of the chat half with one engine.
func startChatGateway(t *testing.T, attackPeers bool) *target {
	const region, id = "svealand", "gw-svealand-1"
	d := processtest.StartChatPlatform(t)
	d.StartEngine("engine-1", region)
	d.SetEnv("HICKORYSTAGE_MAX_BODY", fmt.Sprint(maxBodyBytes))
	d.SetEnv("HICKORYSTAGE_MEMORY_LIMIT", fmt.Sprint(memoryLimitMB<<20))
	d.SetEnv("HICKORYSTAGE_MAX_OPEN_FILES", fmt.Sprint(maxDescriptors))
	target := &target{process: d.StartGateway(id, region), bodyStart: `{"model":"quilt-care","max_tokens":2,"messages":[{"role":"user","content":"`, bodyEnd: `"}]}`}
	d.Await("the gateway serves", func() bool { return d.IsServing(id, 1, 0) })
	if attackPeers {
		target.address = d.Addr(id + "-peer")
		// Requests without a signature are refused once they have been read.
		target.calmStatus, target.largeStatus = http.StatusUnauthorized, http.StatusUnauthorized
		target.head = "POST " + peer.PathForward + "/v1/chat/completions HTTP/1.1\r\nHost: " + target.address + "\r\n"
		client := peer.NewClient(peer.NewSigner("gw-svealand-2", []string{processtest.PeerSecret}), (&net.Dialer{}).DialContext)
		t.Cleanup(client.CloseIdleConnections)
		target.sendOrdinary = func() error {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			defer cancel()
			_, err := client.FetchEndpoints(ctx, target.address)
			return err
		}
		return target
	}
	target.address = d.Addr(id)
	// The model's limit of prompt tokens is below the limit of the body.
	target.calmStatus, target.largeStatus = http.StatusOK, http.StatusBadRequest
	ordinary := http.Header{"Authorization": {"Bearer " + processtest.CallerKey}, "Content-Type": {"application/json"}, gateway.HeaderDeadline: {"8000"}}
	target.head = "POST /v1/chat/completions HTTP/1.1\r\nHost: gw\r\nAuthorization: Bearer " + processtest.CallerKey + "\r\nContent-Type: application/json\r\n"
	target.sendOrdinary = func() error {
		return send(target.address, "/v1/chat/completions", "gw", ordinary, target.bodyStart+"x"+target.bodyEnd)
	}
	d.Await("a chat is served", func() bool { return target.sendOrdinary() == nil })
	return target
}

// send sends a POST request on a new connection. The error is nil if the response has
// status 200 and is complete.
func send(address, path, host string, header http.Header, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = host
	req.Header = header.Clone()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var text bytes.Buffer
	_, err = text.ReadFrom(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &caller.StatusError{Status: resp.StatusCode, Body: text.String()}
	}
	return err
}
