package intent

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func readExample(t *testing.T, name string) []File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("..", "..", "examples", name, "*.yaml"))
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	var files []File
	for _, path := range paths {
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		files = append(files, File{Name: filepath.Base(path), Content: content})
	}
	return files
}

func TestExamplesHaveNoDiagnostics(t *testing.T) {
	keys := map[string]map[string]string{
		"luftvard": {
			"demo-key-svealand": "svealand-shops",
			"demo-key-norrland": "norrland-shops",
			"demo-key-gotaland": "gotaland-shops",
		},
		"tuul": {
			"demo-key-selenge": "depot-selenge",
			"demo-key-tuul":    "depot-tuul",
			"demo-key-kherlen": "depot-kherlen",
			"demo-key-rescue":  "rescue-officers",
		},
	}
	for example, owners := range keys {
		in, diags := Parse(readExample(t, example))
		require.Empty(t, diags, diags.String())
		require.Len(t, in.Customers, len(owners))
		for key, owner := range owners {
			name, _, ok := in.CustomerByAPIKey(key)
			require.True(t, ok, key)
			require.Equal(t, owner, name)
		}
	}
	luftvard, _ := Parse(readExample(t, "luftvard"))
	require.Equal(t, 60.0, luftvard.Customers["svealand-shops"].Limits.RequestsPerSecond)
	require.Equal(t, 120, luftvard.Customers["svealand-shops"].Limits.MaxConcurrent)
	require.Equal(t, 0.6, luftvard.Routing.MaxForwardShare)
}
