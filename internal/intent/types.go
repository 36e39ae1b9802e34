// Package intent defines the configuration that operators write: its types, the
// merge of the folder's files, and the validation of the result.
package intent

// Intent is a complete, valid configuration. It is immutable after Parse, which
// also builds the indexes that the request path reads.
//
// The decoder reads three struct tags: default is the value of a field that no
// file sets; min and max are the inclusive bounds of a number or duration.
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
// the two region names in alphabetical order, joined by "-"; the key "*" is the
// default (see LinkName and DefaultLinkName).
type Link struct {
	// OneWayDelay is the network latency in one direction.
	OneWayDelay Duration `yaml:"one_way" json:"one_way" default:"55ms" min:"0s" max:"10s"`
	// MegabitsPerSecond is the capacity in each direction.
	MegabitsPerSecond float64 `yaml:"megabits_per_second" json:"megabits_per_second" default:"1000" min:"0.001"`
}

// Customer is an account whose programs call the gateway.
type Customer struct {
	// KeyHashes are hex SHA-256 hashes of the customer's API keys.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes"`
	// HomeRegion is the preferred region for the customer's requests.
	HomeRegion string `yaml:"home" json:"home"`
	// Residency lists the regions in which the customer's data may be
	// processed. Empty means the home region only.
	Residency []string `yaml:"residency" json:"residency"`
	// Priority of the customer's requests, 0 (lowest) to 9. A request may lower it.
	Priority int `yaml:"priority" json:"priority" default:"5" min:"0" max:"9"`
	// Deadline is the maximum total time of a request. A request may lower it.
	Deadline Duration `yaml:"deadline" json:"deadline" default:"60s" min:"1ms" max:"1h"`
	Limits   Limits   `yaml:"limits" json:"limits"`
}

// Limits bound a customer's usage across all gateways. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second" min:"0"`
	TokensPerSecond   float64 `yaml:"tokens_per_second" json:"tokens_per_second" min:"0"`
	MaxConcurrent     int     `yaml:"concurrent" json:"concurrent" min:"0"`
}

// Model describes a model that callers request by name. Groups are the endpoint
// groups that serve it.
type Model struct {
	Groups          []string `yaml:"groups" json:"groups"`
	MaxPromptTokens int      `yaml:"max_prompt_tokens" json:"max_prompt_tokens" min:"1"`
	MaxOutputTokens int      `yaml:"max_output_tokens" json:"max_output_tokens" min:"1"`
}

// Service is an HTTP service without a model that the gateway serves alongside
// model engines.
type Service struct {
	Group string          `yaml:"group" json:"group"`
	Calls map[string]Call `yaml:"calls" json:"calls"`
}

// Call is one operation of a Service, identified by its method and path.
type Call struct {
	Method string `yaml:"method" json:"method" default:"POST"`
	Path   string `yaml:"path" json:"path"`
	// Idempotent reports that executing the call twice is harmless. Calls that
	// are not idempotent can only be made through /v1/actions.
	Idempotent bool     `yaml:"repeatable" json:"repeatable"`
	Timeout    Duration `yaml:"timeout" json:"timeout" default:"10s" min:"1ms" max:"1h"`
}

// GroupKind distinguishes groups of model engines from groups of services.
type GroupKind string

// Kinds of endpoint groups.
const (
	KindEngine  GroupKind = "engine"
	KindService GroupKind = "service"
)

// Group is a set of equivalent endpoints. Its members come from the platform's
// instance list, which names the group of each instance.
type Group struct {
	Kind    GroupKind `yaml:"kind" json:"kind"`
	Regions []string  `yaml:"regions" json:"regions"`
	// ChecksFencingToken reports that the endpoints reject a dispatch request
	// with an outdated fencing token.
	ChecksFencingToken bool `yaml:"checks_fencing" json:"checks_fencing"`
	// CostPerMillionTokens is in the operators' currency.
	CostPerMillionTokens float64 `yaml:"cost_per_million_tokens" json:"cost_per_million_tokens" min:"0"`
	// MaxConcurrent bounds the requests in flight at one endpoint; 0 means no limit.
	MaxConcurrent int `yaml:"max_concurrent" json:"max_concurrent" min:"0"`
}

// Routing holds the parameters of scheduling and admission.
type Routing struct {
	Weights Weights `yaml:"weights" json:"weights"`
	// ForwardMargin is the minimum estimated reduction of the time to first token
	// for which a request is forwarded to another region.
	ForwardMargin Duration `yaml:"away_margin" json:"away_margin" default:"200ms" min:"0s" max:"1h"`
	// MaxForwardShare bounds the share of requests forwarded to other regions, 0 to 1.
	MaxForwardShare float64 `yaml:"max_away_share" json:"max_away_share" default:"0.5" min:"0" max:"1"`
	// MaxLinkShare bounds the share of a link's capacity that forwarded requests
	// use, 0 to 1.
	MaxLinkShare float64 `yaml:"max_link_share" json:"max_link_share" default:"0.5" min:"0" max:"1"`
	// RetryRatio is the number of retries allowed per successful request.
	RetryRatio float64 `yaml:"retry_ratio" json:"retry_ratio" default:"0.1" min:"0" max:"1"`
	// TTFTTarget is the target for the 95th percentile of the time to first token.
	TTFTTarget Duration `yaml:"ttft_target" json:"ttft_target" default:"620ms" min:"1ms" max:"1h"`
}

// Weights are the relative weights of the scheduler's objectives. Only their
// ratios matter.
type Weights struct {
	TailLatency  float64 `yaml:"tail_latency" json:"tail_latency" default:"1" min:"0"`
	ForwardShare float64 `yaml:"away_share" json:"away_share" default:"1" min:"0"`
	Cost         float64 `yaml:"cost" json:"cost" default:"0.1" min:"0"`
}
