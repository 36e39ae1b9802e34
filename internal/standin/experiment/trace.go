package experiment

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// TracePoint compares the estimate for one attempt with its first token.
type TracePoint struct {
	SentAt       time.Duration
	Gateway      string
	Endpoint     string
	Forwarded    bool
	Priority     int
	PromptTokens int
	// EstimatedCachedTokens and CachedTokens count the prompt tokens that the
	// scheduler expected in the engine's cache and those found there.
	EstimatedCachedTokens int
	CachedTokens          int
	// QueueTime is the time from the request's arrival at the gateway to the
	// attempt, time in the gateway's queue and earlier attempts included.
	QueueTime     time.Duration
	EstimatedTTFT time.Duration
	ActualTTFT    time.Duration
}

// traceColumns are the column names of the trace file.
var traceColumns = []string{
	"deployment", "scenario", "policy", "at_ms", "gateway", "endpoint", "away", "priority", "prompt",
	"estimated_cached", "cached", "queued_ms", "estimated_ms", "actual_ms",
}

// WriteTrace writes the traces of all runs as CSV with a header line.
func WriteTrace(w io.Writer, results []Result) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(traceColumns); err != nil {
		return errors.Wrap(err, "write CSV header of the trace")
	}
	for _, r := range results {
		for _, p := range r.Trace {
			if err := cw.Write(p.row(r)); err != nil {
				return errors.Wrap(err, "write CSV row of the trace")
			}
		}
	}
	cw.Flush()
	return errors.Wrap(cw.Error(), "flush CSV of the trace")
}

func (p TracePoint) row(r Result) []string {
	return []string{
		r.Deployment, r.Scenario, r.Policy, millis(p.SentAt), p.Gateway, p.Endpoint, strconv.FormatBool(p.Forwarded),
		strconv.Itoa(p.Priority), strconv.Itoa(p.PromptTokens), strconv.Itoa(p.EstimatedCachedTokens), strconv.Itoa(p.CachedTokens),
		millis(p.QueueTime), millis(p.EstimatedTTFT), millis(p.ActualTTFT),
	}
}
