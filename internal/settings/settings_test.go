package settings

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func emptyEnv(string) (string, bool) { return "", false }

func validArgs() []string {
	return []string{
		"--id", "gw1", "--region", "svealand", "--data-centre", "sve1",
		"--store-url", "http://127.0.0.1:7100", "--directory-url", "http://127.0.0.1:7200",
		"--peer-secrets", "0123456789abcdef", "--admin-token", "0123456789abcdef",
	}
}

func TestLoadAppliesFlagsVariablesAndDefaults(t *testing.T) {
	env := func(name string) (string, bool) {
		switch name {
		case "HICKORYSTAGE_LISTEN":
			return "127.0.0.1:9000", true
		case "HICKORYSTAGE_REGION":
			return "norrland", true
		}
		return "", false
	}
	g, err := Load(validArgs(), env)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9000", g.Advertise, "the advertised address defaults to the listen address")
	require.Equal(t, "svealand", g.Region, "a flag takes precedence over its variable")
	require.Equal(t, g.DirectoryURL, g.InstancesURL)
}

func TestLoadListsEveryInvalidSetting(t *testing.T) {
	args := []string{"--id", "GW 1", "--listen", "localhost:80", "--chunk-timeout", "soon", "--store-url", "x"}
	_, err := Load(args, emptyEnv)
	var invalid *InvalidSettingsError
	require.True(t, errors.As(err, &invalid))
	var named []string
	for _, f := range invalid.Settings {
		named = append(named, f.Setting)
	}
	require.Subset(t, named, []string{
		"--id", "--region", "--data-centre", "--listen", "--chunk-timeout",
		"--store-url", "--directory-url", "--peer-secrets", "--admin-token",
	})
	require.NotContains(t, err.Error(), "0123456789abcdef")
}

// TestMemoryLimitIsOptional checks that a missing limit is 0, which stands for the machine's
// memory, and that one of 0 or below is refused rather than taken for that.
func TestMemoryLimitIsOptional(t *testing.T) {
	g, err := Load(validArgs(), emptyEnv)
	require.NoError(t, err)
	require.Zero(t, g.MemoryLimit)
	g, err = Load(append(validArgs(), "--memory-limit", "300000000"), emptyEnv)
	require.NoError(t, err)
	require.Equal(t, int64(300_000_000), g.MemoryLimit)
	for _, text := range []string{"0", "-1", "300MB"} {
		_, err = Load(append(validArgs(), "--memory-limit="+text), emptyEnv)
		require.ErrorContains(t, err, "--memory-limit")
	}
}
