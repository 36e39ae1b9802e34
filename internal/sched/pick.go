package sched

// affinityBlock is the index of the block whose hash names a prompt's prefix
// for rendezvous hashing; shorter prompts have no affinity.
const affinityBlock = 15

// pick chooses among candidates with a draw. It returns nil for none.
func pick(o *Options, req *Request, cs []candidate, rnd uint64) *candidate {
	if len(cs) == 0 {
		return nil
	}
	best := bestOf(cs)
	if !o.SpreadTies {
		return best
	}
	limit := best.score*(1+o.TieRelativeMargin) + o.TieAbsoluteMargin.Seconds()
	if c := rendezvous(req, cs, limit); c != nil {
		return c
	}
	return twoChoices(cs, limit, rnd)
}

func bestOf(cs []candidate) *candidate {
	best := &cs[0]
	for i := range cs {
		if cs[i].score < best.score {
			best = &cs[i]
		}
	}
	return best
}

// rendezvous returns the tied candidate that ranks highest for the prompt's
// prefix, so that gateways agree on a home for a prefix without talking.
func rendezvous(req *Request, cs []candidate, limit float64) *candidate {
	if len(req.PrefixHashes) <= affinityBlock {
		return nil
	}
	key := req.PrefixHashes[affinityBlock]
	var best *candidate
	var top uint64
	for i := range cs {
		if cs[i].score > limit {
			continue
		}
		if h := mix(key, uint64(cs[i].e.Ordinal)+1); best == nil || h > top {
			best, top = &cs[i], h
		}
	}
	return best
}

// twoChoices draws two tied candidates and returns the better one.
func twoChoices(cs []candidate, limit float64, rnd uint64) *candidate {
	n := uint64(0)
	for i := range cs {
		if cs[i].score <= limit {
			n++
		}
	}
	a := nthTied(cs, limit, mix(rnd, 1)%n)
	b := nthTied(cs, limit, mix(rnd, 2)%n)
	if b.score < a.score {
		return b
	}
	return a
}

func nthTied(cs []candidate, limit float64, n uint64) *candidate {
	for i := range cs {
		if cs[i].score > limit {
			continue
		}
		if n == 0 {
			return &cs[i]
		}
		n--
	}
	return &cs[0]
}
