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

// settleLimit bounds each wait for a state of the processes. It is no bound on
// speed: it only ends a test that would never end.
const settleLimit = time.Minute

// process is one started process. It is killed and waited for when the test
// ends, however it ends.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// fleet is a deployment of processes on loopback.
type fleet struct {
	t         *testing.T
	dir       string
	env       []string
	processes map[string]*process
	address   map[string]string
}

// free returns a free address of loopback.
func free(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// folder is the operators' folder.
func (f *fleet) folder() string { return filepath.Join(f.dir, "config") }

func (f *fleet) addr(name string) string {
	if f.address[name] == "" {
		f.address[name] = free(f.t)
	}
	return f.address[name]
}

// start starts a process by its program and arguments.
func (f *fleet) start(name, program string, args ...string) *process {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(f.dir, program), args...)
	cmd.Env = append(os.Environ(), f.env...)
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	require.NoError(f.t, err)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(f.t, cmd.Start())
	p := &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.ended
	})
	f.processes[name] = p
	return p
}

// run runs a command to its end.
func (f *fleet) run(program string, args ...string) {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(f.dir, program), args...)
	cmd.Env = append(os.Environ(), f.env...)
	out, err := cmd.CombinedOutput()
	require.NoError(f.t, err, string(out))
}

func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(settleLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("never: %s", what)
}

var processRegions = []string{"svealand", "norrland", "gotaland"}

func startFleet(t *testing.T) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), processes: map[string]*process{}, address: map[string]string{}}
	out, err := exec.Command("go", "build", "-o", f.dir+"/", "../../cmd/hickorystage", "../../cmd/standin").CombinedOutput()
	require.NoError(t, err, string(out))
	directory := "http://" + f.addr("directory")
	f.env = []string{
		"HICKORYSTAGE_STORE_URL=http://" + f.addr("store"), "HICKORYSTAGE_DIRECTORY_URL=" + directory,
		"HICKORYSTAGE_PEER_SECRETS=a-secret-of-the-gateways", "HICKORYSTAGE_ADMIN_TOKEN=a-token-of-the-operators",
	}
	f.start("store", "standin", "store", "--listen", f.addr("store"), "--admin", f.addr("store-admin"))
	f.start("directory", "standin", "directory", "--listen", f.addr("directory"), "--admin", f.addr("directory-admin"), "--lag", "300ms")
	for _, name := range []string{"store", "directory"} {
		f.await(name+" listens", func() bool { return f.listens(f.addr(name)) })
	}
	require.NoError(t, os.CopyFS(f.folder(), os.DirFS("../../examples/luftvard")))
	f.run("hickorystage", "config", "apply", f.folder(), "--author", "test")
	for _, region := range processRegions {
		f.startEndpoints(region, directory)
	}
	for _, region := range processRegions {
		for i := range 2 {
			f.startGateway(region, i+1)
		}
	}
	for _, region := range processRegions {
		for i := range 2 {
			f.await("the gateway serves", func() bool { return f.serves(fmt.Sprintf("gw-%s-%d", region, i+1)) })
		}
	}
	return f
}

func (f *fleet) startEndpoints(region, directory string) {
	for i := range 2 {
		id := fmt.Sprintf("engine-%s-%d", region, i+1)
		f.start(id, "standin", "engine", "--id", id, "--region", region, "--group", "assistant", "--listen", f.addr(id), "--admin", f.addr(id+"-admin"),
			"--register", directory, "--leave-grace", "100ms", "--token-interval", "20ms", "--first-token", "50ms")
	}
	id := "booking-" + region
	f.start(id, "standin", "service", "--id", id, "--region", region, "--group", "booking", "--listen", f.addr(id), "--admin", f.addr(id+"-admin"),
		"--register", directory, "--leave-grace", "100ms")
}

func (f *fleet) startGateway(region string, i int) {
	id := fmt.Sprintf("gw-%s-%d", region, i)
	f.run("standin", "register", "--register", "http://"+f.addr("directory"), "--id", id, "--region", region, "--address", f.addr(id+"-peer"))
	f.start(id, "hickorystage", "gateway", "--id", id, "--region", region, "--data-centre", region+"-1",
		"--listen", f.addr(id), "--peer-listen", f.addr(id+"-peer"), "--admin-listen", f.addr(id+"-admin"), "--drain-timeout", "30s", "--chunk-timeout", "2s", "--first-byte-timeout", "3s")
}

func (f *fleet) listens(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

func (f *fleet) status(id string) (gateway.Status, error) {
	var s gateway.Status
	c := &caller.Client{HTTP: http.DefaultClient, Address: f.addr(id + "-admin"), Key: "a-token-of-the-operators"}
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	defer cancel()
	a, err := c.Do(ctx, http.MethodGet, "/admin/v1/status", nil, nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(a.Body, &s)
}

// serves says whether a gateway serves and knows its peer and its endpoints.
func (f *fleet) serves(id string) bool {
	s, err := f.status(id)
	return err == nil && s.Lifecycle == "serving" && len(s.Endpoints) >= 3 && len(s.Peers) >= 1 && s.Revision > 0
}

// client calls a gateway over connections of its own.
func (f *fleet) client(id string) *caller.Client {
	transport := &http.Transport{}
	f.t.Cleanup(transport.CloseIdleConnections)
	return &caller.Client{HTTP: &http.Client{Transport: transport, Timeout: 2 * settleLimit}, Address: f.addr(id), Key: "demo-key-svealand"}
}

func (f *fleet) entries(c *caller.Client) gateway.EntriesResponse {
	f.t.Helper()
	a, err := c.Do(context.Background(), http.MethodGet, "/v1/entries", nil, nil)
	require.NoError(f.t, err)
	var out gateway.EntriesResponse
	require.NoError(f.t, json.Unmarshal(a.Body, &out), string(a.Body))
	return out
}

func (f *fleet) book(c *caller.Client, key string) *caller.Answer {
	f.t.Helper()
	a, err := c.Do(context.Background(), http.MethodPost, "/v1/actions/booking/collect", map[string]string{gateway.HeaderIdempotencyKey: key}, map[string]string{"reference": "x"})
	require.NoError(f.t, err)
	return a
}

func (f *fleet) executions() int {
	f.t.Helper()
	total := 0
	for _, region := range processRegions {
		resp, err := http.Get("http://" + f.addr("booking-"+region+"-admin") + "/executions")
		require.NoError(f.t, err)
		raw, err := io.ReadAll(resp.Body)
		require.NoError(f.t, err)
		_ = resp.Body.Close()
		var counts service.ExecutionCounts
		require.NoError(f.t, json.Unmarshal(raw, &counts))
		total += counts.Total
	}
	return total
}

func question(tokens int) caller.ChatBody {
	return caller.ChatBody{Model: "quilt-care", Messages: []caller.Message{{Role: "user", Content: "processes"}}, MaxTokens: tokens}
}

// anyEntry sends a chat to the entries in turn until one serves it, and returns
// an error when an answer breaks off.
func anyEntry(c *caller.Client, entries []gateway.EntryGateway, tokens int) error {
	var last error
	for _, e := range entries {
		c.Address = e.Address
		s, err := c.Stream(context.Background(), question(tokens))
		var status *caller.StatusError
		var dial *net.OpError
		switch {
		case err == nil && s.Chunks == tokens:
			return nil
		case err == nil:
			return &caller.BrokenStreamError{Event: s.Text}
		case errors.As(err, &status) && strings.Contains(status.Body, `"outcome":"not_run"`):
		case errors.As(err, &dial) && dial.Op == "dial":
		default:
			return err
		}
		last = err
	}
	return last
}

// TestProcesses runs the whole system as processes on loopback, and kills,
// pauses and stops them. Each part leaves what the next one needs.
func TestProcesses(t *testing.T) {
	f := startFleet(t)
	for _, part := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"configuration reaches all", f.configuration},
		{"store killed", f.storeKilled},
		{"engine paused under a stream", f.enginePaused},
		{"connections cut and silent", f.connectionsCut},
		{"owner killed", f.ownerKilled},
		{"gateways stopped under load", f.stopUnderLoad},
	} {
		if !t.Run(part.name, func(t *testing.T) {
			f.t = t
			part.run(t)
		}) {
			return
		}
	}
}

func (f *fleet) configuration(t *testing.T) {
	require.NoError(t, os.WriteFile(filepath.Join(f.folder(), "70-test.yaml"), []byte("routing: {retry_ratio: 0.2}\n"), 0o600))
	f.run("hickorystage", "config", "apply", f.folder(), "--author", "test")
	for _, region := range processRegions {
		for i := range 2 {
			f.await("every gateway holds the accepted revision", func() bool {
				s, err := f.status(fmt.Sprintf("gw-%s-%d", region, i+1))
				return err == nil && s.Revision == 2
			})
		}
	}
}

func (f *fleet) storeKilled(t *testing.T) {
	c := f.client("gw-svealand-1")
	before := f.executions()
	f.processes["store"].signal(t, syscall.SIGKILL)
	<-f.processes["store"].ended
	tickets := f.entries(c).Tickets
	for i := range 3 {
		a := f.book(c, tickets.Key(tickets.First+uint64(i)))
		require.Equal(t, http.StatusOK, a.Status, string(a.Body))
	}
	require.Equal(t, before+3, f.executions())
	s, err := c.Stream(context.Background(), question(10))
	require.NoError(t, err)
	require.Equal(t, 10, s.Chunks)
}

// enginePaused stops the engine that serves a stream, by SIGSTOP.
func (f *fleet) enginePaused(t *testing.T) {
	c := f.client("gw-svealand-1")
	want, err := c.Stream(context.Background(), question(100))
	require.NoError(t, err)
	type result struct {
		stream *caller.Stream
		err    error
	}
	done := make(chan result, 1)
	go func() {
		s, err := c.Stream(context.Background(), question(100))
		done <- result{s, err}
	}()
	paused := ""
	f.await("an engine has the stream", func() bool {
		for i := range 2 {
			id := fmt.Sprintf("engine-svealand-%d", i+1)
			var work struct {
				InFlight int `json:"in_flight"`
			}
			resp, err := http.Get("http://" + f.addr(id+"-admin") + "/work")
			require.NoError(t, err)
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&work))
			_ = resp.Body.Close()
			if work.InFlight > 0 {
				paused = id
			}
		}
		return paused != ""
	})
	f.processes[paused].signal(t, syscall.SIGSTOP)
	got := <-done
	f.processes[paused].signal(t, syscall.SIGCONT)
	require.NoError(t, got.err, "resumed at another engine")
	require.Equal(t, want.Text, got.stream.Text, "no token lost or doubled")
}

// fault throws a switch of a stand-in.
func (f *fleet) fault(id string, s fault.Setting) {
	f.t.Helper()
	raw, err := json.Marshal(s)
	require.NoError(f.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+f.addr(id+"-admin")+"/faults", bytes.NewReader(raw))
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	require.NoError(f.t, resp.Body.Close())
	require.Less(f.t, resp.StatusCode, 300)
}

// connectionsCut cuts the connections of streams at both engines of a region,
// makes the open ones silent, and cuts off the answer of a booking that ran.
func (f *fleet) connectionsCut(t *testing.T) {
	c := f.client("gw-svealand-1")
	want, err := c.Stream(context.Background(), question(40))
	require.NoError(t, err)
	for _, id := range []string{"engine-svealand-1", "engine-svealand-2"} {
		f.fault(id, fault.Setting{Kind: fault.Truncate, Path: "/v1/chat", Chunks: 5, Count: 1})
	}
	got, err := c.Stream(context.Background(), question(40))
	require.NoError(t, err, "resumed after each cut")
	require.Equal(t, want.Text, got.Text, "no token lost or doubled")
	for _, id := range []string{"engine-svealand-1", "engine-svealand-2"} {
		f.fault(id, fault.Setting{Kind: fault.Silent})
	}
	got, err = c.Stream(context.Background(), question(40))
	require.NoError(t, err, "new connections work")
	require.Equal(t, want.Text, got.Text)

	before := f.executions()
	for _, region := range processRegions {
		f.fault("booking-"+region, fault.Setting{Kind: fault.DropResponse, Path: "/bookings", Count: 1})
	}
	tickets := f.entries(c).Tickets
	a := f.book(c, tickets.Key(tickets.First))
	var body gateway.ErrorBody
	require.NoError(t, json.Unmarshal(a.Body, &body), string(a.Body))
	require.Equal(t, failure.Unknown, body.Error.Outcome, "the booking ran and its answer is lost")
	require.Equal(t, before+1, f.executions())
	_ = f.book(c, tickets.Key(tickets.First))
	require.Equal(t, before+1, f.executions(), "a repeat runs nothing")
}

// ownerKilled kills the owner of a ticket after a booking, by SIGKILL.
func (f *fleet) ownerKilled(t *testing.T) {
	one, two := f.client("gw-svealand-1"), f.client("gw-svealand-2")
	entries := f.entries(one)
	key := entries.Tickets.Key(entries.Tickets.First)
	before := f.executions()
	require.Equal(t, http.StatusOK, f.book(one, key).Status)
	f.processes["gw-svealand-1"].signal(t, syscall.SIGKILL)
	<-f.processes["gw-svealand-1"].ended
	a := f.book(two, key)
	var body gateway.ErrorBody
	require.NoError(t, json.Unmarshal(a.Body, &body), string(a.Body))
	require.Equal(t, failure.Unknown, body.Error.Outcome, "never not_run")
	require.Equal(t, before+1, f.executions())
	require.NoError(t, anyEntry(f.client("gw-svealand-1"), entries.Entries, 10), "the caller goes to the next entry")
	fresh := f.entries(two).Tickets
	require.Equal(t, http.StatusOK, f.book(two, fresh.Key(fresh.First)).Status)
	require.Equal(t, before+2, f.executions())
}

// stopUnderLoad stops gateways one after the other, by SIGTERM, while callers
// stream.
func (f *fleet) stopUnderLoad(t *testing.T) {
	entries := f.entries(f.client("gw-svealand-2")).Entries
	stop := make(chan struct{})
	var callers sync.WaitGroup
	failed := make(chan error, 4)
	for range 4 {
		callers.Go(func() {
			c := f.client("gw-svealand-2")
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := anyEntry(c, entries, 300); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	for _, id := range []string{"gw-svealand-2", "gw-norrland-1"} {
		p := f.processes[id]
		p.signal(t, syscall.SIGTERM)
		<-p.ended
		require.Zero(t, p.cmd.ProcessState.ExitCode(), "%s cut nothing off", id)
	}
	close(stop)
	callers.Wait()
	close(failed)
	for err := range failed {
		require.NoError(t, err)
	}
}
