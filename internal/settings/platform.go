package settings

import "time"

// PlatformSettings is what a gateway learns from the platform that it runs on: its place
// in the fleet, its addresses and the bounds that the operators agreed on.
type PlatformSettings struct {
	// Instance names this gateway; it is unique in the fleet.
	Instance   string
	Region     string
	DataCentre string
	// Regions maps each data centre of the deployment to its region.
	Regions map[string]string

	// CallerAddress, ReadyAddress, PeerAddress and DirectoryAddress are the
	// host:port addresses to listen on. An empty one is not served.
	CallerAddress    string
	ReadyAddress     string
	PeerAddress      string
	DirectoryAddress string
	// IP is this machine's address; FirstPort to LastPort are free on it for
	// traffic between gateways.
	IP        string
	FirstPort int
	LastPort  int
	// Seeds are peer addresses of a few other gateways, possibly stale.
	Seeds []string

	// StoreAddress is host:port of the key-value store; LeaseMin is the
	// shortest lease that it grants.
	StoreAddress string
	MinLease     time.Duration

	// HeartbeatInterval is the time between two heartbeats of an endpoint.
	HeartbeatInterval time.Duration
	// MemoryBytes bounds this process; Descriptors the files it may open.
	MemoryBytes  int64
	MaxOpenFiles int
	// CPUCores is the share of a core that it has, LinkMbps the speed of the
	// machine's link in Mbit/s.
	CPUCores float64
	LinkMbps float64

	Limits Limits
}

// Limits are the limits that the whole fleet keeps together.
type Limits struct {
	// StabilizationTime is how long a gateway must have been undisturbed until time
	// bounds hold for it.
	StabilizationTime time.Duration
	// EndpointDrain is the time after the word of an endpoint's leaving within which
	// requests may still reach it.
	EndpointDrain time.Duration
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// ConfigPropagation is the time within which an accepted version is in force.
	ConfigPropagation time.Duration
	// Evacuation is the time within which an evacuated data centre gets nothing
	// more.
	Evacuation time.Duration
	// RetryRatio and RetrySlack bound the repeats that a service gets within
	// RetryWindow: RetryRatio for each request, and RetrySlack beyond.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdOverage multiplies the rate that a cold endpoint takes, ColdSlack is
	// added to it.
	ColdOverage float64
	ColdSlack   float64
	// DirectoryTTL is the longest time that a directory answer counts.
	DirectoryTTL time.Duration
	// PrefixReuseWindow is the time within which a prompt part is worth keeping.
	PrefixReuseWindow time.Duration
	// MaxEventDelay is the longest time that an event may take through a gateway.
	MaxEventDelay time.Duration
}
