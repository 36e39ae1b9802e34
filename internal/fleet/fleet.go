// Package fleet holds a gateway's view of the instances around it: the
// endpoints and the gateways of all regions. It merges what the store and the
// peers report. It makes no calls and starts no goroutines.
package fleet

import "time"

// EndpointState is the state that an endpoint reports in its entry.
type EndpointState int

// The states of an endpoint.
const (
	Ready EndpointState = iota
	Draining
)

// Endpoint is one incarnation of an endpoint as described by its entry in the
// store.
type Endpoint struct {
	ID string `json:"id"`
	// Incarnation changes with each start under the same id. It orders the
	// incarnations of one id only; values of different ids are not comparable.
	Incarnation int64 `json:"inc"`
	// Sequence increases with each entry that one incarnation writes.
	Sequence int64  `json:"seq"`
	Service  string `json:"service"`
	// SoftwareVersion is the version of the endpoint's software; empty in entries that come
	// from a gateway of an earlier build.
	SoftwareVersion string `json:"sw,omitempty"`
	// Address is host:port.
	Address    string        `json:"addr"`
	DataCentre string        `json:"dc"`
	Slots      int           `json:"slots"`
	State      EndpointState `json:"state"`
	// ColdRemaining is how much longer the endpoint is slow after a cold start.
	ColdRemaining time.Duration `json:"cold_ns,omitempty"`
	// RemovalIn is the time until a draining endpoint is removed, 0 if unknown.
	RemovalIn time.Duration `json:"gone_ns,omitempty"`
}
