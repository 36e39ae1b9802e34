package heartbeat

import (
	"net"
	"strings"
	"time"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/lenient"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	// unreadableReportInterval is the time between two reports to a gateway whose
	// heartbeats can't be read, and between two log lines about it.
	unreadableReportInterval = 5 * time.Second
	// maxUnreadableSenders limits the gateways that are reported to within an interval.
	maxUnreadableSenders = 512
)

var (
	unreadable = telemetry.NewCounter("beats_unreadable", "beats", "heartbeats of known gateways of which a part can't be read")
	refused    = telemetry.NewCounter("beats_refused", "reports", "reports of other gateways that they can't read a part of this gateway's heartbeats")
)

// unreadableSenders holds by gateway when it was last told that its heartbeats can't be
// read.
type unreadableSenders map[string]time.Time

// mayReport reports whether the gateway is to be told now, and records that it is.
func (u unreadableSenders) mayReport(id string, now time.Time) bool {
	if at, ok := u[id]; ok && now.Sub(at) < unreadableReportInterval {
		return false
	}
	for other, at := range u {
		if now.Sub(at) >= unreadableReportInterval {
			delete(u, other)
		}
	}
	if len(u) >= maxUnreadableSenders {
		return false
	}
	u[id] = now
	return true
}

// receiveDatagram applies what can be read of a heartbeat. Of one that can't be read in
// full, the sender still counts as alive and is told.
func (c *Controller) receiveDatagram(body []byte, from net.Addr, now time.Time) {
	var m Message
	problems := lenient.Decode(body, &m)
	if len(problems) == 0 {
		c.applyMessage(m, now)
		return
	}
	known, ok := c.identify(m, body, from)
	if !ok {
		malformed.Inc()
		return
	}
	unreadable.Inc()
	m.complete(known, problems)
	c.applyMessage(m, now)
	if c.Gateways.RecordContact(known.ID, now) {
		c.Logger.Info("gateway is alive", "id", known.ID, "region", known.Region, "readable", false)
	}
	if known.ID != c.Gateways.Self().ID && c.unreadable.mayReport(known.ID, now) {
		report := lenient.NewReport(problems)
		c.Logger.Warn("cannot read a part of a heartbeat", "gateway", known.ID, "problems", report.Problems, "count", report.Count)
		c.send([]fleet.GatewayStatus{known}, Message{From: c.ownStatus(), Unreadable: report})
	}
}

// identify returns the sender of a heartbeat that can't be read in full: by its status, by
// the id alone, or by the address that it came from.
func (c *Controller) identify(m Message, body []byte, from net.Addr) (fleet.GatewayStatus, bool) {
	id := m.From.ID
	if id == "" {
		var sender struct {
			From struct {
				ID string `json:"id"`
			} `json:"from" lenient:"parts"`
		}
		lenient.Decode(body, &sender)
		id = sender.From.ID
	}
	known, ok := c.Gateways.Get(id)
	if !ok && id == "" && from != nil {
		known, ok = c.Gateways.ByHeartbeatAddress(from.String())
	}
	if !ok && m.From.ID != "" {
		return m.From, true
	}
	return known, ok
}

// complete fills in what can't be read of the message, so that the rest can be applied.
// known is the last known status of the sender.
func (m *Message) complete(known fleet.GatewayStatus, problems []lenient.Problem) {
	if m.From.ID == "" {
		m.From = known
	}
	if m.From.Incarnation == known.Incarnation {
		m.From = keepKnown(m.From, known, problems)
	}
	for _, p := range problems {
		if p.Path == "" || p.Path == "rows" {
			// Without its loads a heartbeat doesn't mean that the sender has none.
			m.ToHub = false
		}
	}
	for i, s := range m.Summaries {
		if len(s.Alive) > 0 && hashAlive(s.Alive) != s.AliveHash {
			// The list lacks entries, so that it must not complete later summaries.
			m.Summaries[i].AliveHash = 0
		}
	}
}

// keepKnown returns the status with the fields that can't be read as they were.
func keepKnown(s, known fleet.GatewayStatus, problems []lenient.Problem) fleet.GatewayStatus {
	for _, p := range problems {
		switch name, _ := strings.CutPrefix(p.Path, "from."); name {
		case "dc":
			s.DataCentre = known.DataCentre
		case "caller":
			s.CallerAddress = known.CallerAddress
		case "peer":
			s.PeerAddress = known.PeerAddress
		case "grant":
			s.GrantAddress = known.GrantAddress
		case "strength":
			s.MachineCapacity = known.MachineCapacity
		case "millicores":
			s.Millicores = known.Millicores
		case "seq":
			s.Seq = known.Seq + 1
		case "ready":
			s.Ready = known.Ready
		case "leaving":
			s.Leaving = known.Leaving
		case "blind":
			s.StoreUnreachable = known.StoreUnreachable
		}
	}
	return s
}

// logRefused logs that another gateway can't read this one's heartbeats. The other one
// limits how often it says so.
func (c *Controller) logRefused(by fleet.GatewayStatus, report lenient.Report) {
	refused.Inc()
	c.Logger.Warn("another gateway cannot read a part of the heartbeats of this one", "gateway", by.ID, "region", by.Region, "problems", report.Problems, "count", report.Count)
}
