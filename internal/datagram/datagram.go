// Package datagram reads the datagrams that gateways send each other.
package datagram

import (
	"net"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// Receive calls handle for each datagram of at most maxBytes, one after another,
// until the connection is closed. The bytes are valid during the call only.
func Receive(conn net.PacketConn, maxBytes int, logger *log.Logger, handle func(body []byte, from net.Addr)) {
	buffer := make([]byte, maxBytes)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			logger.Warn("datagram not received", "at", conn.LocalAddr(), "err", err)
			continue
		}
		handle(buffer[:n], from)
	}
}
