package transport

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// endWrite returns the result of a write. A server that refuses a request before it has read
// the body may close the connection, which resets it while the body is being written. Its
// response has arrived by then or never will: the rest of the body is discarded, so that
// net/http reads the response rather than report the failed write. At the end of what has arrived
// the read fails for the same reason, unless the server ended the stream before the reset. So a
// response is whole only if its length, its chunks or that end show it. Without a response, the
// request may have run.
//
// This covers small services that turn away requests with long bodies in a peak. As a failed
// write, a share of their refusals would end as responses lost.
func (c *pooledConn) endWrite(p []byte, n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.sending = true
		return n, nil
	}
	if c.sending && (errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)) {
		return len(p), nil
	}
	return n, err
}
