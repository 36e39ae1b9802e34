package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// Ports of every gateway; gateways differ by their loopback addresses.
const (
	portReady     = 8140
	portDirectory = 8143
	portFront     = 8144
	portControl   = 8146
	portInternal  = 7660
)

// contactTime is bounds.contact-ms of the settings.
const contactTime = 5 * time.Second

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

// world is one deployment: a store, gateways and workers.
type world struct {
	hasTrouble bool
	record     *record
	dir        string
	prefix     string
	store      *platformtest.Store
	storeHTTP  *http.Server
	storeAddr  string
	zones      map[string]string

	mu       sync.Mutex
	closed   bool
	gateways []*gateway
	workers  []*worker
	nextHost int
}

func newWorld(hasTrouble bool) (*world, error) {
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		hasTrouble: hasTrouble, dir: dir, store: platformtest.NewStore(),
		record: &record{out: bufio.NewWriter(file), file: file, start: time.Now()},
		prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)), zones: map[string]string{"selenge-a": "selenge", "tuul-a": "tuul", "kherlen-a": "kherlen"},
	}
	l, err := net.Listen("tcp", w.host()+":0")
	if err != nil {
		return nil, err
	}
	w.storeAddr, w.storeHTTP = l.Addr().String(), &http.Server{Handler: w.store}
	go func() { _ = w.storeHTTP.Serve(l) }()
	w.record.line("trouble %v", hasTrouble)
	return w, nil
}

// host returns a loopback address that nothing else of this world uses.
func (w *world) host() string {
	w.nextHost++
	return fmt.Sprint(w.prefix, w.nextHost)
}

func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	for _, g := range w.gateways {
		g.kill()
	}
	for _, s := range w.workers {
		s.end()
	}
	_ = w.storeHTTP.Close()
	_ = os.RemoveAll(w.dir)
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	_ = w.record.file.Close()
}

// at waits until so long after the start.
func (w *world) at(d time.Duration) { time.Sleep(time.Until(w.record.start.Add(d))) }

// putConfig writes a configuration as the operator does.
func (w *world) putConfig(config map[string]any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	w.store.PutConfig(value)
	w.record.line("operator: configuration %v is acknowledged", config["version"])
	return nil
}

var limits = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}

// gateway is one gateway process.
type gateway struct {
	world    *world
	name, ip string
	zone     string
	settings string
	cmd      *exec.Cmd
	log      *os.File
	// startedAt is when the process was started last.
	startedAt time.Time
}

func (g *gateway) address(port int) string { return net.JoinHostPort(g.ip, fmt.Sprint(port)) }

// addGateways starts a gateway in each of the zones named, and waits until all are ready.
func (w *world) addGateways(zones ...string) error {
	var seeds []string
	for i, zone := range zones {
		g := &gateway{world: w, name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: w.host()}
		g.settings = filepath.Join(w.dir, g.name+".yaml")
		w.gateways = append(w.gateways, g)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", g.address(portControl)))
		}
	}
	for _, g := range w.gateways {
		if err := g.writeSettings(seeds); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// writeSettings writes the settings file of the pages for a small installation.
func (g *gateway) writeSettings(seeds []string) error {
	w := g.world
	var zones []string
	for z, region := range w.zones {
		zones = append(zones, fmt.Sprintf("  %s: %q", z, region))
	}
	text := fmt.Sprintf(`node-name: %q
role: "gateway"
machine-class: "edge"
serves: ["edge", "control_plane", "registry"]
ip: %q
zone: %q
region: %q
zones:
%s
listen: {front: %q, ready: %q, control: %q, directory: %q}
internal-ports: [%d, %d]
seeds: [%s]
bootstrap: true
limits: {cpu-share: 0.4, cores: 1, memory-mb: 284, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}
data-dir: null
discovery: "platform"
entry: "registry"
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"]
bounds: {seed-lag-s: 3, addr-reuse-s: 2, contact-ms: 5000, ack-ms: 6000, catch-up-s: 4, drain-ms: 3000, grace-s: 8,
  loss-slack-ms: 200, config-ms: 3000, rollback-slack-ms: 250, max-stretch-ms: 8000, retry-budget-ratio: 0.2,
  budget-window-s: 10, budget-slack: 54, cold-overage: 1.5, cold-slack: 3, evacuate-ms: 5000, recovery-s: 12,
  pass-ms: 600, reuse-window-s: 10, ttl_max_s: 5}
platform: {address: %q, form: "kv", writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-min-ms: 1000}
`, g.name, g.ip, g.zone, w.zones[g.zone], strings.Join(zones, "\n"),
		g.address(portFront), g.address(portReady), g.address(portControl), g.address(portDirectory),
		portInternal, portInternal+15, strings.Join(seeds, ", "), w.storeAddr)
	return os.WriteFile(g.settings, []byte(text), 0o600)
}

// start starts the process by the command of the deploy file.
func (g *gateway) start() error {
	binary := os.Getenv("GATEWAY")
	if binary == "" {
		binary = "target/hickorystage"
	}
	log, err := os.OpenFile(filepath.Join(g.world.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.log = log
	g.cmd = exec.Command(binary, "gateway", "--region-spill", "on")
	g.cmd.Env = []string{"HICKORYSTAGE_SETTINGS=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.startedAt = time.Now()
	g.world.record.line("gateway %s starts", g.name)
	return nil
}

// kill ends the process with SIGKILL.
func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	_ = g.cmd.Wait()
	_ = g.log.Close()
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		if text, err := os.ReadFile(g.log.Name()); err == nil {
			_ = os.WriteFile(filepath.Join(dir, g.name+".log"), text, 0o600)
		}
	}
	g.cmd = nil
}

// awaitReady waits until all gateways say that they are ready.
func (w *world) awaitReady() error {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, g := range w.gateways {
			resp, err := client.Get("http://" + g.address(portReady) + "/ready")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n++
			}
		}
		if n == len(w.gateways) {
			w.record.line("all %d gateways are ready", n)
			return nil
		}
	}
	return fmt.Errorf("the gateways did not become ready")
}
