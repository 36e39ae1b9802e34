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

// columns are the heads of the table and the CSV file.
var columns = []string{
	"deployment", "gateways", "scenario", "policy", "requests", "ttft_p50_ms", "ttft_p95_ms", "ttft_p99_ms",
	"gap_p95_ms", "away", "good", "wasted", "cost_tokens", "limited", "overloaded", "deadline", "failed", "other",
	"failures", "own_inversions", "other_inversions", "recovery_s",
}

func (f Figures) row() []string {
	other := 0
	for code, n := range f.Refusals {
		switch code {
		case "limit_exceeded", "overloaded", "deadline_exceeded", "endpoint_failed":
		default:
			other += n
		}
	}
	return []string{
		f.Deployment, strconv.Itoa(f.Gateways), f.Scenario, f.Policy, strconv.Itoa(f.Requests),
		millis(f.TTFT.P50), millis(f.TTFT.P95), millis(f.TTFT.P99), millis(f.Gap95),
		share(f.Away), share(f.Good), share(f.Wasted), strconv.Itoa(int(f.Cost)),
		strconv.Itoa(f.Refusals["limit_exceeded"]), strconv.Itoa(f.Refusals["overloaded"]),
		strconv.Itoa(f.Refusals["deadline_exceeded"]), strconv.Itoa(f.Refusals["endpoint_failed"]), strconv.Itoa(other),
		strconv.Itoa(f.Failures), strconv.Itoa(f.OwnInversions), strconv.Itoa(f.OtherInversions),
		strconv.Itoa(int(f.Recovery / time.Second)),
	}
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func share(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }

// WriteTable prints the figures for people.
func WriteTable(w io.Writer, fs []Figures) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeLine(tw, columns)
	for i, f := range fs {
		if i > 0 && fs[i-1].Scenario != f.Scenario {
			fmt.Fprintln(tw)
		}
		writeLine(tw, f.row())
	}
	return errors.Wrap(tw.Flush(), "write the table")
}

func writeLine(w io.Writer, cells []string) {
	for _, c := range cells {
		fmt.Fprintf(w, "%s\t", c)
	}
	fmt.Fprintln(w)
}

// WriteCSV writes the figures for programs.
func WriteCSV(w io.Writer, fs []Figures) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(columns); err != nil {
		return errors.Wrap(err, "write the head of the CSV file")
	}
	for _, f := range fs {
		if err := cw.Write(f.row()); err != nil {
			return errors.Wrap(err, "write the CSV file")
		}
	}
	cw.Flush()
	return errors.Wrap(cw.Error(), "write the CSV file")
}
