package blackboard

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
)

// Edge is the part of the blackboard that the traffic of routes uses.
type Edge struct {
	// Settings is what the platform tells this gateway; it is never nil.
	Settings  *Value[*settings.PlatformSettings]
	Lifecycle *Value[Lifecycle]
	// Routes is the configuration in force; nil until one is known.
	Routes *Value[*route.Table]
	// Evacuated holds the data centres that are to get nothing more.
	Evacuated *Value[map[string]bool]
	// EndpointsDiscovered turns true when the region's endpoints are known.
	EndpointsDiscovered *Value[bool]
	// EndpointsReadAt and OperatorsRead are when this gateway itself last read the
	// entries of endpoints in the store, and what operators wrote.
	EndpointsReadAt *Value[time.Time]
	OperatorsReadAt *Value[time.Time]
	// StoreUnreachableSince is since when the store has not answered; zero while it does.
	StoreUnreachableSince *Value[time.Time]
}

// NewEdge returns an empty blackboard of a gateway at the given site.
func NewEdge(site *settings.PlatformSettings) *Edge {
	return &Edge{
		Settings:              NewValue(site),
		Lifecycle:             NewValue(Starting),
		Routes:                NewValue[*route.Table](nil),
		Evacuated:             NewValue(map[string]bool{}),
		EndpointsDiscovered:   NewValue(false),
		EndpointsReadAt:       NewValue(time.Time{}),
		OperatorsReadAt:       NewValue(time.Time{}),
		StoreUnreachableSince: NewValue(time.Time{}),
	}
}
