package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// CheckedTransport is an http.Transport for HTTP/1.1 whose requests fail with a
// *HeaderLinesError if a response has more than MaxResponseHeaderLines lines of header, and with a
// *MalformedHeaderError if the header is not as RFC 9112 has it. A response without a length also
// fails if its connection is reset while the request is still being sent. It is for clients other
// than a Transport, which checks responses itself.
type CheckedTransport struct{ *http.Transport }

// NewCheckedTransport returns a CheckedTransport with the settings of t, which must not be used
// otherwise afterwards. A nil DialContext uses a plain net.Dialer.
func NewCheckedTransport(t *http.Transport) CheckedTransport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(conn), nil
	}
	config := t.TLSClientConfig
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured, err := handshake(ctx, conn, config, address)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		return newCheckedConn(secured), nil
	}
	return CheckedTransport{t}
}

// handshake opens a TLS session on a connection to address.
func handshake(ctx context.Context, conn net.Conn, config *tls.Config, address string) (net.Conn, error) {
	if config == nil {
		config = &tls.Config{}
	}
	config = config.Clone()
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		config.ServerName = host
	}
	session := tls.Client(conn, config)
	return session, session.HandshakeContext(ctx)
}

// RoundTrip implements http.RoundTripper.
func (t CheckedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			c.expectResponse()
		}
	}})
	return t.Transport.RoundTrip(req.WithContext(ctx))
}

// checkedConn checks each response that it reads.
type checkedConn struct {
	net.Conn
	// raw is nil if the connection is no socket.
	raw    syscall.RawConn
	writer abortableWriter

	mu   sync.Mutex
	head responseHead
}

// newCheckedConn returns a connection that expects a response.
func newCheckedConn(conn net.Conn) *checkedConn {
	c := &checkedConn{Conn: conn, raw: rawConn(conn)}
	c.head.begin()
	return c
}

// expectResponse notes that the connection was chosen for a request. A write alone doesn't tell
// one: the body of a request may still be sent after the header of its response has arrived.
func (c *checkedConn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.head.isReading {
		c.head.begin()
	}
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) { return c.writer.write(c.Conn, p) }

// Read implements net.Conn. After an invalid header it reads nothing more.
func (c *checkedConn) Read(p []byte) (int, error) {
	if err := c.checkHead(nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.writer.endOfStream(c.raw)
	}
	if invalid := c.checkHead(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// checkHead takes in bytes of a response, and returns an error if its header is invalid.
func (c *checkedConn) checkHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.head.add(p); err != nil {
		return errors.Wrapf(err, "response from %s", c.RemoteAddr())
	}
	return nil
}
