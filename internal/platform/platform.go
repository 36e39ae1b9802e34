// Package platform defines what the gateway uses of the platform it runs on:
// the key-value service, the directory for callers and the lagging instance
// list. HTTP clients for them live in this package too.
package platform

import (
	"context"
	"time"
)

// Entry is one key of the key-value service. Version starts at 1 and grows by
// one with each write of the key.
type Entry struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// LeaseID names a lease of the key-value service.
type LeaseID string

// PutOptions restrict a write.
type PutOptions struct {
	// IfVersion makes the write a compare-and-swap: it takes effect only if
	// the key has this version. 0 means that the key must not exist. Nil
	// writes in any case.
	IfVersion *uint64
	// Lease, if set, removes the key when the lease ends.
	Lease LeaseID
}

// Store is the key-value service. Every method is one counted call. Errors are
// *NotFoundError, *ConflictError (the compare failed, nothing was written),
// *UnavailableError (with MaybeApplied, when a write may have taken effect).
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	Put(ctx context.Context, key string, value []byte, opts PutOptions) (Entry, error)
	Delete(ctx context.Context, key string, ifVersion *uint64) error
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch waits until key has a version above after, or until wait is over
	// (then it returns the current entry, or *NotFoundError).
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, id LeaseID) error
	Revoke(ctx context.Context, id LeaseID) error
}

// Registration is a gateway's entry in the directory for callers.
type Registration struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// Address is where callers reach the gateway, as host:port.
	Address string `json:"address"`
}

// Directory is where callers find a first gateway.
type Directory interface {
	Register(ctx context.Context, r Registration, ttl time.Duration) error
	Deregister(ctx context.Context, instance string) error
	Lookup(ctx context.Context) ([]Registration, error)
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// GatewayGroup is the group name of gateways in the instance list.
const GatewayGroup = "gateway"

// Instance is one line of the platform's lagging list.
type Instance struct {
	ID string `json:"id"`
	// Incarnation changes with each start of the instance.
	Incarnation string `json:"incarnation"`
	// Group is GatewayGroup or the name of an endpoint group of the intent.
	Group      string `json:"group"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Address is host:port; for gateways, the address of the peer listener.
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context, region string) ([]Instance, error)
}
