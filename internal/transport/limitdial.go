package transport

import (
	"context"
	"net"
	"sync"
)

// LimitHeaderLines returns a dial function whose connections fail with a *HeaderLinesError
// when a response has more than MaxResponseHeaderLines lines of header. It is for HTTP/1.1
// clients other than a Transport, which limits them itself. A nil dial uses a plain
// net.Dialer.
func LimitHeaderLines(dial DialFunc) DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headerLimitedConn{Conn: conn}, nil
	}
}

// headerLimitedConn limits the lines of the header of each response.
type headerLimitedConn struct {
	net.Conn
	mu   sync.Mutex
	head responseHead
}

// Write implements net.Conn. Bytes that follow the last response belong to the next request.
func (c *headerLimitedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if !c.head.isReading {
		c.head.begin()
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn. After a header with too many lines it reads nothing more.
func (c *headerLimitedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	isTooLong := c.head.lines > MaxResponseHeaderLines
	c.mu.Unlock()
	if isTooLong {
		return 0, &HeaderLinesError{Address: c.RemoteAddr().String()}
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.head.add(p[:n]) {
		return 0, &HeaderLinesError{Address: c.RemoteAddr().String()}
	}
	return n, err
}
