package sched

// affinityBlock is the index of the block whose hash is the key of a prompt in
// rendezvous hashing. Prompts without that block have no affinity.
const affinityBlock = 15

// pick chooses one of the candidates, or returns nil if there are none. rnd
// breaks ties.
func pick(o *Options, req *Request, cs []candidate, rnd uint64) *candidate {
	if len(cs) == 0 {
		return nil
	}
	best := lowestScore(cs)
	if !o.SpreadTies {
		return best
	}
	limit := best.score*(1+o.TieRelativeMargin) + o.TieAbsoluteMargin.Seconds()
	if c := rendezvousChoice(req, cs, limit); c != nil {
		return c
	}
	return twoRandomChoices(cs, limit, rnd)
}

func lowestScore(cs []candidate) *candidate {
	best := &cs[0]
	for i := range cs {
		if cs[i].score < best.score {
			best = &cs[i]
		}
	}
	return best
}

// rendezvousChoice returns the tied candidate with the highest rendezvous weight
// for the prompt's prefix, so that gateways choose the same endpoint for a prefix
// without communicating. It returns nil for prompts without affinity.
func rendezvousChoice(req *Request, cs []candidate, limit float64) *candidate {
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
		if h := mix64(key, uint64(cs[i].endpoint.Ordinal)+1); best == nil || h > top {
			best, top = &cs[i], h
		}
	}
	return best
}

// twoRandomChoices draws two of the tied candidates at random and returns the one
// with the lower score.
func twoRandomChoices(cs []candidate, limit float64, rnd uint64) *candidate {
	n := uint64(0)
	for i := range cs {
		if cs[i].score <= limit {
			n++
		}
	}
	a := nthTied(cs, limit, mix64(rnd, 1)%n)
	b := nthTied(cs, limit, mix64(rnd, 2)%n)
	if b.score < a.score {
		return b
	}
	return a
}

// nthTied returns the n-th candidate, from 0, whose score is at most limit.
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
