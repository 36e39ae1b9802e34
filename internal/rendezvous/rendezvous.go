// Package rendezvous assigns keys to members by rendezvous hashing (highest
// random weight). Processes that know the same members choose the same owners,
// and the loss of a member moves only its own keys.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of member for key.
func Weight(key, member string) uint64 {
	var buffer [128]byte
	b := append(buffer[:0], key...)
	b = append(b, 0)
	b = append(b, member...)
	return xxhash.Sum64(b)
}

// Top returns the k members with the highest weights for key, the highest
// first. It returns all members in this order if there are no more than k.
// Equal weights are ordered by name.
func Top(key string, members []string, k int) []string {
	ranked := append([]string(nil), members...)
	sort.Slice(ranked, func(i, j int) bool {
		wi, wj := Weight(key, ranked[i]), Weight(key, ranked[j])
		if wi != wj {
			return wi > wj
		}
		return ranked[i] < ranked[j]
	})
	if len(ranked) > k {
		ranked = ranked[:k]
	}
	return ranked
}

// Owns reports whether member is among the k owners of key, which are those
// that Top returns.
func Owns(key, member string, members []string, k int) bool {
	weight := Weight(key, member)
	ahead := 0
	for _, m := range members {
		w := Weight(key, m)
		if w > weight || w == weight && m < member {
			ahead++
		}
	}
	return ahead < k
}
