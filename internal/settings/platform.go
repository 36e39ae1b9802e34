package settings

import "time"

// PlatformSettings holds what the platform's settings file says about a
// gateway: its place in the fleet, its addresses and resources, and the limits
// that the operators agreed on.
type PlatformSettings struct {
	// Instance is the name of this gateway, unique in the fleet.
	Instance   string
	Region     string
	DataCentre string
	// Regions maps each data centre of the deployment to its region.
	Regions map[string]string

	// CallerAddress, ReadyAddress, PeerAddress and DirectoryAddress are the
	// host:port addresses to listen on. There is no listener for an empty one.
	CallerAddress    string
	ReadyAddress     string
	PeerAddress      string
	DirectoryAddress string
	// IP is this machine's address. The ports from FirstPort to LastPort are
	// free there for traffic between gateways.
	IP        string
	FirstPort int
	LastPort  int
	// Seeds are peer addresses of a few other gateways. They may be out of
	// date.
	Seeds []string

	// StoreAddress is the host:port address of the key-value store. MinLease is
	// the shortest lease that the store grants.
	StoreAddress string
	MinLease     time.Duration

	// HeartbeatInterval is the time between two heartbeats of an endpoint.
	HeartbeatInterval time.Duration
	// MemoryBytes is the memory limit of this process, MaxOpenFiles its limit
	// of open files.
	MemoryBytes  int64
	MaxOpenFiles int
	// CPUCores is the number of cores that this process may use, possibly a
	// fraction. LinkMbps is the speed of the machine's network link, in Mbit/s.
	CPUCores float64
	LinkMbps float64

	Limits Limits
}

// Limits are the limits that all gateways of the fleet keep.
type Limits struct {
	// StabilizationTime is how long a gateway must have been free of
	// disturbances before the time limits apply to it.
	StabilizationTime time.Duration
	// EndpointDrain is the time after the notice of an endpoint's leaving in
	// which requests may still reach the endpoint.
	EndpointDrain time.Duration
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// ConfigPropagation is the time within which an accepted configuration
	// version must be in force.
	ConfigPropagation time.Duration
	// Evacuation is the time after which an evacuated data centre must get no
	// more requests.
	Evacuation time.Duration
	// RetryRatio and RetrySlack limit the retries of a service within
	// RetryWindow: RetryRatio for each request, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// The limit of requests per second to a cold endpoint is the rate that its
	// service allows, multiplied by ColdOverage, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// DirectoryTTL is the longest time that a directory response may be used.
	DirectoryTTL time.Duration
	// PrefixReuseWindow is the time in which a prompt prefix is worth keeping
	// in a cache.
	PrefixReuseWindow time.Duration
	// In any window of QuotaWindow, requests of a client account cost at most what its
	// allowance permits in that time, multiplied by 1 + QuotaOverage, plus QuotaSlack.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// MaxEventDelay is the longest time that a gateway may delay an event of a
	// stream.
	MaxEventDelay time.Duration
	// RevokeStrict is set if a request must not run that was sent later than Revocation
	// after the store acknowledged a configuration that took its key away. Revocation is
	// positive.
	RevokeStrict bool
	Revocation   time.Duration
}
