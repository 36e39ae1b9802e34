package settings

import "strconv"

// Edge holds the settings of a gateway that serves routes on a platform, beside
// those that the platform gives it.
type Edge struct {
	LogLevel string
	// MetricsPort is the port of the counters on this machine's address; 0
	// serves none.
	MetricsPort int
}

// LoadEdge reads the settings as Load does.
func LoadEdge(args []string, env func(string) (string, bool)) (*Edge, error) {
	e := &Edge{}
	faults := &InvalidSettingsError{}
	if readOptions("hickorystage gateway", edgeOptions(e), args, env, faults) {
		checkLogLevel(faults, e.LogLevel)
	}
	if faults.any() {
		return nil, faults
	}
	return e, nil
}

func edgeOptions(e *Edge) []option {
	return []option{
		{"log-level", "info", "debug, info, warn or error", text(&e.LogLevel)},
		{"metrics-port", "9464", "port of the counters and histograms; 0 serves none", port(&e.MetricsPort)},
	}
}

const maxPort = 65535

func port(dst *int) func(string) string {
	return func(s string) string {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 || n > maxPort {
			return "a port, or 0"
		}
		*dst = n
		return ""
	}
}
