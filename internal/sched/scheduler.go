package sched

import "time"

// Options switch parts of the scheduler, so that versions can be compared.
type Options struct {
	// ReportLagCorrection uses the corrected backlog instead of the report's.
	ReportLagCorrection bool
	// BiasCorrection adds what was observed beyond the estimate.
	BiasCorrection bool
	// PrefixAffinity counts cached prefixes in the estimate.
	PrefixAffinity bool
	// PrefillWeight is the weight of a request's own prefill in the score beyond
	// its part of the estimate: work that others have to wait for.
	PrefillWeight float64
	// DeadlineFilter leaves out endpoints that can't answer in time while
	// others can.
	DeadlineFilter bool
	// ForwardAffinity counts the prefixes sent to another region as cached there.
	ForwardAffinity bool
	// PreferredMargin is what an endpoint of another gateway's must be better by.
	PreferredMargin time.Duration
	// PriorityHeadroom is the part of an endpoint's places that the lowest
	// priority may not use, 0 to 1.
	PriorityHeadroom float64
	// RequireFreeRegionSlots sends no request to a region without free places.
	RequireFreeRegionSlots bool
	// SpreadTies breaks ties by rendezvous and two random choices instead of
	// taking the best.
	SpreadTies bool
	// TieRelativeMargin and TieMargin are how far from the best score a tie reaches.
	TieRelativeMargin float64
	TieAbsoluteMargin time.Duration
	// Hysteresis lowers the margin for a region in use.
	Hysteresis bool
}

// DefaultOptions are the options in production.
func DefaultOptions() Options {
	return Options{
		ReportLagCorrection: true, BiasCorrection: true, PrefixAffinity: true,
		SpreadTies: true, Hysteresis: true, PrefillWeight: 2, DeadlineFilter: true, ForwardAffinity: true, PreferredMargin: 80 * time.Millisecond,
		PriorityHeadroom: 0.25, RequireFreeRegionSlots: true,
		TieAbsoluteMargin: 10 * time.Millisecond,
	}
}

// BaselineOptions are the options of the version before, for comparison.
func BaselineOptions() Options {
	return Options{
		ReportLagCorrection: true, BiasCorrection: true, PrefixAffinity: true,
		SpreadTies: true, Hysteresis: true, TieRelativeMargin: 0.1, TieAbsoluteMargin: 10 * time.Millisecond,
	}
}

// Scheduler decides where a request runs. It is safe for concurrent use and
// holds no state.
type Scheduler struct{ opts Options }

// New returns a scheduler with the given options.
func New(opts Options) *Scheduler { return &Scheduler{opts: opts} }

// Decide chooses an endpoint or a region for req, or says to wait or to
// refuse. rnd is a uniform draw that breaks ties.
func (s *Scheduler) Decide(req *Request, v *View, rnd uint64) Decision {
	depth := s.depths(req, v)
	local, full := s.bestLocal(req, v, depth, rnd)
	if local != nil {
		return s.localOrAway(req, v, local, s.awayDepths(depth), rnd)
	}
	if !full || withinAwayShare(v) {
		if d, ok := s.awayOnly(req, v, s.awayDepths(depth), rnd); ok {
			return d
		}
	}
	return s.noChoice(req, v, full)
}

// bestLocal returns the picked endpoint of this region. full says that there
// are endpoints but all are at their bound.
func (s *Scheduler) bestLocal(req *Request, v *View, depth []int, rnd uint64) (best *candidate, full bool) {
	if !req.PermittedRegions[v.Region] {
		return nil, false
	}
	cs, full := s.candidates(req, v, depth, rnd)
	return pick(&s.opts, req, s.inTime(req, cs), rnd), full
}

// inTime returns the candidates that can answer by the deadline, or all of
// them when none can.
func (s *Scheduler) inTime(req *Request, cs []candidate) []candidate {
	if !s.opts.DeadlineFilter {
		return cs
	}
	n := 0
	for i := range cs {
		if !late(req, cs[i].ttft, decodeRate(cs[i].e)) {
			cs[n], cs[i] = cs[i], cs[n]
			n++
		}
	}
	if n == 0 {
		return cs
	}
	return cs[:n]
}

// candidates returns the endpoints that pass the filters, with estimates. The
// health filters are loosened step by step while no endpoint passes them, so
// the last endpoint of a group is never ejected.
func (s *Scheduler) candidates(req *Request, v *View, depth []int, rnd uint64) (cs []candidate, full bool) {
	cs = make([]candidate, 0, s.places(req, v))
	for _, filters := range healthFilters {
		for _, group := range req.Groups {
			if gv, ok := v.Groups[group]; ok {
				cs, full = s.collect(cs, full, filters, req, v, gv, depth, rnd)
			}
		}
		if len(cs) > 0 || full {
			break
		}
	}
	return cs, full
}

// collect adds the endpoints of one group that pass the filters to cs.
func (s *Scheduler) collect(cs []candidate, full bool, filters []filter, req *Request, v *View, gv *GroupView, depth []int, rnd uint64) ([]candidate, bool) {
	for _, slot := range gv.Endpoints {
		e := slot.Load()
		if !passes(fixedFilters, req, e, rnd) || !passes(filters, req, e, rnd) {
			continue
		}
		if !withinConcurrency(&s.opts, req, e) {
			full = true
			continue
		}
		cs = append(cs, s.score(req, v, gv, e, depth))
	}
	return cs, full
}

func (s *Scheduler) depths(req *Request, v *View) []int {
	if !s.opts.PrefixAffinity || v.PrefixIndex == nil || len(req.PrefixHashes) == 0 {
		return nil
	}
	depth := make([]int, v.OrdinalCount)
	v.PrefixIndex.Match(req.PrefixHashes, depth)
	return depth
}

// places is the number of endpoints that a request may go to.
func (s *Scheduler) places(req *Request, v *View) int {
	n := 0
	for _, group := range req.Groups {
		if gv, ok := v.Groups[group]; ok {
			n += len(gv.Endpoints)
		}
	}
	return n
}

// awayDepths are the depths that count for other regions.
func (s *Scheduler) awayDepths(depth []int) []int {
	if !s.opts.ForwardAffinity {
		return nil
	}
	return depth
}

// cachedAt returns the cached prompt tokens at a place of the prefix index.
func cachedAt(depth []int, i int) int {
	if i >= len(depth) {
		return 0
	}
	return depth[i] * TokensPerBlock
}

func (s *Scheduler) score(req *Request, v *View, gv *GroupView, e *Endpoint, depth []int) candidate {
	cached := cachedAt(depth, e.Ordinal)
	t := estimateLocal(&s.opts, req, e, v.Now, cached)
	work := float64(max(req.PromptTokens-cached, 1)) / prefillRate(e)
	if !e.Preferred {
		work += s.opts.PreferredMargin.Seconds() / max(s.opts.PrefillWeight, 1)
	}
	return candidate{
		e: e, cached: cached, ttft: t, cost: gv.CostPerMillionTokens,
		score: t + s.opts.PrefillWeight*work + costSeconds(v, req, gv.CostPerMillionTokens),
	}
}

// costSeconds converts a request's cost into seconds by the operators' weights.
func costSeconds(v *View, req *Request, perMillion float64) float64 {
	if v.Policy.CostWeight <= 0 || v.Policy.TailLatencyWeight <= 0 {
		return 0
	}
	cost := perMillion * float64(req.PromptTokens+req.OutputTokens) / 1e6
	return cost * v.Policy.CostWeight / v.Policy.TailLatencyWeight
}

func (s *Scheduler) localOrAway(req *Request, v *View, local *candidate, depth []int, rnd uint64) Decision {
	serve := Decision{Kind: Serve, Endpoint: local.e.ID, EstimatedTTFT: seconds(local.ttft), CachedTokens: local.cached, Reason: ReasonBestEstimate}
	if req.ForwardsLeft > 0 {
		away := bestAway(&s.opts, req, v, depth, rnd)
		gain := local.ttft + costSeconds(v, req, local.cost) - away.ttft - costSeconds(v, req, away.cost)
		if away.region != "" && gain > margin(&s.opts, v, v.Regions[away.region]) {
			if withinAwayShare(v) {
				return Decision{Kind: Forward, Region: away.region, EstimatedTTFT: seconds(away.ttft), Reason: ReasonOtherRegionFaster}
			}
			serve.Reason = ReasonForwardBudget
		}
	}
	if late(req, local.ttft, decodeRate(local.e)) {
		return Decision{Kind: Refuse, EstimatedTTFT: serve.EstimatedTTFT, Reason: ReasonDeadline}
	}
	return serve
}

// awayOnly chooses a region when this one has no place for req. With no
// endpoint here at all the share budget doesn't hold, since the alternative is
// a refusal.
func (s *Scheduler) awayOnly(req *Request, v *View, depth []int, rnd uint64) (Decision, bool) {
	if req.ForwardsLeft <= 0 {
		return Decision{}, false
	}
	away := bestAway(&s.opts, req, v, depth, rnd)
	if away.region == "" || late(req, away.ttft, defaultDecodeRate) {
		return Decision{}, false
	}
	return Decision{Kind: Forward, Region: away.region, EstimatedTTFT: seconds(away.ttft), Reason: ReasonNoLocalEndpoint}, true
}

func (s *Scheduler) noChoice(req *Request, v *View, full bool) Decision {
	if full {
		return Decision{Kind: Wait, Reason: ReasonSaturated}
	}
	if !req.PermittedRegions[v.Region] {
		return Decision{Kind: Refuse, Reason: ReasonResidency}
	}
	return Decision{Kind: Refuse, Reason: ReasonNoEndpoint}
}

// late says that an answer whose first token takes ttft seconds and whose
// other tokens come at rate can't be whole by the deadline. A request without
// a deadline is never late.
func late(req *Request, ttft, rate float64) bool {
	if req.TimeToDeadline <= 0 {
		return false
	}
	return ttft+float64(req.OutputTokens)/rate > req.TimeToDeadline.Seconds()
}
