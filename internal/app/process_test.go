//go:build !race

package app_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/standin/caller"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/standin/service"
)

// awaitTimeout limits each wait for a state of the processes. It is not a
// performance requirement: it only ends a test that would hang.
const awaitTimeout = time.Minute

// process is one started process. It is killed and reaped when the test ends,
// whether the test passes or fails.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// processDeployment is a deployment of separate processes on the loopback
// interface.
type processDeployment struct {
	t         *testing.T
	dir       string
	env       []string
	processes map[string]*process
	addresses map[string]string
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// configDir returns the directory of the operators' configuration files.
func (d *processDeployment) configDir() string { return filepath.Join(d.dir, "config") }

func (d *processDeployment) addr(name string) string {
	if d.addresses[name] == "" {
		d.addresses[name] = freeAddress(d.t)
	}
	return d.addresses[name]
}

// start starts a program as a named process. Its output goes to a log file of that
// name.
func (d *processDeployment) start(name, program string, args ...string) *process {
	d.t.Helper()
	cmd := exec.Command(filepath.Join(d.dir, program), args...)
	cmd.Env = append(os.Environ(), d.env...)
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	require.NoError(d.t, err)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(d.t, cmd.Start())
	p := &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	d.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.ended
	})
	d.processes[name] = p
	return p
}

// run runs a command and waits until it has ended.
func (d *processDeployment) run(program string, args ...string) {
	d.t.Helper()
	cmd := exec.Command(filepath.Join(d.dir, program), args...)
	cmd.Env = append(os.Environ(), d.env...)
	out, err := cmd.CombinedOutput()
	require.NoError(d.t, err, string(out))
}

func (d *processDeployment) await(what string, ok func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	d.t.Fatalf("condition not met: %s", what)
}

var processRegions = []string{"svealand", "norrland", "gotaland"}

func startProcesses(t *testing.T) *processDeployment {
	d := &processDeployment{t: t, dir: t.TempDir(), processes: map[string]*process{}, addresses: map[string]string{}}
	out, err := exec.Command("go", "build", "-o", d.dir+"/", "../../cmd/hickorystage", "../../cmd/standin").CombinedOutput()
	require.NoError(t, err, string(out))
	directory := "http://" + d.addr("directory")
	d.env = []string{
		"HICKORYSTAGE_STORE_URL=http://" + d.addr("store"), "HICKORYSTAGE_DIRECTORY_URL=" + directory,
		"HICKORYSTAGE_PEER_SECRETS=a-secret-of-the-gateways", "HICKORYSTAGE_ADMIN_TOKEN=a-token-of-the-operators",
	}
	d.start("store", "standin", "store", "--listen", d.addr("store"), "--admin", d.addr("store-admin"))
	d.start("directory", "standin", "directory", "--listen", d.addr("directory"), "--admin", d.addr("directory-admin"), "--lag", "300ms")
	for _, name := range []string{"store", "directory"} {
		d.await(name+" listens", func() bool { return d.isListening(d.addr(name)) })
	}
	require.NoError(t, os.CopyFS(d.configDir(), os.DirFS("../../examples/luftvard")))
	d.run("hickorystage", "config", "apply", d.configDir(), "--author", "test")
	for _, region := range processRegions {
		d.startEndpoints(region, directory)
	}
	for _, region := range processRegions {
		for i := range 2 {
			d.startGateway(region, i+1)
		}
	}
	for _, region := range processRegions {
		for i := range 2 {
			d.await("the gateway serves", func() bool { return d.isServing(fmt.Sprintf("gw-%s-%d", region, i+1)) })
		}
	}
	return d
}

func (d *processDeployment) startEndpoints(region, directory string) {
	for i := range 2 {
		id := fmt.Sprintf("engine-%s-%d", region, i+1)
		d.start(id, "standin", "engine", "--id", id, "--region", region, "--group", "assistant", "--listen", d.addr(id), "--admin", d.addr(id+"-admin"),
			"--register", directory, "--leave-grace", "100ms", "--token-interval", "20ms", "--first-token", "50ms")
	}
	id := "booking-" + region
	d.start(id, "standin", "service", "--id", id, "--region", region, "--group", "booking", "--listen", d.addr(id), "--admin", d.addr(id+"-admin"),
		"--register", directory, "--leave-grace", "100ms")
}

func (d *processDeployment) startGateway(region string, i int) {
	id := fmt.Sprintf("gw-%s-%d", region, i)
	d.run("standin", "register", "--register", "http://"+d.addr("directory"), "--id", id, "--region", region, "--address", d.addr(id+"-peer"))
	d.start(id, "hickorystage", "gateway", "--id", id, "--region", region, "--data-centre", region+"-1",
		"--listen", d.addr(id), "--peer-listen", d.addr(id+"-peer"), "--admin-listen", d.addr(id+"-admin"), "--drain-timeout", "30s", "--chunk-timeout", "2s", "--first-byte-timeout", "3s")
}

func (d *processDeployment) isListening(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

func (d *processDeployment) status(id string) (gateway.Status, error) {
	var s gateway.Status
	c := &caller.Client{HTTP: http.DefaultClient, Address: d.addr(id + "-admin"), Key: "a-token-of-the-operators"}
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	a, err := c.Do(ctx, http.MethodGet, "/admin/v1/status", nil, nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(a.Body, &s)
}

// isServing reports whether a gateway serves and knows its peer and its endpoints.
func (d *processDeployment) isServing(id string) bool {
	s, err := d.status(id)
	return err == nil && s.Lifecycle == "serving" && len(s.Endpoints) >= 3 && len(s.Peers) >= 1 && s.Revision > 0
}

// client returns a caller of a gateway with connections of its own.
func (d *processDeployment) client(id string) *caller.Client {
	transport := &http.Transport{}
	d.t.Cleanup(transport.CloseIdleConnections)
	return &caller.Client{HTTP: &http.Client{Transport: transport, Timeout: 2 * awaitTimeout}, Address: d.addr(id), Key: "demo-key-svealand"}
}

func (d *processDeployment) entries(c *caller.Client) gateway.EntriesResponse {
	d.t.Helper()
	a, err := c.Do(context.Background(), http.MethodGet, "/v1/entries", nil, nil)
	require.NoError(d.t, err)
	var out gateway.EntriesResponse
	require.NoError(d.t, json.Unmarshal(a.Body, &out), string(a.Body))
	return out
}

func (d *processDeployment) book(c *caller.Client, key string) *caller.Response {
	d.t.Helper()
	a, err := c.Do(context.Background(), http.MethodPost, "/v1/actions/booking/collect", map[string]string{gateway.HeaderIdempotencyKey: key}, map[string]string{"reference": "x"})
	require.NoError(d.t, err)
	return a
}

func (d *processDeployment) executions() int {
	d.t.Helper()
	total := 0
	for _, region := range processRegions {
		resp, err := http.Get("http://" + d.addr("booking-"+region+"-admin") + "/executions")
		require.NoError(d.t, err)
		raw, err := io.ReadAll(resp.Body)
		require.NoError(d.t, err)
		_ = resp.Body.Close()
		var counts service.ExecutionCounts
		require.NoError(d.t, json.Unmarshal(raw, &counts))
		total += counts.Total
	}
	return total
}

func chatBody(tokens int) caller.ChatBody {
	return caller.ChatBody{Model: "quilt-care", Messages: []caller.Message{{Role: "user", Content: "processes"}}, MaxTokens: tokens}
}

// streamFromAnyEntry sends a chat to the entry gateways in turn until one serves it.
// It returns an error if a response is cut off or no entry gateway serves the chat.
func streamFromAnyEntry(c *caller.Client, entries []gateway.EntryGateway, tokens int) error {
	var lastErr error
	for _, e := range entries {
		c.Address = e.Address
		s, err := c.Stream(context.Background(), chatBody(tokens))
		var status *caller.StatusError
		var dial *net.OpError
		switch {
		case err == nil && s.Chunks == tokens:
			return nil
		case err == nil:
			return &caller.IncompleteStreamError{Event: s.Text}
		case errors.As(err, &status) && strings.Contains(status.Body, `"outcome":"not_run"`):
		case errors.As(err, &dial) && dial.Op == "dial":
		default:
			return err
		}
		lastErr = err
	}
	return lastErr
}

// TestProcesses runs the whole system as separate processes on the loopback
// interface, and kills, pauses and stops them. The subtests depend on each other:
// each starts from the state that the one before leaves, so the first failure ends
// the test.
func TestProcesses(t *testing.T) {
	d := startProcesses(t)
	for _, subtest := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"configuration reaches all", d.testConfigurationRollout},
		{"store killed", d.testStoreKilled},
		{"engine paused under a stream", d.testEnginePaused},
		{"connections cut and silent", d.testConnectionsCut},
		{"owner killed", d.testOwnerKilled},
		{"gateways stopped under load", d.testStopUnderLoad},
	} {
		if !t.Run(subtest.name, func(t *testing.T) {
			d.t = t
			subtest.run(t)
		}) {
			return
		}
	}
}

func (d *processDeployment) testConfigurationRollout(t *testing.T) {
	require.NoError(t, os.WriteFile(filepath.Join(d.configDir(), "70-test.yaml"), []byte("routing: {retry_ratio: 0.2}\n"), 0o600))
	d.run("hickorystage", "config", "apply", d.configDir(), "--author", "test")
	for _, region := range processRegions {
		for i := range 2 {
			d.await("every gateway has the accepted revision in force", func() bool {
				s, err := d.status(fmt.Sprintf("gw-%s-%d", region, i+1))
				return err == nil && s.Revision == 2
			})
		}
	}
}

func (d *processDeployment) testStoreKilled(t *testing.T) {
	c := d.client("gw-svealand-1")
	before := d.executions()
	d.processes["store"].signal(t, syscall.SIGKILL)
	<-d.processes["store"].ended
	tickets := d.entries(c).Tickets
	for i := range 3 {
		a := d.book(c, tickets.Key(tickets.First+uint64(i)))
		require.Equal(t, http.StatusOK, a.Status, string(a.Body))
	}
	require.Equal(t, before+3, d.executions())
	s, err := c.Stream(context.Background(), chatBody(10))
	require.NoError(t, err)
	require.Equal(t, 10, s.Chunks)
}

// testEnginePaused pauses the engine that serves a stream with SIGSTOP.
func (d *processDeployment) testEnginePaused(t *testing.T) {
	c := d.client("gw-svealand-1")
	want, err := c.Stream(context.Background(), chatBody(100))
	require.NoError(t, err)
	type result struct {
		stream *caller.StreamResponse
		err    error
	}
	done := make(chan result, 1)
	go func() {
		s, err := c.Stream(context.Background(), chatBody(100))
		done <- result{s, err}
	}()
	paused := ""
	d.await("an engine serves the stream", func() bool {
		for i := range 2 {
			id := fmt.Sprintf("engine-svealand-%d", i+1)
			var work struct {
				InFlight int `json:"in_flight"`
			}
			resp, err := http.Get("http://" + d.addr(id+"-admin") + "/work")
			require.NoError(t, err)
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&work))
			_ = resp.Body.Close()
			if work.InFlight > 0 {
				paused = id
			}
		}
		return paused != ""
	})
	d.processes[paused].signal(t, syscall.SIGSTOP)
	got := <-done
	d.processes[paused].signal(t, syscall.SIGCONT)
	require.NoError(t, got.err, "resumed at another engine")
	require.Equal(t, want.Text, got.stream.Text, "no token is lost or repeated")
}

// setFault sets a fault at a stand-in.
func (d *processDeployment) setFault(id string, s fault.Setting) {
	d.t.Helper()
	raw, err := json.Marshal(s)
	require.NoError(d.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+d.addr(id+"-admin")+"/faults", bytes.NewReader(raw))
	require.NoError(d.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(d.t, err)
	require.NoError(d.t, resp.Body.Close())
	require.Less(d.t, resp.StatusCode, 300)
}

// testConnectionsCut truncates streams of both engines of a region, makes the open
// connections silent, and drops the response of a booking that ran.
func (d *processDeployment) testConnectionsCut(t *testing.T) {
	c := d.client("gw-svealand-1")
	want, err := c.Stream(context.Background(), chatBody(40))
	require.NoError(t, err)
	for _, id := range []string{"engine-svealand-1", "engine-svealand-2"} {
		d.setFault(id, fault.Setting{Kind: fault.Truncate, Path: "/v1/chat", Chunks: 5, Count: 1})
	}
	got, err := c.Stream(context.Background(), chatBody(40))
	require.NoError(t, err, "resumed after each cut")
	require.Equal(t, want.Text, got.Text, "no token is lost or repeated")
	for _, id := range []string{"engine-svealand-1", "engine-svealand-2"} {
		d.setFault(id, fault.Setting{Kind: fault.Silent})
	}
	got, err = c.Stream(context.Background(), chatBody(40))
	require.NoError(t, err, "new connections work")
	require.Equal(t, want.Text, got.Text)

	before := d.executions()
	for _, region := range processRegions {
		d.setFault("booking-"+region, fault.Setting{Kind: fault.DropResponse, Path: "/bookings", Count: 1})
	}
	tickets := d.entries(c).Tickets
	a := d.book(c, tickets.Key(tickets.First))
	var body gateway.ErrorBody
	require.NoError(t, json.Unmarshal(a.Body, &body), string(a.Body))
	require.Equal(t, failure.Unknown, body.Error.Outcome, "the booking ran and its response is lost")
	require.Equal(t, before+1, d.executions())
	_ = d.book(c, tickets.Key(tickets.First))
	require.Equal(t, before+1, d.executions(), "a retry does not run the booking again")
}

// testOwnerKilled kills the owner of a ticket with SIGKILL after a booking.
func (d *processDeployment) testOwnerKilled(t *testing.T) {
	ownerClient, peerClient := d.client("gw-svealand-1"), d.client("gw-svealand-2")
	entries := d.entries(ownerClient)
	key := entries.Tickets.Key(entries.Tickets.First)
	before := d.executions()
	require.Equal(t, http.StatusOK, d.book(ownerClient, key).Status)
	d.processes["gw-svealand-1"].signal(t, syscall.SIGKILL)
	<-d.processes["gw-svealand-1"].ended
	a := d.book(peerClient, key)
	var body gateway.ErrorBody
	require.NoError(t, json.Unmarshal(a.Body, &body), string(a.Body))
	require.Equal(t, failure.Unknown, body.Error.Outcome, "the outcome is never not_run")
	require.Equal(t, before+1, d.executions())
	require.NoError(t, streamFromAnyEntry(d.client("gw-svealand-1"), entries.Entries, 10), "the caller goes on to the next entry")
	peerTickets := d.entries(peerClient).Tickets
	require.Equal(t, http.StatusOK, d.book(peerClient, peerTickets.Key(peerTickets.First)).Status)
	require.Equal(t, before+2, d.executions())
}

// testStopUnderLoad shuts gateways down one after the other with SIGTERM while
// callers stream.
func (d *processDeployment) testStopUnderLoad(t *testing.T) {
	entries := d.entries(d.client("gw-svealand-2")).Entries
	stop := make(chan struct{})
	var callers sync.WaitGroup
	failed := make(chan error, 4)
	for range 4 {
		callers.Go(func() {
			c := d.client("gw-svealand-2")
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := streamFromAnyEntry(c, entries, 300); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	for _, id := range []string{"gw-svealand-2", "gw-norrland-1"} {
		p := d.processes[id]
		p.signal(t, syscall.SIGTERM)
		<-p.ended
		require.Zero(t, p.cmd.ProcessState.ExitCode(), "%s cut off no request", id)
	}
	close(stop)
	callers.Wait()
	close(failed)
	for err := range failed {
		require.NoError(t, err)
	}
}
