package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	runningPage  = "../../docs/operators/running.md"
	platformPage = "../../docs/operators/running-on-the-platform.md"
)

// TestRunningPagesAreComplete checks that the operators' tables of settings and the
// options have the same rows.
func TestRunningPagesAreComplete(t *testing.T) {
	requireRows(t, runningPage, gatewayOptions(&Gateway{}))
	requireRows(t, platformPage, edgeOptions(&Edge{}))
}

func requireRows(t *testing.T, page string, options []option) {
	t.Helper()
	var want []string
	for _, o := range options {
		defaultCell := "none"
		if o.defaultValue != "" {
			defaultCell = "`" + o.defaultValue + "`"
		}
		cells := []string{"`--" + o.flag + "`", "`" + o.envName() + "`", defaultCell, o.help}
		want = append(want, "| "+strings.Join(cells, " | ")+" |")
	}
	raw, err := os.ReadFile(page)
	require.NoError(t, err)
	rows := regexp.MustCompile("(?m)^\\| `--.*\\|$").FindAllString(string(raw), -1)
	require.Equal(t, want, rows)
}
