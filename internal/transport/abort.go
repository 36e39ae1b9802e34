package transport

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var abortedWrites = telemetry.NewCounter("connections_aborted", "connections", "connections to any server that were reset or timed out while a request was being sent")

// abortableWriter writes to a connection and tells its orderly end from an abort. The kernel reports
// that a connection was reset, or timed out, only once: if a write is told, the read that follows
// finds the end of the stream, and a response without a length would look whole.
type abortableWriter struct {
	// mu is held during each write.
	mu sync.Mutex
	// abort is the error that a write was told, nil if none was.
	abort error
}

// write writes p to conn. EPIPE is no abort: the reset came after the orderly end of what the server
// sent, or the error was reported before.
func (w *abortableWriter) write(conn net.Conn, p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := conn.Write(p)
	var errno syscall.Errno
	if w.abort == nil && errors.As(err, &errno) && errno != syscall.EPIPE {
		abortedWrites.Inc()
		w.abort = err
	}
	return n, err
}

// endOfStream returns what a read at the end of the stream returns: io.EOF, or the error that a
// write was told. raw is nil if the connection is no socket.
func (w *abortableWriter) endOfStream(raw syscall.RawConn) error {
	if !isClosedBothWays(raw) {
		// A write may be waiting for the server to read on.
		return io.EOF
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abort != nil {
		return w.abort
	}
	return io.EOF
}

// isClosedBothWays reports whether nothing can be read from a socket or written to it any more, so
// that a write returns at once. That includes a socket that this process has closed.
func isClosedBothWays(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	isHungUp := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}}
		_, pollErr := unix.Poll(fds, 0)
		isHungUp = pollErr == nil && fds[0].Revents&unix.POLLHUP != 0
	})
	return err != nil || isHungUp
}

// rawConn returns the socket of a connection, or nil if it is none.
func rawConn(conn net.Conn) syscall.RawConn {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
