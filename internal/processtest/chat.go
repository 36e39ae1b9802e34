package processtest

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/standin/caller"
)

// awaitTimeout limits each wait for a state of the processes. It is not a
// performance requirement: it only ends a test that would hang.
const awaitTimeout = time.Minute

// Secrets of a ChatDeployment, and the key of a caller in its configuration.
const (
	PeerSecret = "a-secret-of-the-gateways"
	AdminToken = "a-token-of-the-operators"
	CallerKey  = "demo-key-svealand"
)

// ChatDeployment is a deployment of the chat half: separate processes on the loopback
// interface.
type ChatDeployment struct {
	T         *testing.T
	Dir       string
	Processes map[string]*Process

	bin       string
	env       []string
	addresses map[string]string
}

// StartChatPlatform builds the programs, starts the stand-ins of the store and the
// directory, and applies the example configuration.
func StartChatPlatform(t *testing.T) *ChatDeployment {
	t.Helper()
	d := &ChatDeployment{T: t, Dir: t.TempDir(), bin: Build(t, "hickorystage", "standin"), Processes: map[string]*Process{}, addresses: map[string]string{}}
	d.env = []string{
		"HICKORYSTAGE_STORE_URL=http://" + d.Addr("store"), "HICKORYSTAGE_DIRECTORY_URL=" + d.directoryURL(),
		"HICKORYSTAGE_PEER_SECRETS=" + PeerSecret, "HICKORYSTAGE_ADMIN_TOKEN=" + AdminToken,
	}
	d.Start("store", "standin", "store", "--listen", d.Addr("store"), "--admin", d.Addr("store-admin"))
	d.Start("directory", "standin", "directory", "--listen", d.Addr("directory"), "--admin", d.Addr("directory-admin"), "--lag", "300ms")
	for _, name := range []string{"store", "directory"} {
		d.Await(name+" listens", func() bool { return d.isListening(d.Addr(name)) })
	}
	require.NoError(t, os.CopyFS(d.ConfigDir(), os.DirFS("../../examples/luftvard")))
	d.Run("hickorystage", "config", "apply", d.ConfigDir(), "--author", "test")
	return d
}

func (d *ChatDeployment) directoryURL() string { return "http://" + d.Addr("directory") }

// ConfigDir returns the directory of the operators' configuration files.
func (d *ChatDeployment) ConfigDir() string { return filepath.Join(d.Dir, "config") }

// Addr returns the address with the given name, which is a free one at the first call.
func (d *ChatDeployment) Addr(name string) string {
	if d.addresses[name] == "" {
		d.addresses[name] = FreeAddress(d.T)
	}
	return d.addresses[name]
}

// SetEnv adds a variable to the environment of the programs started from now on.
func (d *ChatDeployment) SetEnv(name, value string) { d.env = append(d.env, name+"="+value) }

// Start starts a program as a named process, which is killed when the test ends. Its
// output goes to a log file of that name.
func (d *ChatDeployment) Start(name, program string, args ...string) *Process {
	d.T.Helper()
	d.Processes[name] = StartLogged(d.T, d.Dir, name, d.env, filepath.Join(d.bin, program), args...)
	return d.Processes[name]
}

// Run runs a command and waits until it has ended.
func (d *ChatDeployment) Run(program string, args ...string) {
	d.T.Helper()
	cmd := exec.Command(filepath.Join(d.bin, program), args...)
	cmd.Env = append(os.Environ(), d.env...)
	out, err := cmd.CombinedOutput()
	require.NoError(d.T, err, string(out))
}

// Await waits until ok returns true. If that takes longer than awaitTimeout, it ends the
// test and logs what has become of each process.
func (d *ChatDeployment) Await(what string, ok func() bool) {
	d.T.Helper()
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Processes)) {
		d.T.Logf("%s: %s", name, d.Processes[name].describe())
	}
	d.T.Fatalf("condition not met: %s", what)
}

// StartEngine starts the stand-in of an engine.
func (d *ChatDeployment) StartEngine(id, region string) {
	d.Start(id, "standin", "engine", "--id", id, "--region", region, "--group", "assistant", "--listen", d.Addr(id), "--admin", d.Addr(id+"-admin"),
		"--register", d.directoryURL(), "--leave-grace", "100ms", "--token-interval", "20ms", "--first-token", "50ms")
}

// StartBooking starts the stand-in of a booking service.
func (d *ChatDeployment) StartBooking(id, region string) {
	d.Start(id, "standin", "service", "--id", id, "--region", region, "--group", "booking", "--listen", d.Addr(id), "--admin", d.Addr(id+"-admin"),
		"--register", d.directoryURL(), "--leave-grace", "100ms")
}

// StartGateway registers and starts a gateway.
func (d *ChatDeployment) StartGateway(id, region string) *Process {
	d.Run("standin", "register", "--register", d.directoryURL(), "--id", id, "--region", region, "--address", d.Addr(id+"-peer"))
	return d.Start(id, "hickorystage", "gateway", "--id", id, "--region", region, "--data-centre", region+"-1",
		"--listen", d.Addr(id), "--peer-listen", d.Addr(id+"-peer"), "--admin-listen", d.Addr(id+"-admin"), "--drain-timeout", "30s", "--chunk-timeout", "2s", "--first-byte-timeout", "3s")
}

func (d *ChatDeployment) isListening(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// Status asks a gateway for its status.
func (d *ChatDeployment) Status(id string) (gateway.Status, error) {
	var s gateway.Status
	c := &caller.Client{HTTP: http.DefaultClient, Address: d.Addr(id + "-admin"), Key: AdminToken}
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	a, err := c.Do(ctx, http.MethodGet, "/admin/v1/status", nil, nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(a.Body, &s)
}

// IsServing reports whether a gateway serves and knows at least the given numbers of
// endpoints and peers.
func (d *ChatDeployment) IsServing(id string, endpoints, peers int) bool {
	s, err := d.Status(id)
	return err == nil && s.Lifecycle == "serving" && len(s.Endpoints) >= endpoints && len(s.Peers) >= peers && s.Revision > 0
}

// Client returns a caller of a gateway with connections of its own.
func (d *ChatDeployment) Client(id string) *caller.Client {
	transport := &http.Transport{}
	d.T.Cleanup(transport.CloseIdleConnections)
	return &caller.Client{HTTP: &http.Client{Transport: transport, Timeout: 2 * awaitTimeout}, Address: d.Addr(id), Key: CallerKey}
}
