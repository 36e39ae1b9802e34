// Package settings reads the static settings of a gateway from flags and
// environment variables and checks them all before anything starts.
package settings

import (
	"time"

	"github.com/integrii/flaggy"
)

// EnvPrefix starts the name of every environment variable.
const EnvPrefix = "HICKORYSTAGE_"

// Gateway holds the settings of one gateway process.
type Gateway struct {
	ID         string
	Region     string
	DataCentre string

	// Listen, PeerListen and AdminListen are host:port addresses. The
	// advertised addresses are those that others are told; they default to
	// the listen addresses.
	Listen        string
	PeerListen    string
	AdminListen   string
	Advertise     string
	PeerAdvertise string

	// StoreURL, DirectoryURL and InstancesURL are base URLs of the platform.
	StoreURL     string
	DirectoryURL string
	InstancesURL string

	// Peers are peer addresses that are tried at the start, before the
	// instance list has answered.
	Peers []string

	// PeerSecrets authenticate gateways to each other. The first signs; each
	// is accepted, so that a secret can be replaced without a pause.
	PeerSecrets []string
	AdminToken  string

	LogLevel string
	// TraceFile receives spans as JSON lines; empty turns tracing off.
	TraceFile string

	// MaxBodyBytes bounds a caller's body, in bytes.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time a client may take to send its headers,
	// BodyTimeout its whole request.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration

	// DialTimeout, AnswerTimeout, FirstByteTimeout and ChunkTimeout are the
	// limits on silence towards endpoints: for a connection, for the header of
	// an answer, for its first token and for each further one.
	DialTimeout           time.Duration
	ResponseHeaderTimeout time.Duration
	FirstTokenTimeout     time.Duration
	ChunkTimeout          time.Duration

	// LoadPollInterval is the shortest time between two load reports of an endpoint.
	LoadPollInterval time.Duration
	// PeerExchangeInterval is the time between two exchanges with peers.
	PeerExchangeInterval time.Duration
}

// Load reads the settings from args (without the command name) and from the
// environment; a flag goes before its variable. The error is a *Faults that
// names every fault.
func Load(args []string, env func(string) (string, bool)) (*Gateway, error) {
	g := &Gateway{}
	faults := &InvalidSettingsError{}
	if !readOptions("hickorystage gateway", gatewayOptions(g), args, env, faults) {
		return nil, faults
	}
	g.fillDefaults()
	g.check(faults)
	if faults.any() {
		return nil, faults
	}
	return g, nil
}

// readOptions sets options from args and env, and returns false when args can't
// be read at all.
func readOptions(command string, opts []option, args []string, env func(string) (string, bool), faults *InvalidSettingsError) bool {
	// The flags' own defaults stay empty: the parser's help prints them, and a
	// variable may hold a secret.
	raw := make([]string, len(opts))
	parser := flaggy.NewParser(command)
	parser.ShowHelpOnUnexpected = false
	for i, o := range opts {
		parser.String(&raw[i], "", o.flag, o.usage())
	}
	if err := parser.ParseArgs(args); err != nil {
		faults.add("arguments", "", err.Error())
		return false
	}
	for i, o := range opts {
		if raw[i] == "" {
			raw[i] = o.initial(env)
		}
		o.apply(raw[i], faults)
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
