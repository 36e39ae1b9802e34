// Package settings reads the static settings of a gateway from flags and
// environment variables and validates all of them before the gateway starts.
package settings

import (
	"time"

	"github.com/integrii/flaggy"
)

// EnvPrefix is the prefix of the names of all environment variables.
const EnvPrefix = "HICKORYSTAGE_"

// Gateway holds the settings of one gateway process.
type Gateway struct {
	ID         string
	Region     string
	DataCentre string

	// Listen, PeerListen and AdminListen are host:port addresses to listen on.
	// Advertise and PeerAdvertise are the addresses that callers and other
	// gateways are told to use; they default to the listen addresses.
	Listen        string
	PeerListen    string
	AdminListen   string
	Advertise     string
	PeerAdvertise string

	// StoreURL, DirectoryURL and InstancesURL are base URLs of the platform.
	StoreURL     string
	DirectoryURL string
	InstancesURL string

	// Peers are peer addresses to contact at startup, before the instance list
	// has been read.
	Peers []string

	// PeerSecrets authenticate gateways to each other. The first one signs; all
	// are accepted, so that a secret can be rotated without an interruption.
	PeerSecrets []string
	AdminToken  string

	LogLevel string
	// TraceFile is the file that spans are written to as JSON lines. If it is
	// empty, tracing is off.
	TraceFile string

	// MaxBodyBytes is the maximum size of a caller's request body.
	MaxBodyBytes int64
	// MemoryLimit is the memory in bytes that the process may use. 0 stands for that of
	// the machine.
	MemoryLimit int64
	// MaxOpenFiles is the number of file descriptors that the process may open. 0 stands
	// for the limit of the process.
	MaxOpenFiles int
	// HeaderTimeout is the maximum time to read a request's headers,
	// BodyTimeout to read its body, IdleTimeout the maximum time between two
	// requests of a caller's connection. Connections are closed a quarter later.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	BodyTimeout   time.Duration
	// DrainTimeout is the maximum duration of a graceful shutdown.
	DrainTimeout time.Duration

	// DialTimeout, ResponseHeaderTimeout, FirstTokenTimeout and ChunkTimeout
	// are the timeouts of requests to endpoints: for a connection, for the
	// response header, from there to the first token, and between two chunks.
	DialTimeout           time.Duration
	ResponseHeaderTimeout time.Duration
	FirstTokenTimeout     time.Duration
	ChunkTimeout          time.Duration

	// LoadPollInterval is the minimum time between two load polls of an
	// endpoint.
	LoadPollInterval time.Duration
	// PeerExchangeInterval is the time between two state exchanges with peers.
	PeerExchangeInterval time.Duration
}

// Load reads the settings from args (without the command name) and from the
// environment; a flag takes precedence over its variable. The error is an
// *InvalidSettingsError that lists every invalid setting.
func Load(args []string, env func(string) (string, bool)) (*Gateway, error) {
	g := &Gateway{}
	invalid := &InvalidSettingsError{}
	if !readOptions("hickorystage gateway", gatewayOptions(g), args, env, invalid) {
		return nil, invalid
	}
	g.fillDefaults()
	g.check(invalid)
	if invalid.hasAny() {
		return nil, invalid
	}
	return g, nil
}

// readOptions sets options from args and env. It returns false if args can't be
// parsed.
func readOptions(command string, opts []option, args []string, env func(string) (string, bool), invalid *InvalidSettingsError) bool {
	// The parser is given no defaults: its help prints them, and an environment
	// variable may hold a secret.
	raw := make([]string, len(opts))
	parser := flaggy.NewParser(command)
	parser.ShowHelpOnUnexpected = false
	for i, o := range opts {
		parser.String(&raw[i], "", o.flag, o.usage())
	}
	if err := parser.ParseArgs(args); err != nil {
		invalid.add("arguments", "", err.Error())
		return false
	}
	for i, o := range opts {
		if raw[i] == "" {
			raw[i] = o.envOrDefault(env)
		}
		o.apply(raw[i], invalid)
	}
	return true
}

func (g *Gateway) fillDefaults() {
	if g.Advertise == "" {
		g.Advertise = g.Listen
	}
	if g.PeerAdvertise == "" {
		g.PeerAdvertise = g.PeerListen
	}
	if g.InstancesURL == "" {
		g.InstancesURL = g.DirectoryURL
	}
}
