package grants

import (
	"net"
	"strings"
	"time"

	"github.com/hickorystage/hickorystage/internal/lenient"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// unreadableLogInterval is the time between two log lines about messages that can't be
// read: there may be hundreds of requests a second.
const unreadableLogInterval = 5 * time.Second

var (
	unreadable = telemetry.NewCounter("grants_unreadable", "datagrams", "grant and permit messages of which a part can't be read")
	refused    = telemetry.NewCounter("grants_refused", "responses", "responses of other gateways that they can't read a part of a grant or permit request")
)

// logLimit limits how often a line is logged. The lock of the controller guards it.
type logLimit struct{ last time.Time }

func (c *Controller) mayLog(l *logLimit) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !l.last.IsZero() && time.Since(l.last) < unreadableLogInterval {
		return false
	}
	l.last = time.Now()
	return true
}

// handleUnreadable handles a message of which a part can't be read. A request is decided by
// the rest if that is enough. The sender is told in any case, and a goroutine that waits for
// a response doesn't take the other gateway for silent.
func (c *Controller) handleUnreadable(m message, problems []lenient.Problem, from net.Addr) {
	isCredit := m.CreditAsk != nil || m.CreditGrant != nil
	if m.RequestID == 0 && !isCredit {
		malformed.Inc()
		return
	}
	unreadable.Inc()
	report := lenient.NewReport(problems)
	if c.mayLog(&c.unreadableLog) {
		c.logger.Warn("cannot read a part of a grant message", "from", from, "problems", report.Problems, "count", report.Count)
	}
	switch {
	case isCredit:
		if m.CreditAsk != nil {
			m.Unreadable = report
		}
		c.handle(m, from)
	case m.Request != nil || m.PermitRequest != nil || m.ProofRequest != nil:
		m.Unreadable = report
		c.handle(m, from)
	case m.isResponse():
		c.handle(m, from)
	case !hasRequestProblem(problems) && c.deliver(message{RequestID: m.RequestID, isDamaged: true}):
	default:
		c.respond(message{RequestID: m.RequestID, Unreadable: report}, from)
	}
}

// hasRequestProblem reports whether a request can't be read.
func hasRequestProblem(problems []lenient.Problem) bool {
	for _, p := range problems {
		if name, _, _ := strings.Cut(p.Path, "."); name == "q" || name == "pq" || name == "fq" {
			return true
		}
	}
	return false
}

// logRefused logs that another gateway can't read a request of this one.
func (c *Controller) logRefused(by string, response message) {
	r := response.Unreadable
	if r == nil {
		return
	}
	refused.Inc()
	if c.mayLog(&c.refusedLog) {
		c.logger.Warn("another gateway cannot read a part of a grant request of this one", "gateway", by, "problems", r.Problems, "count", r.Count)
	}
}
