package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/processtest"
)

// gracePeriod is the time that a gateway gets to exit after SIGTERM; SIGKILL
// follows. It equals the setting bounds.grace-s.
const gracePeriod = 8 * time.Second

// zones maps the data centres of the deployment to their regions.
var zones = map[string]string{"north-a": "north", "south-a": "south"}

// gateway is one gateway instance. Its process is started again after each exit.
type gateway struct {
	t            *testing.T
	binary       string
	name         string
	zone         string
	ip           string
	settingsFile string
	log          *os.File
	// callerProxy forwards connections of callers to the gateway, storeProxy those
	// of the gateway to the store.
	callerProxy *proxy
	storeProxy  *proxy

	mu      sync.Mutex
	process *processtest.Process
	// reserved is set while a fault holds the process.
	reserved bool
}

// address returns the gateway's address with the n-th port: 0 for callers, 1 for
// readiness, 2 for the control listener, 3 for the directory.
func (g *gateway) address(n int) string { return net.JoinHostPort(g.ip, fmt.Sprint(firstPort+n)) }

// firstPort is the first port of each gateway; gateways differ by IP address.
const firstPort = 21000

// writeSettings replaces the settings file atomically. Only budgetSlack changes
// between two reloads.
func (g *gateway) writeSettings(seeds []string, budgetSlack int) {
	text := fmt.Sprintf(`node-name: %q
zone: %q
region: %q
ip: %q
zones: {north-a: north, south-a: south}
listen: {front: %q, ready: %q, control: %q, directory: %q}
internal-ports: [%d, %d]
seeds: [%s]
limits: {memory-mb: 256, max-fds: 4096, cpu-share: 1, cores: 1, link-mbps: 1000}
heartbeat-ms: 400
bounds: {contact-ms: 5000, drain-ms: 3000, grace-s: 8, config-ms: 3000, evacuate-ms: 5000,
  retry-budget-ratio: 0.2, budget-window-s: 10, budget-slack: %d, cold-overage: 1.5, cold-slack: 3, ttl_max_s: 5}
platform: {address: %q, ttl-min-ms: 1000}
`, g.name, g.zone, zones[g.zone], g.ip, g.address(0), g.address(1), g.address(2), g.address(3),
		firstPort+10, firstPort+20, strings.Join(seeds, ", "), budgetSlack, g.storeProxy.address())
	tempPath := g.settingsFile + ".next"
	require.NoError(g.t, os.WriteFile(tempPath, []byte(text), 0o600))
	require.NoError(g.t, os.Rename(tempPath, g.settingsFile))
}

// start starts the gateway process.
func (g *gateway) start() {
	p := processtest.Start(g.t, g.log, []string{"HICKORYSTAGE_SETTINGS=" + g.settingsFile}, g.binary, "gateway", "--metrics-port", "0")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process = p
}

// signal sends a signal to the most recently started process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// An error means that the process has exited already.
	_ = g.process.Cmd.Process.Signal(s)
}

// waitExit waits for the process to exit and reports whether it did within the
// timeout.
func (g *gateway) waitExit(timeout time.Duration) bool {
	g.mu.Lock()
	exited := g.process.Ended
	g.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// exitCode returns the exit code of a process that has exited.
func (g *gateway) exitCode() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process.Cmd.ProcessState.ExitCode()
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.address(1) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
