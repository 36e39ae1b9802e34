package blackboard

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/route"
)

// Edge is the part of the blackboard that the traffic of routes uses.
type Edge struct {
	Lifecycle *Value[Lifecycle]
	// Routes is the configuration in force; nil until one is known.
	Routes *Value[*route.Table]
	// Evacuated holds the data centres that are to get nothing more.
	Evacuated *Value[map[string]bool]
	// Discovered turns true when the region's endpoints are known.
	Discovered *Value[bool]
	// StoreLost is since when the store has not answered; zero while it does.
	StoreLost *Value[time.Time]
}

// NewEdge returns an empty blackboard.
func NewEdge() *Edge {
	return &Edge{
		Lifecycle:  NewValue(Starting),
		Routes:     NewValue[*route.Table](nil),
		Evacuated:  NewValue(map[string]bool{}),
		Discovered: NewValue(false),
		StoreLost:  NewValue(time.Time{}),
	}
}
