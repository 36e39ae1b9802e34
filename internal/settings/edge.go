package settings

import "strconv"

// Edge holds the settings of a gateway that serves routes on a platform, apart
// from those in the platform's settings file.
type Edge struct {
	LogLevel string
	// MetricsPort is the port of the metrics at this machine's address. If it
	// is 0, metrics are not served.
	MetricsPort int
	// EndpointPace is set if endpoints that have just started or recovered get requests by
	// how they respond.
	EndpointPace bool
	// ResponseForecast is set if requests are refused whose responses are expected to end
	// after their deadlines.
	ResponseForecast bool
	// RegionSpill is set if requests are sent to less utilized regions before the local
	// one is full.
	RegionSpill bool
}

// LoadEdge reads the settings from args and the environment as Load does.
func LoadEdge(args []string, env func(string) (string, bool)) (*Edge, error) {
	e := &Edge{}
	invalid := &InvalidSettingsError{}
	if readOptions("hickorystage gateway", edgeOptions(e), args, env, invalid) {
		checkLogLevel(invalid, e.LogLevel)
	}
	if invalid.hasAny() {
		return nil, invalid
	}
	return e, nil
}

func edgeOptions(e *Edge) []option {
	return []option{
		{"log-level", "info", "debug, info, warn or error", stringOption(&e.LogLevel)},
		{"metrics-port", "9464", "port of the counters and histograms; 0 serves none", portOption(&e.MetricsPort)},
		{"endpoint-pace", "off", "off or on: whether endpoints that have just started or recovered get requests by how they respond", switchOption(&e.EndpointPace)},
		{"response-forecast", "off", "off or on: whether requests are refused whose responses are expected to end after their deadlines", switchOption(&e.ResponseForecast)},
		{"region-spill", "off", "off or on: whether large regions send requests to less utilized ones before they are full", switchOption(&e.RegionSpill)},
	}
}

func switchOption(dst *bool) func(string) string {
	return func(s string) string {
		if s != "on" && s != "off" {
			return "off or on"
		}
		*dst = s == "on"
		return ""
	}
}

const maxPort = 65535

func portOption(dst *int) func(string) string {
	return func(s string) string {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 || n > maxPort {
			return "a port, or 0"
		}
		*dst = n
		return ""
	}
}
