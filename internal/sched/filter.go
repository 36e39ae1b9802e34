package sched

// candidate is an endpoint that may serve a request, with its estimates.
type candidate struct {
	endpoint     *Endpoint
	cachedTokens int
	// ttftSeconds is the estimated time to first token.
	ttftSeconds float64
	// score ranks the candidates; lower is better.
	score                float64
	costPerMillionTokens float64
}

// filter reports whether an endpoint may take a request.
type filter func(req *Request, e *Endpoint, rnd uint64) bool

func notLeaving(_ *Request, e *Endpoint, _ uint64) bool { return !e.Leaving }

func notExcluded(req *Request, e *Endpoint, _ uint64) bool { return !req.ExcludedEndpoints[e.ID] }

func notEjected(_ *Request, e *Endpoint, _ uint64) bool { return e.Health != Ejected }

// withinRecoveryShare limits a recovering endpoint to its share of the requests.
func withinRecoveryShare(_ *Request, e *Endpoint, rnd uint64) bool {
	if e.Health != Recovering {
		return true
	}
	draw := mix64(rnd, uint64(e.Ordinal)+1)
	return float64(draw>>11)/(1<<53) < e.RecoveryShare
}

// hasFreeSlot reports whether e may take one more request of this priority. Part
// of the concurrency limit is reserved for higher priorities. Otherwise requests
// of high priority would queue at one gateway while another, whose view lags,
// still sends requests of low priority.
func hasFreeSlot(o *Options, req *Request, e *Endpoint) bool {
	if e.MaxConcurrent <= 0 {
		return true
	}
	headroomFraction := float64(maxPriority-min(req.Priority, maxPriority)) / maxPriority
	slots := float64(e.MaxConcurrent) * (1 - o.PriorityHeadroom*headroomFraction)
	return e.Occupancy() < max(int(slots), 1)
}

// maxPriority is the highest priority of a request.
const maxPriority = 9

// mandatoryFilters are never relaxed.
var mandatoryFilters = []filter{notLeaving, notExcluded}

// healthFilters lists filter sets from strict to none. They are tried in order
// until an endpoint passes.
var healthFilters = [][]filter{{notEjected, withinRecoveryShare}, {notEjected}, nil}

func passesAll(fs []filter, req *Request, e *Endpoint, rnd uint64) bool {
	for _, f := range fs {
		if !f(req, e, rnd) {
			return false
		}
	}
	return true
}

// mix64 hashes two words with the finalizer of splitmix64.
func mix64(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
