package settings

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
)

// minSecretLen is the shortest accepted secret or token, in bytes.
const minSecretLen = 16

// InvalidSetting is one wrong setting.
type InvalidSetting struct {
	Setting string
	Value   string
	// Expected says what would be right.
	Expected string
}

// InvalidSettingsError is the error that lists every wrong setting.
type InvalidSettingsError struct{ Settings []InvalidSetting }

func (f *InvalidSettingsError) add(setting, value, want string) {
	f.Settings = append(f.Settings, InvalidSetting{Setting: setting, Value: value, Expected: want})
}

func (f *InvalidSettingsError) any() bool { return len(f.Settings) > 0 }

// Error implements error, with a line for each fault.
func (f *InvalidSettingsError) Error() string {
	lines := make([]string, 0, len(f.Settings))
	for _, x := range f.Settings {
		lines = append(lines, fmt.Sprintf("%s: %q: want %s", x.Setting, x.Value, x.Expected))
	}
	return strings.Join(lines, "\n")
}

func checkLogLevel(f *InvalidSettingsError, level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		f.add("--log-level", level, "debug, info, warn or error")
	}
}

func (g *Gateway) check(f *InvalidSettingsError) {
	checkName(f, "--id", g.ID)
	checkName(f, "--region", g.Region)
	checkName(f, "--data-centre", g.DataCentre)
	checkAddress(f, "--listen", g.Listen)
	checkAddress(f, "--peer-listen", g.PeerListen)
	checkAddress(f, "--admin-listen", g.AdminListen)
	checkAddress(f, "--advertise", g.Advertise)
	checkAddress(f, "--peer-advertise", g.PeerAdvertise)
	checkURL(f, "--store-url", g.StoreURL)
	checkURL(f, "--directory-url", g.DirectoryURL)
	checkURL(f, "--instances-url", g.InstancesURL)
	for _, p := range g.Peers {
		checkAddress(f, "--peers", p)
	}
	g.checkSecrets(f)
	checkLogLevel(f, g.LogLevel)
}

func (g *Gateway) checkSecrets(f *InvalidSettingsError) {
	if len(g.PeerSecrets) == 0 {
		f.add("--peer-secrets", "", "at least one secret")
	}
	want := fmt.Sprintf("at least %d bytes", minSecretLen)
	for _, s := range g.PeerSecrets {
		if len(s) < minSecretLen {
			f.add("--peer-secrets", "(hidden)", want)
		}
	}
	if len(g.AdminToken) < minSecretLen {
		f.add("--admin-token", "(hidden)", want)
	}
}

func checkName(f *InvalidSettingsError, setting, value string) {
	if value == "" {
		f.add(setting, value, "a name")
		return
	}
	for _, r := range value {
		if !isNameRune(r) {
			f.add(setting, value, "lower-case letters, digits, '-' and '.' only")
			return
		}
	}
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '.'
}

// checkAddress wants an IP number and a port: no name service is assumed.
func checkAddress(f *InvalidSettingsError, setting, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		f.add(setting, value, "IP:port, such as 10.0.0.7:8080")
		return
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		f.add(setting, value, "a port from 1 to 65535")
	}
}

func checkURL(f *InvalidSettingsError, setting, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		f.add(setting, value, "a URL such as http://10.0.0.2:7100")
	}
}
