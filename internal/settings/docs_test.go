package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const runningPage = "../../docs/operators/running.md"

// TestRunningPageIsComplete compares the operators' table of settings with the
// options, both ways.
func TestRunningPageIsComplete(t *testing.T) {
	var want []string
	for _, o := range gatewayOptions(&Gateway{}) {
		preset := "none"
		if o.preset != "" {
			preset = "`" + o.preset + "`"
		}
		cells := []string{"`--" + o.flag + "`", "`" + o.envName() + "`", preset, o.help}
		want = append(want, "| "+strings.Join(cells, " | ")+" |")
	}
	raw, err := os.ReadFile(runningPage)
	require.NoError(t, err)
	rows := regexp.MustCompile("(?m)^\\| `--.*\\|$").FindAllString(string(raw), -1)
	require.Equal(t, want, rows)
}
