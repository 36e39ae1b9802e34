// Package intent holds what operators ask for: the types of the merged
// configuration, the merge of a folder's files, and its validation.
package intent

// Intent is one whole, valid configuration. It is immutable once published:
// Parse makes it together with the indexes that the request path reads.
//
// The struct tags default, min and max are read by the decoder: the value of a
// field that no file sets, and the bounds of a number or duration.
type Intent struct {
	Regions   map[string]Region   `yaml:"regions" json:"regions"`
	Links     map[string]Link     `yaml:"links" json:"links,omitempty"`
	Customers map[string]Customer `yaml:"customers" json:"customers"`
	Models    map[string]Model    `yaml:"models" json:"models"`
	Services  map[string]Service  `yaml:"services" json:"services,omitempty"`
	Groups    map[string]Group    `yaml:"groups" json:"groups"`
	Routing   Routing             `yaml:"routing" json:"routing"`

	index *index
}

// Region is a set of data centres that are close to each other.
type Region struct {
	DataCentres []string `yaml:"data_centres" json:"data_centres"`
}

// Link describes the network between two regions. Its key in Intent.Links is
// the two region names in order, joined by "-"; the key "*" is the default.
type Link struct {
	// OneWayDelay is the one-way delay.
	OneWayDelay Duration `yaml:"one_way" json:"one_way" default:"55ms" min:"0s" max:"10s"`
	// MegabitsPerSecond is the capacity each way.
	MegabitsPerSecond float64 `yaml:"megabits_per_second" json:"megabits_per_second" default:"1000" min:"0.001"`
}

// Customer is one account whose programs call the gateway.
type Customer struct {
	// KeyHashes are hex SHA-256 hashes of the customer's API keys.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes"`
	// HomeRegion is the region that serves the customer when it can.
	HomeRegion string `yaml:"home" json:"home"`
	// Residency lists the regions in which the customer's data may be
	// processed. Empty means the home region only.
	Residency []string `yaml:"residency" json:"residency"`
	// Priority of the customer's requests, 0 (lowest) to 9. A caller may lower it.
	Priority int `yaml:"priority" json:"priority" default:"5" min:"0" max:"9"`
	// Deadline is the total time for a request. A caller may lower it.
	Deadline Duration `yaml:"deadline" json:"deadline" default:"60s" min:"1ms" max:"1h"`
	Limits   Limits   `yaml:"limits" json:"limits"`
}

// Limits bound a customer's use over all gateways. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second" min:"0"`
	TokensPerSecond   float64 `yaml:"tokens_per_second" json:"tokens_per_second" min:"0"`
	MaxConcurrent     int     `yaml:"concurrent" json:"concurrent" min:"0"`
}

// Model is a name that callers ask for and the endpoint groups that serve it.
type Model struct {
	Groups          []string `yaml:"groups" json:"groups"`
	MaxPromptTokens int      `yaml:"max_prompt_tokens" json:"max_prompt_tokens" min:"1"`
	MaxOutputTokens int      `yaml:"max_output_tokens" json:"max_output_tokens" min:"1"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Group string          `yaml:"group" json:"group"`
	Calls map[string]Call `yaml:"calls" json:"calls"`
}

// Call is one call of a plain service.
type Call struct {
	Method string `yaml:"method" json:"method" default:"POST"`
	Path   string `yaml:"path" json:"path"`
	// Idempotent says that running the call twice does no harm. Calls that
	// are not repeatable are only reached through /v1/actions.
	Idempotent bool     `yaml:"repeatable" json:"repeatable"`
	Timeout    Duration `yaml:"timeout" json:"timeout" default:"10s" min:"1ms" max:"1h"`
}

// GroupKind tells model engines from plain services.
type GroupKind string

// The kinds of endpoint groups.
const (
	KindEngine  GroupKind = "engine"
	KindService GroupKind = "service"
)

// Group is a set of like endpoints. Its members come from the platform's
// instance list, which names the group of each instance.
type Group struct {
	Kind    GroupKind `yaml:"kind" json:"kind"`
	Regions []string  `yaml:"regions" json:"regions"`
	// ChecksFencingToken says that the endpoints refuse an order with an old
	// fencing number.
	ChecksFencingToken bool `yaml:"checks_fencing" json:"checks_fencing"`
	// CostPerMillionTokens is in the operators' currency.
	CostPerMillionTokens float64 `yaml:"cost_per_million_tokens" json:"cost_per_million_tokens" min:"0"`
	// MaxConcurrent bounds the requests in flight at one endpoint; 0 means no bound.
	MaxConcurrent int `yaml:"max_concurrent" json:"max_concurrent" min:"0"`
}

// Routing holds the knobs of the scheduler and of admission.
type Routing struct {
	Weights Weights `yaml:"weights" json:"weights"`
	// ForwardMargin is the gain in time to first token that another region must
	// promise before a request is sent there.
	ForwardMargin Duration `yaml:"away_margin" json:"away_margin" default:"200ms" min:"0s" max:"1h"`
	// MaxForwardShare bounds the share of requests sent to other regions, 0 to 1.
	MaxForwardShare float64 `yaml:"max_away_share" json:"max_away_share" default:"0.5" min:"0" max:"1"`
	// MaxLinkShare bounds the share of a link that forwarded requests use, 0 to 1.
	MaxLinkShare float64 `yaml:"max_link_share" json:"max_link_share" default:"0.5" min:"0" max:"1"`
	// RetryRatio is the number of retries allowed for each success.
	RetryRatio float64 `yaml:"retry_ratio" json:"retry_ratio" default:"0.1" min:"0" max:"1"`
	// TTFTTarget is the time to first token aimed at for 95 in 100.
	TTFTTarget Duration `yaml:"ttft_target" json:"ttft_target" default:"620ms" min:"1ms" max:"1h"`
}

// Weights say what the operators care for; only their ratios matter.
type Weights struct {
	TailLatency  float64 `yaml:"tail_latency" json:"tail_latency" default:"1" min:"0"`
	ForwardShare float64 `yaml:"away_share" json:"away_share" default:"1" min:"0"`
	Cost         float64 `yaml:"cost" json:"cost" default:"0.1" min:"0"`
}
