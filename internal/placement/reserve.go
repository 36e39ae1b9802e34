package placement

const (
	// priorityStep is the utilization by which the limit of each lower priority level of
	// routes is lower.
	priorityStep = 0.15
	// accountPriorityStep is the same for the priorities of client accounts, where these
	// replace those of routes. It is smaller than priorityStep: with equal steps the long
	// prompts of a favoured account took the engine time of many short ones of all others.
	accountPriorityStep = 0.05
	// maxReserveLevel is the lowest priority level for which more is reserved.
	maxReserveLevel = 2
)

// reserve returns the utilization that is kept free for more urgent requests than this
// one. It covers regions at their peak, which can't serve all requests: an account's
// priority orders the requests in the queues of endpoints, and here it adds to that of
// the route, by which operators rank what their callers need first.
func (r Request) reserve() float64 {
	if !r.HasAccountPriority {
		return priorityStep * reserveLevel(r.Priority)
	}
	return accountPriorityStep*reserveLevel(r.Priority) + priorityStep*reserveLevel(r.RoutePriority)
}

func reserveLevel(priority int) float64 { return float64(min(max(priority, 0), maxReserveLevel)) }
