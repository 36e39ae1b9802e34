// Package datagram receives the datagrams that gateways send each other.
package datagram

import (
	"net"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// Receive calls handle for each datagram, one after another, until conn is
// closed. Datagrams are cut to maxBytes. body is valid only during the call.
func Receive(conn net.PacketConn, maxBytes int, logger *log.Logger, handle func(body []byte, from net.Addr)) {
	buffer := make([]byte, maxBytes)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			logger.Warn("cannot receive datagram", "at", conn.LocalAddr(), "err", err)
			continue
		}
		handle(buffer[:n], from)
	}
}
