package settings

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
)

// minSecretBytes is the minimum length of a secret or token.
const minSecretBytes = 16

// InvalidSetting is one setting whose value is not valid.
type InvalidSetting struct {
	Setting string
	Value   string
	// Expected describes valid values.
	Expected string
}

// InvalidSettingsError lists every invalid setting.
type InvalidSettingsError struct{ Settings []InvalidSetting }

func (e *InvalidSettingsError) add(setting, value, expected string) {
	e.Settings = append(e.Settings, InvalidSetting{Setting: setting, Value: value, Expected: expected})
}

func (e *InvalidSettingsError) hasAny() bool { return len(e.Settings) > 0 }

// Error implements error, with a line for each invalid setting.
func (e *InvalidSettingsError) Error() string {
	lines := make([]string, 0, len(e.Settings))
	for _, s := range e.Settings {
		lines = append(lines, fmt.Sprintf("%s: invalid value %q: want %s", s.Setting, s.Value, s.Expected))
	}
	return strings.Join(lines, "\n")
}

func checkLogLevel(invalid *InvalidSettingsError, level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		invalid.add("--log-level", level, "debug, info, warn or error")
	}
}

func (g *Gateway) check(invalid *InvalidSettingsError) {
	checkName(invalid, "--id", g.ID)
	checkName(invalid, "--region", g.Region)
	checkName(invalid, "--data-centre", g.DataCentre)
	checkAddress(invalid, "--listen", g.Listen)
	checkAddress(invalid, "--peer-listen", g.PeerListen)
	checkAddress(invalid, "--admin-listen", g.AdminListen)
	checkAddress(invalid, "--advertise", g.Advertise)
	checkAddress(invalid, "--peer-advertise", g.PeerAdvertise)
	checkURL(invalid, "--store-url", g.StoreURL)
	checkURL(invalid, "--directory-url", g.DirectoryURL)
	checkURL(invalid, "--instances-url", g.InstancesURL)
	for _, p := range g.Peers {
		checkAddress(invalid, "--peers", p)
	}
	g.checkSecrets(invalid)
	checkLogLevel(invalid, g.LogLevel)
}

func (g *Gateway) checkSecrets(invalid *InvalidSettingsError) {
	if len(g.PeerSecrets) == 0 {
		invalid.add("--peer-secrets", "", "at least one secret")
	}
	expected := fmt.Sprintf("at least %d bytes", minSecretBytes)
	for _, s := range g.PeerSecrets {
		if len(s) < minSecretBytes {
			invalid.add("--peer-secrets", "(hidden)", expected)
		}
	}
	if len(g.AdminToken) < minSecretBytes {
		invalid.add("--admin-token", "(hidden)", expected)
	}
}

func checkName(invalid *InvalidSettingsError, setting, value string) {
	if value == "" {
		invalid.add(setting, value, "a name")
		return
	}
	for _, r := range value {
		if !isNameRune(r) {
			invalid.add(setting, value, "lower-case letters, digits, '-' and '.' only")
			return
		}
	}
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '.'
}

// checkAddress requires an IP address and a port, since the platform may have
// no name service.
func checkAddress(invalid *InvalidSettingsError, setting, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		invalid.add(setting, value, "IP:port, such as 10.0.0.7:8080")
		return
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		invalid.add(setting, value, "a port from 1 to 65535")
	}
}

func checkURL(invalid *InvalidSettingsError, setting, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		invalid.add(setting, value, "a URL such as http://10.0.0.2:7100")
	}
}
