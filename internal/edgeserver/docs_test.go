package edgeserver_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const platformPage = "../../docs/operators/running-on-the-platform.md"

// TestPlatformPageListsTheCounters checks that the operators' page lists every
// counter that a gateway on the platform serves, with its unit and help text.
func TestPlatformPageListsTheCounters(t *testing.T) {
	raw, err := os.ReadFile(platformPage)
	require.NoError(t, err)
	for _, c := range telemetry.Counters() {
		row := fmt.Sprintf("| `%s` | %s | %s |", c.Name, c.Unit, strings.TrimSuffix(c.Help, "."))
		require.Contains(t, string(raw), row)
	}
	for _, f := range telemetry.CounterFamilies() {
		row := fmt.Sprintf("| `%s` | %s | %s |", f.Name, f.Unit, strings.TrimSuffix(f.Help, "."))
		require.Contains(t, string(raw), row)
	}
}
