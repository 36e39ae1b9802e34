package gossip

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/lenient"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// unreadableLogInterval is the time between two log lines about exchanges that can't be
// read: each exchange brings the same problems again.
const unreadableLogInterval = 5 * time.Second

var (
	unreadable = telemetry.NewCounter("peer_exchange_unreadable", "exchanges", "gossip exchanges received of which a part can't be read")
	refused    = telemetry.NewCounter("peer_exchange_refused", "reports", "reports of peers that they can't read a part of this gateway's gossip exchanges")
)

// send sends an exchange and returns the response, and whether one came.
func (c *Controller) send(ctx context.Context, address string, msg peer.Exchange) (peer.Exchange, bool) {
	exchanges.Inc()
	response, err := c.client.Exchange(ctx, address, msg)
	var status *peer.StatusError
	if errors.As(err, &status) && status.Status == http.StatusBadRequest {
		// An earlier build refuses an exchange of which it can't read a part.
		c.logRefused(address, &lenient.Report{Problems: []string{err.Error()}, Count: 1})
		err = nil
	}
	if err != nil {
		exchangeErrors.Inc()
		return peer.Exchange{}, false
	}
	c.reportOf(response)
	if !response.IsFromComplete() {
		c.view.RecordResponse(address, time.Now())
	}
	return response, true
}

// reportOf returns the report on the parts of an exchange that can't be read, and logs it.
// It returns nil if all of it can be read.
func (c *Controller) reportOf(msg peer.Exchange) *lenient.Report {
	if len(msg.Problems) == 0 {
		return nil
	}
	unreadable.Inc()
	report := lenient.NewReport(msg.Problems)
	if c.mayLog(&c.unreadableLoggedAt) {
		c.logger.Warn("cannot read a part of an exchange", "peer", msg.From.ID, "problems", report.Problems, "count", report.Count)
	}
	return report
}

// logRefused logs that a peer can't read this gateway's exchanges.
func (c *Controller) logRefused(by string, report *lenient.Report) {
	refused.Inc()
	if c.mayLog(&c.refusedLoggedAt) {
		c.logger.Warn("a peer cannot read a part of the exchanges of this gateway", "peer", by, "problems", report.Problems, "count", report.Count)
	}
}

// mayLog reports whether a line that was last logged at the given time may be logged again.
func (c *Controller) mayLog(last *time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !last.IsZero() && time.Since(*last) < unreadableLogInterval {
		return false
	}
	*last = time.Now()
	return true
}
