package sched

import "time"

// Options select the scheduler's behaviour. They exist so that experiments can
// compare variants.
type Options struct {
	// ReportLagCorrection estimates with the backlog at the time of the decision
	// instead of the backlog in the last load report.
	ReportLagCorrection bool
	// BiasCorrection adds the endpoint's observed TTFT bias to its estimate.
	BiasCorrection bool
	// PrefixAffinity takes cached prefixes into account in the estimate.
	PrefixAffinity bool
	// PrefillWeight is the additional weight in the score of the request's own
	// prefill time, which is already part of the estimate. It accounts for the
	// delay that the prefill causes to other requests.
	PrefillWeight float64
	// DeadlineFilter excludes endpoints that can't answer by the deadline as
	// long as another endpoint can.
	DeadlineFilter bool
	// ForwardAffinity treats prefixes forwarded to another region as cached
	// there.
	ForwardAffinity bool
	// PreferredMargin is the score penalty of endpoints that this gateway doesn't
	// prefer.
	PreferredMargin time.Duration
	// PriorityHeadroom is the fraction of an endpoint's concurrency limit that
	// requests of the lowest priority may not use, from 0 to 1.
	PriorityHeadroom float64
	// RequireFreeRegionSlots forwards requests only to regions with free slots.
	RequireFreeRegionSlots bool
	// SpreadTies breaks ties by rendezvous hashing of the prompt's prefix, or by
	// two random choices for short prompts, instead of taking the lowest score.
	SpreadTies bool
	// TieRelativeMargin (a fraction of the lowest score) and TieAbsoluteMargin
	// bound the scores that count as tied with the lowest.
	TieRelativeMargin float64
	TieAbsoluteMargin time.Duration
	// Hysteresis lowers the forwarding margin of regions that were used recently.
	Hysteresis bool
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		ReportLagCorrection: true, BiasCorrection: true, PrefixAffinity: true,
		SpreadTies: true, Hysteresis: true, PrefillWeight: 2, DeadlineFilter: true, ForwardAffinity: true, PreferredMargin: 80 * time.Millisecond,
		PriorityHeadroom: 0.25, RequireFreeRegionSlots: true,
		TieAbsoluteMargin: 10 * time.Millisecond,
	}
}

// BaselineOptions returns the options of the previous version of the scheduler,
// which experiments compare with.
func BaselineOptions() Options {
	return Options{
		ReportLagCorrection: true, BiasCorrection: true, PrefixAffinity: true,
		SpreadTies: true, Hysteresis: true, TieRelativeMargin: 0.1, TieAbsoluteMargin: 10 * time.Millisecond,
	}
}

// Scheduler decides where requests run. It is stateless and safe for concurrent
// use.
type Scheduler struct{ opts Options }

// New returns a scheduler with the given options.
func New(opts Options) *Scheduler { return &Scheduler{opts: opts} }

// Decide chooses an endpoint or a region for req, or decides to queue or refuse
// it. rnd is a uniformly distributed random number. It breaks ties and selects
// the requests that recovering endpoints and regions receive.
func (s *Scheduler) Decide(req *Request, v *View, rnd uint64) Decision {
	matchedBlocks := s.matchPrefix(req, v)
	local, saturated := s.bestLocal(req, v, matchedBlocks, rnd)
	if local != nil {
		return s.localOrForward(req, v, local, s.remoteMatchedBlocks(matchedBlocks), rnd)
	}
	if !saturated || withinForwardShare(v) {
		if d, ok := s.forwardOnly(req, v, s.remoteMatchedBlocks(matchedBlocks), rnd); ok {
			return d
		}
	}
	return s.queueOrRefuse(req, v, saturated)
}

// bestLocal returns the endpoint chosen in this region, or nil. saturated reports
// that at least one endpoint was skipped because it is at its concurrency limit.
func (s *Scheduler) bestLocal(req *Request, v *View, matchedBlocks []int, rnd uint64) (best *candidate, saturated bool) {
	if !req.PermittedRegions[v.Region] {
		return nil, false
	}
	cs, saturated := s.candidates(req, v, matchedBlocks, rnd)
	return pick(&s.opts, req, s.withinDeadline(req, cs), rnd), saturated
}

// withinDeadline returns the candidates that can answer by the deadline, or all
// candidates if none can. It reorders its argument.
func (s *Scheduler) withinDeadline(req *Request, candidates []candidate) []candidate {
	if !s.opts.DeadlineFilter {
		return candidates
	}
	n := 0
	for i := range candidates {
		if !missesDeadline(req, candidates[i].ttftSeconds, decodeRate(candidates[i].endpoint)) {
			candidates[n], candidates[i] = candidates[i], candidates[n]
			n++
		}
	}
	if n == 0 {
		return candidates
	}
	return candidates[:n]
}

// candidates returns the endpoints that pass the filters, with their estimates.
// The health filters are relaxed step by step while no endpoint passes them, so
// that ejected endpoints are used when there is no other.
func (s *Scheduler) candidates(req *Request, v *View, matchedBlocks []int, rnd uint64) (cs []candidate, saturated bool) {
	cs = make([]candidate, 0, s.endpointCount(req, v))
	for _, filters := range healthFilters {
		for _, group := range req.Groups {
			if gv, ok := v.Groups[group]; ok {
				cs, saturated = s.collect(cs, saturated, filters, req, v, gv, matchedBlocks, rnd)
			}
		}
		if len(cs) > 0 || saturated {
			break
		}
	}
	return cs, saturated
}

// collect appends the endpoints of one group that pass the filters to cs.
func (s *Scheduler) collect(cs []candidate, saturated bool, filters []filter, req *Request, v *View, gv *GroupView, matchedBlocks []int, rnd uint64) ([]candidate, bool) {
	for _, ref := range gv.Endpoints {
		e := ref.Load()
		if !passesAll(mandatoryFilters, req, e, rnd) || !passesAll(filters, req, e, rnd) {
			continue
		}
		if !hasFreeSlot(&s.opts, req, e) {
			saturated = true
			continue
		}
		cs = append(cs, s.score(req, v, gv, e, matchedBlocks))
	}
	return cs, saturated
}

// matchPrefix returns the number of leading prompt blocks cached at each ordinal
// of the prefix index, or nil if prefixes are not considered.
func (s *Scheduler) matchPrefix(req *Request, v *View) []int {
	if !s.opts.PrefixAffinity || v.PrefixIndex == nil || len(req.PrefixHashes) == 0 {
		return nil
	}
	matchedBlocks := make([]int, v.OrdinalCount)
	v.PrefixIndex.Match(req.PrefixHashes, matchedBlocks)
	return matchedBlocks
}

// endpointCount returns the number of endpoints in the request's groups.
func (s *Scheduler) endpointCount(req *Request, v *View) int {
	n := 0
	for _, group := range req.Groups {
		if gv, ok := v.Groups[group]; ok {
			n += len(gv.Endpoints)
		}
	}
	return n
}

// remoteMatchedBlocks returns the matched blocks to use for other regions: nil
// unless ForwardAffinity is set.
func (s *Scheduler) remoteMatchedBlocks(matchedBlocks []int) []int {
	if !s.opts.ForwardAffinity {
		return nil
	}
	return matchedBlocks
}

// cachedTokensAt returns the number of prompt tokens cached at an ordinal of the
// prefix index.
func cachedTokensAt(matchedBlocks []int, ordinal int) int {
	if ordinal >= len(matchedBlocks) {
		return 0
	}
	return matchedBlocks[ordinal] * TokensPerBlock
}

// score returns e as a candidate. The score is in seconds and increases with the
// estimated time to first token, the request's own prefill time and its cost.
func (s *Scheduler) score(req *Request, v *View, gv *GroupView, e *Endpoint, matchedBlocks []int) candidate {
	cachedTokens := cachedTokensAt(matchedBlocks, e.Ordinal)
	ttftSeconds := estimateLocalTTFT(&s.opts, req, e, v.Now, cachedTokens)
	weightedSeconds := float64(max(req.PromptTokens-cachedTokens, 1)) / prefillRate(e)
	if !e.Preferred {
		weightedSeconds += s.opts.PreferredMargin.Seconds() / max(s.opts.PrefillWeight, 1)
	}
	return candidate{
		endpoint: e, cachedTokens: cachedTokens, ttftSeconds: ttftSeconds, costPerMillionTokens: gv.CostPerMillionTokens,
		score: ttftSeconds + s.opts.PrefillWeight*weightedSeconds + costSeconds(v, req, gv.CostPerMillionTokens),
	}
}

// costSeconds converts a request's cost into seconds by the operators' weights,
// so that it can be added to a time to first token.
func costSeconds(v *View, req *Request, costPerMillionTokens float64) float64 {
	if v.Policy.CostWeight <= 0 || v.Policy.TailLatencyWeight <= 0 {
		return 0
	}
	cost := costPerMillionTokens * float64(req.PromptTokens+req.OutputTokens) / 1e6
	return cost * v.Policy.CostWeight / v.Policy.TailLatencyWeight
}

// localOrForward forwards the request if another region's estimate, including cost,
// is better than that of local by the margin and the forwarding budget allows it.
// Otherwise it serves the request at local, or refuses it if local would miss the
// deadline.
func (s *Scheduler) localOrForward(req *Request, v *View, local *candidate, matchedBlocks []int, rnd uint64) Decision {
	serve := Decision{Kind: Serve, Endpoint: local.endpoint.ID, EstimatedTTFT: durationOfSeconds(local.ttftSeconds), CachedTokens: local.cachedTokens, Reason: ReasonBestEstimate}
	if req.ForwardsLeft > 0 {
		target := bestRegion(&s.opts, req, v, matchedBlocks, rnd)
		gain := local.ttftSeconds + costSeconds(v, req, local.costPerMillionTokens) - target.ttftSeconds - costSeconds(v, req, target.costPerMillionTokens)
		if target.region != "" && gain > forwardMarginSeconds(&s.opts, v, v.Regions[target.region]) {
			if withinForwardShare(v) {
				return Decision{Kind: Forward, Region: target.region, EstimatedTTFT: durationOfSeconds(target.ttftSeconds), Reason: ReasonOtherRegionFaster}
			}
			serve.Reason = ReasonForwardBudget
		}
	}
	if missesDeadline(req, local.ttftSeconds, decodeRate(local.endpoint)) {
		return Decision{Kind: Refuse, EstimatedTTFT: serve.EstimatedTTFT, Reason: ReasonDeadline}
	}
	return serve
}

// forwardOnly chooses another region when this one can't take req. The caller
// applies the forwarding budget only if the local endpoints are saturated:
// without any local endpoint the alternative to forwarding is a refusal.
func (s *Scheduler) forwardOnly(req *Request, v *View, matchedBlocks []int, rnd uint64) (Decision, bool) {
	if req.ForwardsLeft <= 0 {
		return Decision{}, false
	}
	target := bestRegion(&s.opts, req, v, matchedBlocks, rnd)
	if target.region == "" || missesDeadline(req, target.ttftSeconds, defaultDecodeTokensPerSecond) {
		return Decision{}, false
	}
	return Decision{Kind: Forward, Region: target.region, EstimatedTTFT: durationOfSeconds(target.ttftSeconds), Reason: ReasonNoLocalEndpoint}, true
}

// queueOrRefuse decides for a request that neither this region nor another one
// can take now.
func (s *Scheduler) queueOrRefuse(req *Request, v *View, saturated bool) Decision {
	if saturated {
		return Decision{Kind: Wait, Reason: ReasonSaturated}
	}
	if !req.PermittedRegions[v.Region] {
		return Decision{Kind: Refuse, Reason: ReasonResidency}
	}
	return Decision{Kind: Refuse, Reason: ReasonNoEndpoint}
}

// missesDeadline reports whether the response would end after the deadline, given
// its time to first token and its decode rate. A request without a deadline never
// misses it.
func missesDeadline(req *Request, ttftSeconds, decodeTokensPerSecond float64) bool {
	if req.TimeToDeadline <= 0 {
		return false
	}
	return ttftSeconds+float64(req.OutputTokens)/decodeTokensPerSecond > req.TimeToDeadline.Seconds()
}
