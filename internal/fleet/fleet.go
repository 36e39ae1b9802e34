// Package fleet is what a gateway believes of the instances around it: the
// endpoints of its region and the gateways of all regions. It merges what the
// store and the peers tell, and is pure but for the blackboard it writes to.
package fleet

import "time"

// EndpointState is what an endpoint says of itself.
type EndpointState int

// The states of an endpoint.
const (
	Ready EndpointState = iota
	Draining
)

// Endpoint is one incarnation of an endpoint as its entry in the store tells.
type Endpoint struct {
	ID string `json:"id"`
	// Incarnation changes with each start under the same id. It orders the
	// incarnations of one id and compares with nothing else.
	Incarnation int64 `json:"inc"`
	// Sequence grows with each entry of one incarnation.
	Sequence int64  `json:"seq"`
	Service  string `json:"service"`
	// Address is host:port.
	Address    string        `json:"addr"`
	DataCentre string        `json:"dc"`
	Slots      int           `json:"slots"`
	State      EndpointState `json:"state"`
	// ColdRemaining is how much longer the endpoint is slow after its start.
	ColdRemaining time.Duration `json:"cold_ns,omitempty"`
	// RemovalIn is the time until a draining endpoint is removed; 0 if unknown.
	RemovalIn time.Duration `json:"gone_ns,omitempty"`
}
