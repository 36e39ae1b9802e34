// Package lagprobe is the controller that sends the probes of readlag: datagrams from this
// process to itself, which it reads as it reads everything else.
package lagprobe

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/datagram"
	"github.com/hickorystage/hickorystage/internal/readlag"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	// interval is the time between two probes.
	interval = 100 * time.Millisecond
	// behind is the lag from which the gateway logs that it is behind: much of the time that
	// short requests may take.
	behind = 250 * time.Millisecond
	// logInterval is the least time between two such lines.
	logInterval = time.Second
	// maxBytes bounds the datagrams that are read. A probe is its number.
	maxBytes    = 16
	numberBytes = 8
)

var (
	lagSeen   = telemetry.NewCounter("read_lag_us", "microseconds", "how long the last probe waited until this process read it (now)")
	timesLate = telemetry.NewCounter("read_late", "probes", "probes that waited for 250 ms or longer")
)

// Controller sends a probe every interval.
type Controller struct {
	conn   net.PacketConn
	meter  *readlag.Meter
	logger *log.Logger
	logged time.Time
}

// New returns the controller. Run closes conn, whose own address the probes are sent to.
func New(conn net.PacketConn, meter *readlag.Meter, logger *log.Logger) *Controller {
	return &Controller{conn: conn, meter: meter, logger: logger}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "lagprobe" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	t.Go(func() error {
		datagram.Receive(c.conn, maxBytes, c.logger, c.receive)
		return nil
	})
	defer c.conn.Close()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
			c.send()
		}
	}
}

func (c *Controller) send() {
	number := c.meter.Send(time.Now())
	if _, err := c.conn.WriteTo(binary.BigEndian.AppendUint64(nil, number), c.conn.LocalAddr()); err != nil {
		c.logger.Warn("cannot send a probe to itself", "err", err)
	}
}

func (c *Controller) receive(body []byte, from net.Addr) {
	if len(body) != numberBytes || from.String() != c.conn.LocalAddr().String() {
		return
	}
	now := time.Now()
	c.meter.Receive(binary.BigEndian.Uint64(body), now)
	lag := c.meter.Lag(now)
	lagSeen.Set(lag.Microseconds())
	if lag < behind {
		return
	}
	timesLate.Inc()
	if now.Sub(c.logged) >= logInterval {
		c.logged = now
		c.logger.Warn("behind its sockets", "lag_ms", lag.Milliseconds())
	}
}
