// Package processtest builds the product's programs and runs them as processes for
// tests.
package processtest

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
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
	// Log is the name of the file that holds the process's output.
	Log string
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
	p := &Process{Cmd: cmd, Log: log.Name(), Ended: make(chan struct{})}
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

// describe returns the state of the process and the last lines that it logged.
func (p *Process) describe() string {
	state := "running"
	select {
	case <-p.Ended:
		state = p.Cmd.ProcessState.String()
	default:
	}
	const maxLines = 20
	raw, err := os.ReadFile(p.Log)
	if err != nil {
		return fmt.Sprintf("%s, log can't be read: %v", state, err)
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return state + "\n" + strings.Join(lines[max(0, len(lines)-maxLines):], "\n")
}

// Signal sends a signal to a running process.
func (p *Process) Signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.Cmd.Process.Signal(s))
}

// LoopbackIP returns an address in 127.0.0.0/8 that no other test process uses. Outgoing
// connections have 127.0.0.1 as their source, so they never take one of its ports.
func LoopbackIP() string {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, 64 | byte(pid>>16)&63, byte(pid >> 8), byte(pid)}).String()
}

var freeAddresses struct {
	mu sync.Mutex
	// used holds the addresses that FreeAddress has returned.
	used map[string]bool
}

// FreeAddress returns an address on LoopbackIP that it hasn't returned before. The port is
// not bound, and the kernel may choose it again for another listener.
func FreeAddress(t *testing.T) string {
	t.Helper()
	freeAddresses.mu.Lock()
	defer freeAddresses.mu.Unlock()
	if freeAddresses.used == nil {
		freeAddresses.used = make(map[string]bool)
	}
	for {
		ln, err := net.Listen("tcp", net.JoinHostPort(LoopbackIP(), "0"))
		require.NoError(t, err)
		address := ln.Addr().String()
		require.NoError(t, ln.Close())
		if !freeAddresses.used[address] {
			freeAddresses.used[address] = true
			return address
		}
	}
}
