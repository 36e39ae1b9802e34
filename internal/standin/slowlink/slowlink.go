// Package slowlink limits the rate at which a connection receives, for tests of large responses.
package slowlink

import (
	"context"
	"net"
	"time"
)

// TenMegabits is a rate in bytes per second.
const TenMegabits = 10_000_000 / 8

// chunk is the number of bytes that are received at once at most.
const chunk = 4 << 10

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections with dial that receive at most bytesPerSecond.
func Dial(dial DialFunc, bytesPerSecond int) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, rate: bytesPerSecond}, nil
	}
}

// conn delays what it receives. Only one goroutine may read.
type conn struct {
	net.Conn
	rate int
	// nextAt is when the link is free for the next bytes.
	nextAt time.Time
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), chunk)])
	now := time.Now()
	if c.nextAt.Before(now) {
		c.nextAt = now
	}
	c.nextAt = c.nextAt.Add(time.Duration(n) * time.Second / time.Duration(c.rate))
	time.Sleep(c.nextAt.Sub(now))
	return n, err
}
