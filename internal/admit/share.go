package admit

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// baseShares are the parts of a customer's limit that its first gateways get
// before any demand is known. The rest get an equal part of what is left.
// Customers call gateways in the same rendezvous order.
var baseShares = []float64{0.6, 0.2}

// RankGateways returns the gateways in the order in which a customer is told to call
// them, by rendezvous hashing.
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

// baseShare is the part of a gateway at place rank of n.
func baseShare(rank, n int) float64 {
	if n <= 1 {
		return 1
	}
	if n <= len(baseShares) {
		// Fewer gateways than fixed parts: the last takes the rest.
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
