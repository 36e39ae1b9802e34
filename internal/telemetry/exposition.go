package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
)

// WriteMetrics writes all counters and histograms in the Prometheus text
// format, one line for each value. A histogram has its count and a line for
// each quantile, in milliseconds.
func WriteMetrics(w io.Writer) error {
	for _, c := range Counters() {
		if _, err := fmt.Fprintf(w, "hickorystage_%s %d\n", c.Name, c.Value()); err != nil {
			return err
		}
	}
	for _, f := range CounterFamilies() {
		if err := f.write(w); err != nil {
			return err
		}
	}
	var lines []string
	histograms.Range(func(name, value any) bool {
		q := value.(*Histogram).Quantiles()
		lines = append(lines, fmt.Sprintf(
			"hickorystage_%[1]s_count %[2]d\nhickorystage_%[1]s_ms{quantile=\"0.5\"} %[3]g\n"+
				"hickorystage_%[1]s_ms{quantile=\"0.95\"} %[4]g\nhickorystage_%[1]s_ms{quantile=\"0.99\"} %[5]g\n"+
				"hickorystage_%[1]s_ms{quantile=\"1\"} %[6]g\n", name, q.Count, q.P50, q.P95, q.P99, q.Max))
		return true
	})
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

// MetricsHandler returns an HTTP handler that serves the output of
// WriteMetrics.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// A write error means that the client has disconnected.
		_ = WriteMetrics(w)
	})
}
