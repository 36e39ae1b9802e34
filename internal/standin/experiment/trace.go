package experiment

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// TracePoint is one request's first token against what was expected.
type TracePoint struct {
	At       time.Duration
	Gateway  string
	Endpoint string
	Away     bool
	Priority int
	Prompt   int
	// EstimatedCached and Cached are prompt tokens.
	EstimatedCached int
	Cached          int
	// Queued is the time in the gateway's queue.
	Queued    time.Duration
	Estimated time.Duration
	Actual    time.Duration
}

// traceColumns are the heads of a trace file.
var traceColumns = []string{
	"deployment", "scenario", "policy", "at_ms", "gateway", "endpoint", "away", "priority", "prompt",
	"estimated_cached", "cached", "queued_ms", "estimated_ms", "actual_ms",
}

// WriteTrace writes every first token of every run as CSV.
func WriteTrace(w io.Writer, fs []Figures) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(traceColumns); err != nil {
		return errors.Wrap(err, "write the head of the trace")
	}
	for _, f := range fs {
		for _, p := range f.Trace {
			if err := cw.Write(p.row(f)); err != nil {
				return errors.Wrap(err, "write the trace")
			}
		}
	}
	cw.Flush()
	return errors.Wrap(cw.Error(), "write the trace")
}

func (p TracePoint) row(f Figures) []string {
	return []string{
		f.Deployment, f.Scenario, f.Policy, millis(p.At), p.Gateway, p.Endpoint, strconv.FormatBool(p.Away),
		strconv.Itoa(p.Priority), strconv.Itoa(p.Prompt), strconv.Itoa(p.EstimatedCached), strconv.Itoa(p.Cached),
		millis(p.Queued), millis(p.Estimated), millis(p.Actual),
	}
}
