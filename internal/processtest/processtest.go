// Package processtest builds the product's programs and runs them as processes for
// tests.
package processtest

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Build builds the named programs of cmd, without the race detector, and returns the
// directory that holds them. The working directory must be that of a package in
// internal.
func Build(t *testing.T, programs ...string) string {
	t.Helper()
	dir := t.TempDir()
	args := []string{"build", "-o", dir + "/"}
	for _, p := range programs {
		args = append(args, "../../cmd/"+p)
	}
	out, err := exec.Command("go", args...).CombinedOutput()
	require.NoError(t, err, string(out))
	return dir
}

// Process is one started process.
type Process struct {
	Cmd *exec.Cmd
	// Ended is closed when the process has exited and its state is known.
	Ended chan struct{}
}

// Start starts a program whose output goes to log. The environment is that of the test
// and env. The kernel kills the process when the test process ends, however that ends.
func Start(t *testing.T, log *os.File, env []string, program string, args ...string) *Process {
	t.Helper()
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, cmd.Start())
	p := &Process{Cmd: cmd, Ended: make(chan struct{})}
	go func() {
		// The exit code is read from the process state.
		_ = cmd.Wait()
		close(p.Ended)
	}()
	return p
}

// StartLogged starts a program whose output goes to a log file in dir that is named like
// the process. The process is killed and reaped when the test ends.
func StartLogged(t *testing.T, dir, name string, env []string, program string, args ...string) *Process {
	t.Helper()
	log, err := os.Create(filepath.Join(dir, name+".log"))
	require.NoError(t, err)
	p := Start(t, log, env, program, args...)
	t.Cleanup(func() {
		p.Kill()
		_ = log.Close()
	})
	return p
}

// Kill ends the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.Cmd.Process.Kill()
	<-p.Ended
}

// Signal sends a signal to a running process.
func (p *Process) Signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.Cmd.Process.Signal(s))
}

// FreeAddress returns an address on the loopback IP with a port that was free a moment ago.
func FreeAddress(t *testing.T, ip string) string {
	t.Helper()
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}
