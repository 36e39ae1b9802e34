package admit

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// baseShares are the shares of a customer's limit that the first gateways in the
// customer's rendezvous order get before any demand is known. The remaining gateways
// share the rest equally. Customers are told to call the gateways in the same order.
var baseShares = []float64{0.6, 0.2}

// RankGateways returns the gateways in the order in which the customer is told to
// call them, by rendezvous hashing. It doesn't change its argument.
func RankGateways(customer string, gateways []string) []string {
	out := append([]string(nil), gateways...)
	weight := make(map[string]uint64, len(out))
	for _, g := range out {
		weight[g] = xxhash.Sum64String(customer + "\x00" + g)
	}
	sort.Slice(out, func(i, j int) bool {
		if weight[out[i]] != weight[out[j]] {
			return weight[out[i]] > weight[out[j]]
		}
		return out[i] < out[j]
	})
	return out
}

// baseShare returns the base share of the gateway with the given rank, from 0,
// among n gateways.
func baseShare(rank, n int) float64 {
	if n <= 1 {
		return 1
	}
	if n <= len(baseShares) {
		// Without gateways beyond the fixed shares, the last one gets the rest.
		if rank < n-1 {
			return baseShares[rank]
		}
		rest := 1.0
		for _, s := range baseShares[:n-1] {
			rest -= s
		}
		return rest
	}
	if rank < len(baseShares) {
		return baseShares[rank]
	}
	rest := 1.0
	for _, s := range baseShares {
		rest -= s
	}
	return rest / float64(n-len(baseShares))
}
