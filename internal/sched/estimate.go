package sched

import "time"

// Rates assumed for an endpoint that has not reported its load yet.
const (
	defaultPrefillTokensPerSecond = 8000.0
	// defaultDecodeTokensPerSecond is the rate of one stream.
	defaultDecodeTokensPerSecond = 30.0
)

// noReportPenaltySeconds is added to the estimate of an endpoint that has not
// reported its load yet.
const noReportPenaltySeconds = 0.05

// BacklogTokensAt returns the prefill backlog at now, in tokens: the last known
// backlog less what the endpoint can have prefilled since.
func (e *Endpoint) BacklogTokensAt(now time.Time) float64 {
	tokens := e.BacklogTokens
	if dt := now.Sub(e.BacklogAt).Seconds(); dt > 0 {
		tokens -= dt * prefillRate(e)
	}
	return max(tokens, 0)
}

func prefillRate(e *Endpoint) float64 {
	if e.PrefillRate <= 0 {
		return defaultPrefillTokensPerSecond
	}
	return e.PrefillRate
}

func decodeRate(e *Endpoint) float64 {
	if e.DecodeRate <= 0 {
		return defaultDecodeTokensPerSecond
	}
	return e.DecodeRate
}

// Occupancy estimates the number of requests running and waiting at the endpoint.
func (e *Endpoint) Occupancy() int {
	n := e.Running + e.Waiting + e.SentSinceReport - e.CompletedSinceReport
	return max(n, e.InFlight)
}

// slotWaitSeconds estimates the time until e has a free slot in its batch.
func slotWaitSeconds(e *Endpoint, outputTokens int) float64 {
	if e.MaxBatch <= 0 {
		return 0
	}
	excess := e.Occupancy() - e.MaxBatch + 1
	if excess <= 0 {
		return 0
	}
	serviceSeconds := float64(max(outputTokens, 1)) / decodeRate(e)
	return serviceSeconds * float64(excess) / float64(e.MaxBatch)
}

// estimateLocalTTFT estimates the time to first token at e, in seconds.
// cachedTokens is the number of prompt tokens that e is believed to have cached.
func estimateLocalTTFT(o *Options, req *Request, e *Endpoint, now time.Time, cachedTokens int) float64 {
	uncachedTokens := float64(max(req.PromptTokens-cachedTokens, 1))
	backlogTokens := float64(e.QueuedPrefillTokens)
	if o.ReportLagCorrection {
		backlogTokens = e.BacklogTokensAt(now)
	}
	ttftSeconds := (backlogTokens+uncachedTokens)/prefillRate(e) + slotWaitSeconds(e, req.OutputTokens) + e.RTT.Seconds()
	if o.BiasCorrection {
		ttftSeconds += max(e.TTFTBiasSeconds, 0)
	}
	if e.ReportAt.IsZero() {
		ttftSeconds += noReportPenaltySeconds
	}
	return ttftSeconds
}

// estimateRemoteTTFT estimates the time to first token in another region, in
// seconds. It is the sum of the link's round trip and transfer time, the mean
// queueing time of the region's group and the prefill time of the prompt tokens
// that are not cached there.
func estimateRemoteTTFT(req *Request, r *RegionView, g GroupSummary, cachedTokens int) float64 {
	endpoints := float64(max(g.Endpoints, 1))
	tokensPerSecond := g.PrefillRate
	if tokensPerSecond <= 0 {
		tokensPerSecond = defaultPrefillTokensPerSecond * endpoints
	}
	ttftSeconds := 2 * r.Link.OneWayDelay.Seconds()
	if r.Link.BytesPerSecond > 0 {
		freeBytesPerSecond := max(r.Link.BytesPerSecond-r.LinkBytesPerSecond, r.Link.BytesPerSecond/100)
		ttftSeconds += float64(req.PromptTokens*BytesPerToken) / freeBytesPerSecond
	}
	ttftSeconds += float64(g.QueuedPrefillTokens+r.ForwardedTokensSinceSummary) / tokensPerSecond
	ttftSeconds += float64(max(req.PromptTokens-cachedTokens, 1)) / (tokensPerSecond / endpoints)
	if excess := r.ForwardedSinceSummary - g.FreeSlots + 1; excess > 0 {
		serviceSeconds := float64(max(req.OutputTokens, 1)) / defaultDecodeTokensPerSecond
		ttftSeconds += serviceSeconds * float64(excess) / float64(max(g.Running, 1))
	}
	return ttftSeconds
}

func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
