package grants

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/pace"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	paceReportsSent     = telemetry.NewCounter("pace_reports_sent", "reports", "reports to other gateways of how endpoints that have just started or recovered respond")
	paceReportsReceived = telemetry.NewCounter("pace_reports_received", "reports", "such reports from other gateways")
)

// PaceReport tells a gateway that keeps the window of an endpoint that has just started or
// recovered what one request showed of it. It is not answered; a lost one leaves the endpoint's window
// as it is.
type PaceReport struct {
	Endpoint        string      `json:"e" lenient:"required"`
	Incarnation     int64       `json:"i" lenient:"required"`
	ExpectedMillis  int64       `json:"x,omitempty" lenient:"required"`
	ActualMillis    int64       `json:"a,omitempty" lenient:"required"`
	ObjectiveMillis int64       `json:"o,omitempty" lenient:"required"`
	Result          pace.Result `json:"r,omitempty" lenient:"required"`
}

// maxPaceMillis bounds the times of a report, so that no multiple of them overflows.
const maxPaceMillis = int64(time.Hour / time.Millisecond)

// NewPaceReport returns the report of a sample.
func NewPaceReport(endpoint string, incarnation int64, s pace.Sample) PaceReport {
	return PaceReport{
		Endpoint: endpoint, Incarnation: incarnation, Result: s.Result,
		ExpectedMillis: s.Expected.Milliseconds(), ActualMillis: s.Actual.Milliseconds(), ObjectiveMillis: s.Objective.Milliseconds(),
	}
}

// Sample returns the sample of the report. Times out of bounds are moved to the bound.
func (r PaceReport) Sample() pace.Sample {
	bounded := func(millis int64) time.Duration {
		return time.Duration(min(max(millis, 0), maxPaceMillis)) * time.Millisecond
	}
	return pace.Sample{Expected: bounded(r.ExpectedMillis), Actual: bounded(r.ActualMillis), Objective: bounded(r.ObjectiveMillis), Result: r.Result}
}

// SetPaceRecorder sets the function that records the reports of other gateways. It must
// be called before Run.
func (c *Controller) SetPaceRecorder(record func(PaceReport, time.Time)) { c.recordPace = record }

// ReportPace sends a report to the gateway at the given address (host:port).
func (c *Controller) ReportPace(address string, r PaceReport) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrap(err, "resolve gateway address")
	}
	paceReportsSent.Inc()
	return c.send(message{PaceReport: &r}, to)
}

func (c *Controller) handlePaceReport(r PaceReport) {
	if c.recordPace == nil || r.Endpoint == "" || !r.Result.IsValid() {
		malformed.Inc()
		return
	}
	paceReportsReceived.Inc()
	c.recordPace(r, time.Now())
}
