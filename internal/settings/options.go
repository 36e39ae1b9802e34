package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// option is one setting: its flag, its variable and how its text is read.
type option struct {
	flag   string
	preset string
	help   string
	// set stores the text, or says what would be right.
	set func(text string) (want string)
}

// envName returns the name of the option's environment variable.
func (o option) envName() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(o.flag, "-", "_"))
}

func (o option) usage() string {
	return fmt.Sprintf("%s (variable %s, default %q)", o.help, o.envName(), o.preset)
}

func (o option) initial(env func(string) (string, bool)) string {
	if v, ok := env(o.envName()); ok {
		return v
	}
	return o.preset
}

func (o option) apply(text string, faults *InvalidSettingsError) {
	if want := o.set(text); want != "" {
		faults.add("--"+o.flag, text, want)
	}
}

func text(dst *string) func(string) string {
	return func(s string) string {
		*dst = strings.TrimSpace(s)
		return ""
	}
}

func list(dst *[]string) func(string) string {
	return func(s string) string {
		for part := range strings.SplitSeq(s, ",") {
			if part = strings.TrimSpace(part); part != "" {
				*dst = append(*dst, part)
			}
		}
		return ""
	}
}

func duration(dst *time.Duration) func(string) string {
	return func(s string) string {
		d, err := time.ParseDuration(s)
		if err != nil || d <= 0 {
			return "a duration above zero, such as 250ms or 5s"
		}
		*dst = d
		return ""
	}
}

func size(dst *int64) func(string) string {
	return func(s string) string {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n <= 0 {
			return "a number of bytes above zero"
		}
		*dst = n
		return ""
	}
}

func gatewayOptions(g *Gateway) []option {
	return []option{
		{"id", "", "name of this instance, unique in the fleet", text(&g.ID)},
		{"region", "", "region this instance stands in", text(&g.Region)},
		{"data-centre", "", "data centre this instance stands in", text(&g.DataCentre)},
		{"listen", "127.0.0.1:8080", "address for callers", text(&g.Listen)},
		{"peer-listen", "127.0.0.1:8081", "address for other gateways", text(&g.PeerListen)},
		{"admin-listen", "127.0.0.1:8082", "address for operators", text(&g.AdminListen)},
		{"advertise", "", "address callers are told; default: --listen", text(&g.Advertise)},
		{"peer-advertise", "", "address gateways are told; default: --peer-listen", text(&g.PeerAdvertise)},
		{"store-url", "", "base URL of the key-value service", text(&g.StoreURL)},
		{"directory-url", "", "base URL of the directory", text(&g.DirectoryURL)},
		{"instances-url", "", "base URL of the instance list; default: --directory-url", text(&g.InstancesURL)},
		{"peers", "", "peer addresses to try at the start, separated by commas", list(&g.Peers)},
		{"peer-secrets", "", "secrets shared by all gateways, the signing one first, separated by commas", list(&g.PeerSecrets)},
		{"admin-token", "", "token operators present", text(&g.AdminToken)},
		{"log-level", "info", "debug, info, warn or error", text(&g.LogLevel)},
		{"trace-file", "", "file that receives spans as JSON lines", text(&g.TraceFile)},
		{"max-body", "1048576", "largest body of a caller, in bytes", size(&g.MaxBodyBytes)},
		{"header-timeout", "5s", "time a client may take to send its headers", duration(&g.HeaderTimeout)},
		{"body-timeout", "15s", "time a client may take to send its request", duration(&g.BodyTimeout)},
		{"drain-timeout", "60s", "longest graceful shutdown", duration(&g.DrainTimeout)},
		{"dial-timeout", "1s", "longest wait for a connection to an endpoint", duration(&g.DialTimeout)},
		{"answer-timeout", "2s", "longest wait for the header of an endpoint's answer", duration(&g.ResponseHeaderTimeout)},
		{"first-byte-timeout", "20s", "longest wait from there to the first token of an endpoint's answer", duration(&g.FirstTokenTimeout)},
		{"chunk-timeout", "5s", "longest silence between two chunks of an answer", duration(&g.ChunkTimeout)},
		{"poll-interval", "1s", "shortest time between two load reports of an endpoint", duration(&g.LoadPollInterval)},
		{"exchange-interval", "500ms", "time between two exchanges with peers", duration(&g.PeerExchangeInterval)},
	}
}
