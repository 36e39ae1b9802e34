package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// grace is the time between SIGTERM and SIGKILL.
const grace = 8 * time.Second

// zones are the data centres of the deployment with their regions.
var zones = map[string]string{"north-a": "north", "south-a": "south"}

// gateway is one instance: a process that is started again after it ended.
type gateway struct {
	t        *testing.T
	binary   string
	name     string
	zone     string
	ip       string
	settings string
	log      *os.File
	// front and store are the proxies before its callers' listener and before
	// the store.
	front *proxy
	store *proxy

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// busy says that a fault strikes the process.
	busy bool
}

// port returns an address of the instance.
func (g *gateway) port(n int) string { return net.JoinHostPort(g.ip, fmt.Sprint(firstPort+n)) }

// firstPort is the first port of each instance.
const firstPort = 21000

// writeSettings writes the settings file. slack is the one figure that changes.
func (g *gateway) writeSettings(seeds []string, slack int) {
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
`, g.name, g.zone, zones[g.zone], g.ip, g.port(0), g.port(1), g.port(2), g.port(3),
		firstPort+10, firstPort+20, strings.Join(seeds, ", "), slack, g.store.address())
	next := g.settings + ".next"
	require.NoError(g.t, os.WriteFile(next, []byte(text), 0o600))
	require.NoError(g.t, os.Rename(next, g.settings))
}

// start starts the process.
func (g *gateway) start() {
	cmd := exec.Command(g.binary, "gateway", "--metrics-port", "0")
	cmd.Env = append(os.Environ(), "HICKORYSTAGE_SETTINGS="+g.settings)
	cmd.Stdout, cmd.Stderr = g.log, g.log
	// The process goes with the test, also when that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(g.t, cmd.Start())
	ended := make(chan struct{})
	g.mu.Lock()
	g.process, g.ended = cmd, ended
	g.mu.Unlock()
	go func() {
		// How it ended is read from the process's state.
		_ = cmd.Wait()
		close(ended)
	}()
}

// signal sends a signal to the process that was started last.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// An error means that it has ended.
	_ = g.process.Process.Signal(s)
}

// await waits for the process to end, and says whether it did.
func (g *gateway) await(limit time.Duration) bool {
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func (g *gateway) exitCode() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process.ProcessState.ExitCode()
}

func (g *gateway) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.port(1) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// buildGateway builds the program.
func buildGateway(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "hickorystage")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/hickorystage").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}
