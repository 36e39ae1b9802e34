package hostile

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// rounds is how often a client attacks again after the gateway has closed its
	// connection.
	rounds = 3
	// writeTimeout ends writes of a client that the gateway doesn't read from.
	writeTimeout = 20 * time.Second
	// recoveryTimeout limits the wait for an ordinary response. It only ends a test that
	// would hang.
	recoveryTimeout = time.Minute
)

// attack runs a crowd of size clients, each of which sends what script writes and keeps its
// connection open. When all have sent it or were closed, an ordinary request must be
// answered. Then it checks that the process lived on within its limits.
func attack(t *testing.T, target *target, size int, script func(client int, conn net.Conn)) {
	t.Helper()
	pid := target.process.Cmd.Process.Pid
	var clients, arrivals sync.WaitGroup
	released := make(chan struct{})
	var descriptors atomic.Int64
	clients.Go(func() { watchDescriptors(pid, &descriptors, released) })
	arrivals.Add(size)
	for n := range size {
		clients.Go(func() {
			arrived := sync.OnceFunc(arrivals.Done)
			defer arrived()
			for range rounds {
				attackOnce(target.address, released, func(conn net.Conn) {
					script(n, conn)
					arrived()
				})
			}
		})
	}
	arrivals.Wait()
	var err error
	served := assert.Eventually(t, func() bool {
		err = target.sendOrdinary()
		return err == nil
	}, recoveryTimeout, 200*time.Millisecond, "an ordinary request is answered")
	if !served {
		t.Logf("last ordinary request: %v", err)
	}
	close(released)
	clients.Wait()
	select {
	case <-target.process.Ended:
		t.Fatalf("the process ended: %v", target.process.Cmd.ProcessState)
	default:
	}
	peak := memoryPeakMB(t, pid)
	t.Logf("memory peak %d MB, at most %d descriptors seen", peak, descriptors.Load())
	assert.LessOrEqual(t, peak, memoryLimitMB, "peak of the memory in MB")
	assert.LessOrEqual(t, descriptors.Load(), int64(maxDescriptors), "open descriptors")
}

// attackOnce sends what script writes on a new connection, and keeps it open until the
// gateway closes it or released is closed.
func attackOnce(address string, released <-chan struct{}, script func(net.Conn)) {
	select {
	case <-released:
		return
	default:
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		discard := make([]byte, 4096)
		for {
			if _, err := conn.Read(discard); err != nil {
				return
			}
		}
	}()
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	script(conn)
	select {
	case <-closed:
	case <-released:
	}
}

// watchDescriptors keeps the largest number of open descriptors of a process that it has
// seen, until done is closed.
func watchDescriptors(pid int, most *atomic.Int64, done <-chan struct{}) {
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			most.Store(max(most.Load(), int64(len(entries))))
		}
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// memoryPeakMB returns the largest resident memory that a process has had.
func memoryPeakMB(t *testing.T, pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(text)[0])
			require.NoError(t, err)
			return kb >> 10
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0
}
