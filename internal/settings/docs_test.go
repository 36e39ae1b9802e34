package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const runningPage = "../../docs/operators/running.md"

// TestRunningPageIsComplete checks that the operators' table of settings and
// the options have the same rows.
func TestRunningPageIsComplete(t *testing.T) {
	var want []string
	for _, o := range gatewayOptions(&Gateway{}) {
		defaultCell := "none"
		if o.defaultValue != "" {
			defaultCell = "`" + o.defaultValue + "`"
		}
		cells := []string{"`--" + o.flag + "`", "`" + o.envName() + "`", defaultCell, o.help}
		want = append(want, "| "+strings.Join(cells, " | ")+" |")
	}
	raw, err := os.ReadFile(runningPage)
	require.NoError(t, err)
	rows := regexp.MustCompile("(?m)^\\| `--.*\\|$").FindAllString(string(raw), -1)
	require.Equal(t, want, rows)
}
