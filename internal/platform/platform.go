// Package platform defines the interfaces of the platform services that the
// gateway uses, and HTTP clients for them: the key-value service, the directory
// for callers and the instance list, which lags behind the actual state.
package platform

import (
	"context"
	"net"
	"strconv"
	"time"
)

// Entry is one key of the key-value service. Version starts at 1 and increases by
// one with each write of the key.
type Entry struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// LeaseID identifies a lease of the key-value service.
type LeaseID string

// Era is an era of the key-value service. One ends when the service is restored from an
// older copy: what was written after the copy is lost, leases have ended, and versions are
// given out again. So versions of different eras can't be compared.
type Era struct {
	// Number rises with each restore. It is 0 if the service doesn't name its eras.
	Number uint64
	// BeganAt is when the service was restored, by the clock of this process; zero in the
	// first era.
	BeganAt time.Time
}

// PutOptions are the conditions and the lease of a write.
type PutOptions struct {
	// IfVersion makes the write a compare-and-swap: it takes effect only if
	// the key has this version. 0 means that the key must not exist. With nil
	// the write is unconditional.
	IfVersion *uint64
	// Lease, if set, is the lease with whose end the key is removed.
	Lease LeaseID
	// Era, if not 0, makes the write take effect in that era only: the one in which
	// IfVersion was read.
	Era uint64
}

// DeleteOptions are the conditions of a deletion, as in PutOptions.
type DeleteOptions struct {
	IfVersion *uint64
	Era       uint64
}

// Store is the key-value service. Each method is one call that the service counts
// against its rate limits. Errors are *NotFoundError, *ConflictError (the compare
// failed, nothing was written), *RestoredError (the era is over, nothing was written)
// and *UnavailableError (with MaybeApplied, if a write may have taken effect; its cause
// is a *RestoredError if the response is from an era that is over).
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	Put(ctx context.Context, key string, value []byte, opts PutOptions) (Entry, error)
	Delete(ctx context.Context, key string, opts DeleteOptions) error
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch waits until key has a version above after, and returns its entry.
	// Once wait has passed, it returns the current entry, or a
	// *NotFoundError.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, id LeaseID) error
	Revoke(ctx context.Context, id LeaseID) error
	// Era returns the newest era that a response has named. It makes no call.
	Era() Era
}

// Registration is a gateway's entry in the directory for callers.
type Registration struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// Address is the host:port at which callers reach the gateway.
	Address string `json:"address"`
}

// Directory lists the gateways that callers can connect to first. A registration
// expires after its ttl.
type Directory interface {
	Register(ctx context.Context, r Registration, ttl time.Duration) error
	Deregister(ctx context.Context, instance string) error
	Lookup(ctx context.Context) ([]Registration, error)
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// GatewayGroup is the group name of gateways in the instance list.
const GatewayGroup = "gateway"

// Instance is one entry of the platform's instance list.
type Instance struct {
	ID string `json:"id"`
	// Incarnation is different after each start of the instance.
	Incarnation string `json:"incarnation"`
	// Group is GatewayGroup or the name of an endpoint group of the intent.
	Group      string `json:"group"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Address is host:port; for gateways, the address of the peer listener.
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// isUsable reports whether the instance has an id, and its address, if it has one, a host
// and a port.
func (i Instance) isUsable() bool {
	if i.Address == "" {
		return i.ID != ""
	}
	host, port, err := net.SplitHostPort(i.Address)
	n, portErr := strconv.ParseUint(port, 10, 16)
	return i.ID != "" && err == nil && host != "" && portErr == nil && n > 0
}

// InstanceList is the platform's list of live and leaving instances, which lags
// behind their actual state. An empty region means all regions.
type InstanceList interface {
	Instances(ctx context.Context, region string) ([]Instance, error)
}
