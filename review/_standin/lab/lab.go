// Package lab is the test bed of the review's scripts: a small deployment on loopback
// addresses, with gateways as separate processes and stand-ins of the platform, workers
// and clients in this process.
package lab

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case is played with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Lab is a deployment. Its methods may be called concurrently.
type Lab struct {
	Store        *platformtest.Store
	StoreAddress string

	dir     string
	zones   map[string]string
	ports   ports
	started time.Time

	mu       sync.Mutex
	record   *os.File
	gateways []*Gateway
	workers  []*Worker
}

// ports are those that every gateway uses, each on an address of its own.
type ports struct{ front, ready, control, directory, first int }

// New starts the store. zones maps zones to regions. The record goes to the file at path.
func New(path string, zones map[string]string) (*Lab, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l := &Lab{Store: platformtest.NewStore(), dir: dir, zones: zones, record: record, started: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.StoreAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, l.Store) }()
	base, err := freePorts()
	if err != nil {
		return nil, err
	}
	l.ports = ports{front: base, ready: base + 1, control: base + 2, directory: base + 3, first: base + 4}
	return l, nil
}

// freePorts returns the first of 20 ports that are free on all loopback addresses.
func freePorts() (int, error) {
	const first, last, step = 21000, 29000, 20
	offset := mathrand.IntN((last - first) / step)
	for i := range (last - first) / step {
		base := first + (offset+i)%((last-first)/step)*step
		free := true
		for port := base; port < base+step && free; port++ {
			t, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port))
			if err != nil {
				free = false
				continue
			}
			_ = t.Close()
			u, err := net.ListenPacket("udp", fmt.Sprintf("0.0.0.0:%d", port))
			if err != nil {
				free = false
				continue
			}
			_ = u.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// Logf writes a line to the record, with the seconds since the start.
func (l *Lab) Logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// Gateway is one gateway process.
type Gateway struct {
	Name, IP, Zone string
	Front          string
	lab            *Lab
	cmd            *exec.Cmd
	settings       string
	exited         chan struct{}
}

// StartGateway starts a gateway by the run line of the deploy file. seeds are the IPs of
// the gateways to contact first.
func (l *Lab) StartGateway(name, ip, zone string, seeds ...string) (*Gateway, error) {
	g := &Gateway{
		Name: name, IP: ip, Zone: zone, lab: l, Front: fmt.Sprintf("%s:%d", ip, l.ports.front),
		settings: filepath.Join(l.dir, name+".yaml"),
	}
	if err := os.WriteFile(g.settings, []byte(l.settingsFile(g, seeds)), 0o600); err != nil {
		return nil, err
	}
	if err := g.Start(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = append(l.gateways, g)
	return g, nil
}

// Start starts the process of the gateway, also after it has ended.
func (g *Gateway) Start() error {
	out, err := os.OpenFile(filepath.Join(g.lab.dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command("target/hickorystage", "gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYSTAGE_SETTINGS=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), g.cmd
	g.exited = exited
	go func() {
		err := cmd.Wait()
		g.lab.Logf("gateway %s pid %d ended: %v", g.Name, cmd.Process.Pid, err)
		_ = out.Close()
		close(exited)
	}()
	g.lab.Logf("gateway %s pid %d started, front %s", g.Name, g.cmd.Process.Pid, g.Front)
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.lab.Logf("gateway %s pid %d gets %s", g.Name, g.cmd.Process.Pid, s)
	_ = g.cmd.Process.Signal(s)
}

// Exited is closed once the process has ended.
func (g *Gateway) Exited() <-chan struct{} { return g.exited }

// Log returns what the process has written.
func (g *Gateway) Log() string {
	text, _ := os.ReadFile(filepath.Join(g.lab.dir, g.Name+".log"))
	return string(text)
}

// WaitReady waits until the readiness probe of the gateway says 200.
func (g *Gateway) WaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", g.IP, g.lab.ports.ready))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready", g.Name)
}

// settingsFile returns the settings file of a gateway, after the example of DEPLOY.md.
func (l *Lab) settingsFile(g *Gateway, seeds []string) string {
	var b strings.Builder
	p := l.ports
	fmt.Fprintf(&b, "node-name: %q\nrole: \"gateway\"\nmachine-class: \"edge\"\nserves: [\"edge\", \"control_plane\", \"registry\"]\n", g.Name)
	fmt.Fprintf(&b, "ip: %q\nzone: %q\nregion: %q\nzones:\n", g.IP, g.Zone, l.zones[g.Zone])
	for zone, region := range l.zones {
		fmt.Fprintf(&b, "  %s: %q\n", zone, region)
	}
	fmt.Fprintf(&b, "listen:\n  front: \"%s:%d\"\n  ready: \"%s:%d\"\n  control: \"%s:%d\"\n  directory: \"%s:%d\"\n", g.IP, p.front, g.IP, p.ready, g.IP, p.control, g.IP, p.directory)
	fmt.Fprintf(&b, "internal-ports: [%d, %d]\nseeds:\n", p.first, p.first+15)
	for _, s := range seeds {
		fmt.Fprintf(&b, "  - \"%s:%d\"\n", s, p.control)
	}
	b.WriteString("bootstrap: true\nloss-counted: false\nlimits: {cpu-share: 0.4, cores: 1, memory-mb: 284, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}\n")
	b.WriteString("data-dir: null\ndiscovery: \"platform\"\nentry: \"registry\"\nheartbeat-ms: 1200\n")
	b.WriteString("fault-tolerance: {machines: 2, zones: 1, regions: 1}\n")
	b.WriteString("bounds: {seed-lag-s: 3, addr-reuse-s: 2, contact-ms: 5000, ack-ms: 6000, catch-up-s: 4, drain-ms: 3000, grace-s: 8, loss-slack-ms: 200, config-ms: 3000, rollback-slack-ms: 250, max-stretch-ms: 8000, retry-budget-ratio: 0.2, budget-window-s: 10, budget-slack: 56, cold-overage: 1.5, cold-slack: 3, evacuate-ms: 5000, recovery-s: 12, pass-ms: 600, reuse-window-s: 10, ttl_max_s: 5}\n")
	fmt.Fprintf(&b, "platform: {address: %q, form: \"kv\", writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-min-ms: 1000}\n", l.StoreAddress)
	return b.String()
}

// Config is what the operator writes to the store.
type Config struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
}

// PutConfig writes a configuration as the operator does.
func (l *Lab) PutConfig(c Config) error {
	c.Limits = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	l.Store.PutConfig(value)
	l.Logf("operator wrote configuration %d", c.Version)
	return nil
}

// Worker is a stand-in of a worker: its entry in the store and its HTTP server.
type Worker struct {
	ID, Address string
	lab         *Lab
	mu          sync.Mutex
	entry       map[string]any
	seq         int
	stopped     chan struct{}
	silent      sync.Once
	listener    net.Listener
}

// heartbeat is heartbeat-ms of the settings.
const heartbeat = 1200 * time.Millisecond

// StartWorker starts a worker whose requests handler serves.
func (l *Lab) StartWorker(id, service, zone string, slots int, handler func(w *Worker) http.Handler) (*Worker, error) {
	return l.startWorker(id, service, zone, slots, func(w *Worker) {
		server := &http.Server{Handler: handler(w)}
		_ = server.Serve(w.listener)
	})
}

// StartRawWorker starts a worker whose connections handle serves.
func (l *Lab) StartRawWorker(id, service, zone string, slots int, handle func(w *Worker, c net.Conn)) (*Worker, error) {
	return l.startWorker(id, service, zone, slots, func(w *Worker) {
		for {
			c, err := w.listener.Accept()
			if err != nil {
				return
			}
			go handle(w, c)
		}
	})
}

func (l *Lab) startWorker(id, service, zone string, slots int, serve func(w *Worker)) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Address: listener.Addr().String(), lab: l, stopped: make(chan struct{}), listener: listener, entry: map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": slots,
		"state": "ready", "cold-remaining-ms": 0, "born": time.Now().UnixMilli(),
	}}
	go serve(w)
	w.beat()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-w.stopped:
				return
			case <-ticker.C:
				w.beat()
			}
		}
	}()
	l.Logf("worker %s of %s in %s at %s", id, service, zone, w.Address)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workers = append(l.workers, w)
	return w, nil
}

func (w *Worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	w.entry["sequence"] = w.seq
	value, err := json.Marshal(w.entry)
	if err == nil {
		w.lab.Store.Put("servers/"+w.ID, value)
	}
}

// Expects answers 421 and returns false if the request names another worker.
func (w *Worker) Expects(rw http.ResponseWriter, r *http.Request) bool {
	rw.Header().Set("Hickorystage-Attempt-Id", r.Header.Get("Hickorystage-Attempt-Id"))
	if want := r.Header.Get("Hickorystage-Expect-Instance"); want != "" && want != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// Stamp returns a response stamp.
func Stamp() string { return NewID() + ".07" }

// NewID returns a new attempt id.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// ResetConnection closes the channel of a request with a reset and without an answer.
func ResetConnection(rw http.ResponseWriter) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Close ends all gateways, copies the end of their logs to the record and removes the
// temporary folder.
func (l *Lab) Close() {
	for _, w := range l.workers {
		w.Silence()
	}
	for _, g := range l.gateways {
		_ = g.cmd.Process.Signal(syscall.SIGCONT)
		_ = g.cmd.Process.Kill()
		<-g.exited
	}
	for _, w := range l.workers {
		_ = w.listener.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", l.dir)
	}
	_ = l.record.Close()
}

// ResidentBytes returns the memory that the process uses.
func (g *Gateway) ResidentBytes() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", g.cmd.Process.Pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// Silence ends the heartbeats of the worker.
func (w *Worker) Silence() { w.silent.Do(func() { close(w.stopped) }) }
