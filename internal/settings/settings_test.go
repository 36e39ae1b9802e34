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

// TestEndpointPaceIsOffByDefault guards against a deployment that gets the pace without
// asking for it.
func TestEndpointPaceIsOffByDefault(t *testing.T) {
	e, err := LoadEdge(nil, emptyEnv)
	require.NoError(t, err)
	require.False(t, e.EndpointPace)
	e, err = LoadEdge(nil, func(name string) (string, bool) { return "on", name == "HICKORYSTAGE_ENDPOINT_PACE" })
	require.NoError(t, err)
	require.True(t, e.EndpointPace)
	e, err = LoadEdge([]string{"--endpoint-pace", "off"}, func(name string) (string, bool) { return "on", name == "HICKORYSTAGE_ENDPOINT_PACE" })
	require.NoError(t, err)
	require.False(t, e.EndpointPace)
	_, err = LoadEdge([]string{"--endpoint-pace", "yes"}, emptyEnv)
	require.ErrorContains(t, err, "--endpoint-pace")
}
