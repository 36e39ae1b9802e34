package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// Bounds of the site tuul-depots, as its sheet states them.
const (
	contactTime     = 5 * time.Second
	heartbeat       = 1200 * time.Millisecond
	restartDelay    = time.Second
	silentIntervals = 3
	frontPort       = 8144
	readyPort       = 8140
	controlPort     = 8146
	directoryPort   = 8143
	firstInternal   = 7660
	lastInternal    = 7675
)

// world is one deployment with its record.
type world struct {
	folder, temp string
	trouble      bool
	startedAt    time.Time
	record       *os.File
	recordMu     sync.Mutex

	store        *platformtest.Store
	storeServer  *http.Server
	storeAddress string
	ipPrefix     string
	zones        map[string]string

	mu         sync.Mutex
	lastBeat   map[string]time.Time
	gateways   []*gateway
	workers    []*worker
	isStopping bool
}

// newWorld opens the record and starts the platform's store. Whatever else a case needs, it
// starts by itself.
func newWorld(folder string, trouble bool) (*world, error) {
	temp, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{
		folder: folder, temp: temp, trouble: trouble, startedAt: time.Now(), record: record,
		store: platformtest.NewStore(), lastBeat: make(map[string]time.Time),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rig/entry/{id}", w.takeEntry)
	mux.Handle("/", w.store)
	w.storeServer = &http.Server{Handler: mux}
	go func() { _ = w.storeServer.Serve(listener) }()
	go w.removeSilent()
	if w.ipPrefix, err = freePrefix(); err != nil {
		return nil, err
	}
	w.logf("trouble %v", trouble)
	return w, nil
}

// freePrefix returns the first three numbers of loopback addresses at which the ports of the
// gateways are free.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 70+rand.IntN(100), 1+rand.IntN(250))
		if isFree(prefix) {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func isFree(prefix string) bool {
	for n := 1; n <= 8; n++ {
		for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, 9464, firstInternal, firstInternal + 1} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, n, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// takeEntry stores the entry that a worker writes of itself.
func (w *world) takeEntry(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.PathValue("id")
	w.mu.Lock()
	w.lastBeat[id] = time.Now()
	w.mu.Unlock()
	w.store.Put("servers/"+id, body)
	rw.WriteHeader(http.StatusOK)
}

// removeSilent removes the entries of workers that were silent for three intervals.
func (w *world) removeSilent() {
	for range time.Tick(100 * time.Millisecond) {
		w.mu.Lock()
		for id, at := range w.lastBeat {
			if time.Since(at) > silentIntervals*heartbeat {
				delete(w.lastBeat, id)
				w.store.Delete("servers/" + id)
			}
		}
		w.mu.Unlock()
	}
}

// putConfig writes the operator's configuration: a version, and the routes and services given.
func (w *world) putConfig(version int, routes, services []map[string]any) error {
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		return err
	}
	w.store.PutConfig(value)
	w.logf("operator: configuration %d", version)
	return nil
}

// gateway is one machine of the system.
type gateway struct {
	world          *world
	name, zone, ip string
	settings       string
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
	isDown         bool
}

func (g *gateway) address(port int) string { return fmt.Sprintf("%s:%d", g.ip, port) }

// startGateways starts n gateways in each zone, all at once, and waits until they are ready.
func (w *world) startGateways(perZone map[string]int) error {
	w.zones = make(map[string]string)
	var seeds []string
	names := make([]string, 0, len(perZone))
	for zone := range perZone {
		names = append(names, zone)
		w.zones[zone] = strings.TrimSuffix(zone, "-a")
	}
	slices.Sort(names)
	for _, zone := range names {
		for i := range perZone[zone] {
			g := &gateway{world: w, name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s.%d", w.ipPrefix, len(w.gateways)+1)}
			w.gateways = append(w.gateways, g)
			if i == 0 {
				seeds = append(seeds, g.address(controlPort))
			}
		}
	}
	for i, g := range w.gateways {
		if err := g.writeSettings(seeds); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return fmt.Errorf("start gateway %d: %w", i, err)
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, g := range w.gateways {
		for !g.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.logf("all %d gateways are ready", len(w.gateways))
	return nil
}

// writeSettings writes the settings file of a small deployment: the example of the users'
// DEPLOY page with the bounds of tuul-depots.
func (g *gateway) writeSettings(seeds []string) error {
	g.settings = filepath.Join(g.world.temp, g.name+".yaml")
	zones, _ := json.Marshal(g.world.zones)
	seedList, _ := json.Marshal(seeds)
	text := fmt.Sprintf(`node-name: %q
role: "gateway"
machine-class: "edge"
serves: ["edge", "control_plane", "registry"]
ip: %q
zone: %q
region: %q
zones: %s
listen: {front: %q, ready: %q, control: %q, directory: %q}
internal-ports: [%d, %d]
seeds: %s
bootstrap: true
loss-counted: false
limits: {cpu-share: 0.4, cores: 1, memory-mb: 284, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}
data-dir: null
discovery: "platform"
entry: "registry"
heartbeat-ms: %d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"]
fault-tolerance: {machines: 2, zones: 1, regions: 1}
bounds: {seed-lag-s: 3, addr-reuse-s: 2, contact-ms: 5000, ack-ms: 6000, catch-up-s: 4, drain-ms: 3000, grace-s: 8,
  loss-slack-ms: 200, config-ms: 3000, rollback-slack-ms: 250, max-stretch-ms: 8000, retry-budget-ratio: 0.2,
  budget-window-s: 10, budget-slack: 56, cold-overage: 1.5, cold-slack: 3, evacuate-ms: 5000, recovery-s: 12,
  pass-ms: 600, reuse-window-s: 10, ttl_max_s: 5}
platform: {address: %q, form: "kv", writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-min-ms: 1000}
`, g.name, g.ip, g.zone, g.world.zones[g.zone], zones, g.address(frontPort), g.address(readyPort), g.address(controlPort), g.address(directoryPort),
		firstInternal, lastInternal, seedList, heartbeat.Milliseconds(), g.world.storeAddress)
	return os.WriteFile(g.settings, []byte(text), 0o600)
}

// runWords returns the words of the deploy file's run line.
func runWords() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(text)
	if m == nil {
		return nil, errors.New("the deploy file has no run line")
	}
	return strings.Fields(string(m[1])), nil
}

func (g *gateway) start() error {
	words, err := runWords()
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(g.world.temp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "HICKORYSTAGE_SETTINGS=" + g.settings}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited, g.isDown = cmd, exited, false
	g.mu.Unlock()
	g.world.logf("platform: starts %s at %s", g.name, g.ip)
	go func() {
		err := cmd.Wait()
		close(exited)
		g.world.mu.Lock()
		stopping := g.world.isStopping
		g.world.mu.Unlock()
		g.mu.Lock()
		down := g.isDown
		g.mu.Unlock()
		if !stopping && !down {
			g.world.logf("platform: %s has ended by itself: %v", g.name, err)
		}
	}()
	return nil
}

// kill ends the gateway by SIGKILL and starts it again after restartDelay, as the platform does.
func (g *gateway) kill() {
	g.mu.Lock()
	g.isDown = true
	cmd, exited := g.cmd, g.exited
	g.mu.Unlock()
	g.world.logf("trouble: SIGKILL to %s", g.name)
	_ = cmd.Process.Kill()
	<-exited
	time.AfterFunc(restartDelay, func() { _ = g.start() })
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.address(readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// worker is one worker of a service.
type worker struct {
	world   *world
	options workerOptions
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	starts  int
}

// addWorker starts a worker process at a free port.
func (w *world) addWorker(o workerOptions) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o.Address, o.Store = l.Addr().String(), w.storeAddress
	_ = l.Close()
	o.Log = filepath.Join(w.temp, "worker-"+o.ID+".log")
	wk := &worker{world: w, options: o}
	w.workers = append(w.workers, wk)
	return wk, wk.start()
}

func (k *worker) start() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	text, err := json.Marshal(k.options)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, "worker", string(text))
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	k.cmd, k.exited = cmd, exited
	k.starts++
	k.world.logf("worker %s (%s, version %s) starts at %s", k.options.ID, k.options.Service, k.options.Version, k.options.Address)
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// kill ends the worker by SIGKILL, as a crash does.
func (k *worker) kill() {
	k.mu.Lock()
	cmd, exited := k.cmd, k.exited
	k.mu.Unlock()
	k.world.logf("trouble: worker %s crashes", k.options.ID)
	_ = cmd.Process.Kill()
	<-exited
}

// hasEnded reports whether the worker's process has ended.
func (k *worker) hasEnded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.exited:
		return true
	default:
		return false
	}
}

// run is one line of a worker's log.
type run struct {
	at                             time.Time
	worker, event, attempt, detail string
}

// runs returns what the workers wrote of their runs, ordered by time.
func (w *world) runs() []run {
	var out []run
	for _, k := range w.workers {
		f, err := os.Open(k.options.Log)
		if err != nil {
			continue
		}
		scanner := bufio.NewScanner(f)
		for scanner.Scan() {
			var micros int64
			r := run{worker: k.options.ID}
			if n, _ := fmt.Sscanf(scanner.Text(), "%d %s %s %s", &micros, &r.event, &r.attempt, &r.detail); n >= 3 {
				r.at = time.UnixMicro(micros)
				out = append(out, r)
			}
		}
		_ = f.Close()
	}
	slices.SortFunc(out, func(a, b run) int { return a.at.Compare(b.at) })
	return out
}

// logRuns writes what the workers ran to the record.
func (w *world) logRuns() {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintln(w.record, "what the workers wrote:")
	for _, r := range w.runs() {
		fmt.Fprintf(w.record, "%8.3f worker %s %s %s %s\n", r.at.Sub(w.startedAt).Seconds(), r.worker, r.event, r.attempt, r.detail)
	}
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	w.isStopping = true
	w.mu.Unlock()
	for _, g := range w.gateways {
		g.mu.Lock()
		cmd, exited := g.cmd, g.exited
		g.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-exited
		}
	}
	for _, k := range w.workers {
		k.mu.Lock()
		cmd, exited := k.cmd, k.exited
		k.mu.Unlock()
		_ = cmd.Process.Kill()
		<-exited
	}
	_ = w.storeServer.Close()
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Fprintln(os.Stderr, "kept", w.temp)
	}
}
