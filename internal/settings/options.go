package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// option is one setting: its flag, its environment variable and its parser.
type option struct {
	flag         string
	defaultValue string
	help         string
	// set parses and stores the text. If the text is not valid, set returns a
	// description of valid values, else "".
	set func(text string) (expected string)
}

// envName returns the name of the option's environment variable.
func (o option) envName() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(o.flag, "-", "_"))
}

func (o option) usage() string {
	return fmt.Sprintf("%s (variable %s, default %q)", o.help, o.envName(), o.defaultValue)
}

func (o option) envOrDefault(env func(string) (string, bool)) string {
	if v, ok := env(o.envName()); ok {
		return v
	}
	return o.defaultValue
}

func (o option) apply(text string, invalid *InvalidSettingsError) {
	if expected := o.set(text); expected != "" {
		invalid.add("--"+o.flag, text, expected)
	}
}

func stringOption(dst *string) func(string) string {
	return func(s string) string {
		*dst = strings.TrimSpace(s)
		return ""
	}
}

func listOption(dst *[]string) func(string) string {
	return func(s string) string {
		for part := range strings.SplitSeq(s, ",") {
			if part = strings.TrimSpace(part); part != "" {
				*dst = append(*dst, part)
			}
		}
		return ""
	}
}

func durationOption(dst *time.Duration) func(string) string {
	return func(s string) string {
		d, err := time.ParseDuration(s)
		if err != nil || d <= 0 {
			return "a duration above zero, such as 250ms or 5s"
		}
		*dst = d
		return ""
	}
}

func sizeOption(dst *int64) func(string) string {
	return func(s string) string {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n <= 0 {
			return "a number of bytes above zero"
		}
		*dst = n
		return ""
	}
}

// optionalSizeOption is sizeOption for a setting that may be empty, which is stored as 0.
func optionalSizeOption(dst *int64) func(string) string {
	return func(s string) string {
		if s == "" {
			return ""
		}
		return sizeOption(dst)(s)
	}
}

// optionalCountOption is a number above zero, or empty, which is stored as 0.
func optionalCountOption(dst *int) func(string) string {
	return func(s string) string {
		if s == "" {
			return ""
		}
		n, err := strconv.Atoi(s)
		if err != nil || n <= 0 {
			return "a number above zero"
		}
		*dst = n
		return ""
	}
}

func gatewayOptions(g *Gateway) []option {
	return []option{
		{"id", "", "name of this instance, unique in the fleet", stringOption(&g.ID)},
		{"region", "", "region of this instance", stringOption(&g.Region)},
		{"data-centre", "", "data centre of this instance", stringOption(&g.DataCentre)},
		{"listen", "127.0.0.1:8080", "address for callers", stringOption(&g.Listen)},
		{"peer-listen", "127.0.0.1:8081", "address for other gateways", stringOption(&g.PeerListen)},
		{"admin-listen", "127.0.0.1:8082", "address for operators", stringOption(&g.AdminListen)},
		{"advertise", "", "address advertised to callers; default: --listen", stringOption(&g.Advertise)},
		{"peer-advertise", "", "address advertised to other gateways; default: --peer-listen", stringOption(&g.PeerAdvertise)},
		{"store-url", "", "base URL of the key-value service", stringOption(&g.StoreURL)},
		{"directory-url", "", "base URL of the directory", stringOption(&g.DirectoryURL)},
		{"instances-url", "", "base URL of the instance list; default: --directory-url", stringOption(&g.InstancesURL)},
		{"peers", "", "peer addresses to contact at startup, separated by commas", listOption(&g.Peers)},
		{"peer-secrets", "", "secrets shared by all gateways, the signing one first, separated by commas", listOption(&g.PeerSecrets)},
		{"admin-token", "", "token that operators authenticate with", stringOption(&g.AdminToken)},
		{"log-level", "info", "debug, info, warn or error", stringOption(&g.LogLevel)},
		{"trace-file", "", "file that trace spans are written to, as JSON lines", stringOption(&g.TraceFile)},
		{"max-body", "1048576", "maximum size of a request body, in bytes", sizeOption(&g.MaxBodyBytes)},
		{"memory-limit", "", "memory that the process may use, in bytes; default: that of the machine", optionalSizeOption(&g.MemoryLimit)},
		{"max-open-files", "", "file descriptors that the process may open; default: the limit of the process", optionalCountOption(&g.MaxOpenFiles)},
		{"header-timeout", "5s", "maximum time to read a request's headers", durationOption(&g.HeaderTimeout)},
		{"idle-timeout", "2m", "maximum time between two requests of a caller's connection", durationOption(&g.IdleTimeout)},
		{"body-timeout", "15s", "maximum time to read a request's body", durationOption(&g.BodyTimeout)},
		{"drain-timeout", "60s", "maximum duration of a graceful shutdown", durationOption(&g.DrainTimeout)},
		{"dial-timeout", "1s", "timeout for connecting to an endpoint", durationOption(&g.DialTimeout)},
		{"answer-timeout", "2s", "timeout for the response header of an endpoint", durationOption(&g.ResponseHeaderTimeout)},
		{"first-byte-timeout", "20s", "timeout from the response header to the first token", durationOption(&g.FirstTokenTimeout)},
		{"chunk-timeout", "5s", "timeout between two chunks of a response", durationOption(&g.ChunkTimeout)},
		{"poll-interval", "1s", "minimum time between two load polls of an endpoint", durationOption(&g.LoadPollInterval)},
		{"exchange-interval", "500ms", "time between two state exchanges with peers", durationOption(&g.PeerExchangeInterval)},
	}
}
