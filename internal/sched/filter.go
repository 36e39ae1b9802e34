package sched

// candidate is an endpoint that may serve a request, with its estimate.
type candidate struct {
	e      *Endpoint
	cached int
	// ttft is the estimated time to first token in seconds.
	ttft float64
	// score is what the picker compares; lower is better.
	score float64
	cost  float64
}

// filter says whether an endpoint may take a request.
type filter func(req *Request, e *Endpoint, rnd uint64) bool

func notLeaving(_ *Request, e *Endpoint, _ uint64) bool { return !e.Leaving }

func notExcluded(req *Request, e *Endpoint, _ uint64) bool { return !req.ExcludedEndpoints[e.ID] }

func notEjected(_ *Request, e *Endpoint, _ uint64) bool { return e.Health != Ejected }

// withinReturn lets a returning endpoint take only its share.
func withinReturn(_ *Request, e *Endpoint, rnd uint64) bool {
	if e.Health != Recovering {
		return true
	}
	draw := mix(rnd, uint64(e.Ordinal)+1)
	return float64(draw>>11)/(1<<53) < e.RecoveryShare
}

// withinConcurrency says whether e may take one more request. A part of its
// places is kept for higher priorities, so that they need not wait in one
// gateway while another, whose view lags, still sends lower ones.
func withinConcurrency(o *Options, req *Request, e *Endpoint) bool {
	if e.MaxConcurrent <= 0 {
		return true
	}
	below := float64(maxPriority-min(req.Priority, maxPriority)) / maxPriority
	places := float64(e.MaxConcurrent) * (1 - o.PriorityHeadroom*below)
	return e.Occupancy() < max(int(places), 1)
}

// maxPriority is the highest priority of a request.
const maxPriority = 9

// fixedFilters hold whatever else is the case.
var fixedFilters = []filter{notLeaving, notExcluded}

// healthFilters are tried in their order until some endpoint passes.
var healthFilters = [][]filter{{notEjected, withinReturn}, {notEjected}, nil}

func passes(fs []filter, req *Request, e *Endpoint, rnd uint64) bool {
	for _, f := range fs {
		if !f(req, e, rnd) {
			return false
		}
	}
	return true
}

// mix is a 64-bit finalizer over two words (splitmix64).
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
