package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// columns are the column names of the table and the CSV file.
var columns = []string{
	"deployment", "gateways", "scenario", "policy", "requests", "ttft_p50_ms", "ttft_p95_ms", "ttft_p99_ms",
	"gap_p95_ms", "away", "good", "wasted", "cost_tokens", "limited", "overloaded", "deadline", "failed", "other",
	"failures", "own_inversions", "other_inversions", "recovery_s",
}

func (r Result) row() []string {
	other := 0
	for code, n := range r.Refusals {
		switch code {
		case "limit_exceeded", "overloaded", "deadline_exceeded", "endpoint_failed":
		default:
			other += n
		}
	}
	return []string{
		r.Deployment, strconv.Itoa(r.Gateways), r.Scenario, r.Policy, strconv.Itoa(r.Requests),
		millis(r.TTFT.P50), millis(r.TTFT.P95), millis(r.TTFT.P99), millis(r.TokenIntervalP95),
		share(r.ForwardedShare), share(r.InTimeShare), share(r.WastedShare), strconv.Itoa(int(r.TokensPerInTimeResponse)),
		strconv.Itoa(r.Refusals["limit_exceeded"]), strconv.Itoa(r.Refusals["overloaded"]),
		strconv.Itoa(r.Refusals["deadline_exceeded"]), strconv.Itoa(r.Refusals["endpoint_failed"]), strconv.Itoa(other),
		strconv.Itoa(r.FailedAttempts), strconv.Itoa(r.SameQueueInversions), strconv.Itoa(r.OtherQueueInversions),
		strconv.Itoa(int(r.Recovery / time.Second)),
	}
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func share(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }

// WriteTable writes the results as an aligned text table, with an empty line
// between scenarios.
func WriteTable(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeLine(tw, columns)
	for i, r := range results {
		if i > 0 && results[i-1].Scenario != r.Scenario {
			fmt.Fprintln(tw)
		}
		writeLine(tw, r.row())
	}
	return errors.Wrap(tw.Flush(), "write table of results")
}

func writeLine(w io.Writer, cells []string) {
	for _, c := range cells {
		fmt.Fprintf(w, "%s\t", c)
	}
	fmt.Fprintln(w)
}

// WriteCSV writes the results as CSV with a header line.
func WriteCSV(w io.Writer, results []Result) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(columns); err != nil {
		return errors.Wrap(err, "write CSV header of results")
	}
	for _, r := range results {
		if err := cw.Write(r.row()); err != nil {
			return errors.Wrap(err, "write CSV row of results")
		}
	}
	cw.Flush()
	return errors.Wrap(cw.Error(), "flush CSV of results")
}
