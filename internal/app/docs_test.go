package app

import (
	"expvar"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const countersPage = "../../docs/operators/counters.md"

// TestCountersPageIsComplete checks that the operators' page lists exactly the
// counters and histograms that a gateway publishes, with their units and help.
func TestCountersPageIsComplete(t *testing.T) {
	var want []string
	for _, c := range telemetry.Counters() {
		require.NotEmpty(t, c.Unit, c.Name)
		require.NotEmpty(t, c.Help, c.Name)
		want = append(want, fmt.Sprintf("| `%s` | %s | %s |", c.Name, c.Unit, strings.TrimSuffix(c.Help, ".")))
	}
	expvar.Do(func(kv expvar.KeyValue) {
		if _, ok := kv.Value.(*telemetry.Histogram); ok {
			want = append(want, histogramRow(t, strings.TrimPrefix(kv.Key, "hickorystage.")))
		}
	})
	raw, err := os.ReadFile(countersPage)
	require.NoError(t, err)
	rows := regexp.MustCompile("(?m)^\\| `.*\\|$").FindAllString(string(raw), -1)
	require.ElementsMatch(t, want, rows)
}

// histogramRow returns the expected row of a histogram. Histograms carry no help
// text in the code, so the test holds it.
func histogramRow(t *testing.T, name string) string {
	help := map[string]string{
		"ttft":         "time from a caller's request to the first token sent to it",
		"request_time": "time from a caller's request to the end of its answer",
	}
	require.Contains(t, help, name, "a histogram without a help text")
	return fmt.Sprintf("| `%s` | milliseconds | %s |", name, help[name])
}
