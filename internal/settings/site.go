package settings

import "time"

// Site is what a gateway learns from the platform that it runs on: its place
// in the fleet, its addresses and the bounds that the operators agreed on.
type Site struct {
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
	LeaseMin     time.Duration

	// HeartbeatInterval is the time between two heartbeats of an endpoint.
	HeartbeatInterval time.Duration
	// MemoryBytes bounds this process; Descriptors the files it may open.
	MemoryBytes int64
	Descriptors int
	// Processor is the share of a core that it has, LinkMbps the speed of the
	// machine's link in Mbit/s.
	Processor float64
	LinkMbps  float64

	Bounds Bounds
}

// Bounds are the limits that the whole fleet keeps together.
type Bounds struct {
	// Contact is how long a gateway must have been undisturbed until time
	// bounds hold for it.
	Contact time.Duration
	// Drain is the time after the word of an endpoint's leaving within which
	// requests may still reach it.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Config is the time within which an accepted version is in force.
	Config time.Duration
	// Evacuate is the time within which an evacuated data centre gets nothing
	// more.
	Evacuate time.Duration
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
	// ReuseWindow is the time within which a prompt part is worth keeping.
	ReuseWindow time.Duration
	// EventDelay is the longest time that an event may take through a gateway.
	EventDelay time.Duration
}
