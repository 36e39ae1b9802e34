package blackboard

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
)

// Edge is the blackboard of the route data plane.
type Edge struct {
	// Settings holds the settings that the platform provides; they are never nil.
	Settings  *Value[*settings.PlatformSettings]
	Lifecycle *Value[Lifecycle]
	// Routes is the configuration in force; nil until one is known.
	Routes *Value[*route.Table]
	// Evacuated holds the data centres that get no more requests.
	Evacuated *Value[map[string]bool]
	// EvacuatedKnownAt is when Evacuated was last known to match the store.
	EvacuatedKnownAt *Value[time.Time]
	// EndpointsDiscovered turns true when the region's endpoints are first known.
	EndpointsDiscovered *Value[bool]
	// EndpointsReadAt and OperatorsReadAt are when this gateway itself last read
	// from the store the entries of endpoints and the entries of operators.
	EndpointsReadAt *Value[time.Time]
	OperatorsReadAt *Value[time.Time]
	// StoreEra is the newest era of the store that is known; 0 for none.
	StoreEra *Value[uint64]
	// StoreUnreachableSince is when the store stopped responding; zero while it
	// responds.
	StoreUnreachableSince *Value[time.Time]
}

// NewEdge returns an empty blackboard for a gateway at the given site.
func NewEdge(site *settings.PlatformSettings) *Edge {
	return &Edge{
		Settings:              NewValue(site),
		Lifecycle:             NewValue(Starting),
		Routes:                NewValue[*route.Table](nil),
		Evacuated:             NewValue(map[string]bool{}),
		EvacuatedKnownAt:      NewValue(time.Time{}),
		EndpointsDiscovered:   NewValue(false),
		EndpointsReadAt:       NewValue(time.Time{}),
		OperatorsReadAt:       NewValue(time.Time{}),
		StoreEra:              NewValue(uint64(0)),
		StoreUnreachableSince: NewValue(time.Time{}),
	}
}
