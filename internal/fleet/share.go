package fleet

import (
	"math/bits"
	"slices"
)

// Shares returns how many parts of the load each of the gateways should get, in proportion to
// the processor capacity of their machines: one part for the smallest. A gateway of unknown
// capacity counts as one of the smallest. Larger machines get less than their proportion if
// the sum would exceed most, but none gets less than one part.
func Shares(gateways []Gateway, most int) []int {
	shares := make([]int, len(gateways))
	for part := leastMillicores(gateways); ; part += max(part/partSteps, 1) {
		sum := 0
		for i, g := range gateways {
			shares[i] = max((g.Millicores+part/2)/part, 1)
			sum += shares[i]
		}
		if sum <= most || slices.Max(shares) == 1 {
			return shares
		}
	}
}

// partSteps is the fraction of a part by which Shares increases it until the sum fits.
const partSteps = 8

// leastMillicores returns the least capacity that is known, 1 if none is.
func leastMillicores(gateways []Gateway) int {
	least := 0
	for _, g := range gateways {
		if g.Millicores > 0 && (least == 0 || g.Millicores < least) {
			least = g.Millicores
		}
	}
	return max(least, 1)
}

// ReadyInTurn returns the ready gateway whose turn number n is, and false if none is ready. The
// gateways take turns in proportion to the processor capacity of their machines.
func ReadyInTurn(gateways []GatewayStatus, n uint64) (GatewayStatus, bool) {
	var ready []GatewayStatus
	for _, g := range gateways {
		if g.Ready {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		return GatewayStatus{}, false
	}
	identities := make([]Gateway, len(ready))
	for i, g := range ready {
		identities[i] = g.Gateway
	}
	shares := Shares(identities, maxTurns)
	sum := 0
	for _, share := range shares {
		sum += share
	}
	turn, _ := bits.Mul64(n*turnStep, uint64(sum))
	for i, share := range shares {
		if turn < uint64(share) {
			return ready[i], true
		}
		turn -= uint64(share)
	}
	return ready[0], true
}

const (
	// maxTurns bounds the turns of large machines: it allows for capacities that differ by
	// more than tenfold among hundreds of gateways.
	maxTurns = 1 << 14
	// turnStep is the golden ratio as a fraction of 2^64, whose multiples are spread evenly.
	turnStep = 0x9e3779b97f4a7c15
)
