package sched

import "time"

// Rates assumed for an endpoint that has not reported yet.
const (
	// defaultPrefillRate is in tokens a second.
	defaultPrefillRate = 8000.0
	// defaultDecodeRate is in tokens a second for one stream.
	defaultDecodeRate = 30.0
)

// unknownWait is added to the estimate of an endpoint with no report.
const unknownWait = 0.05

// BacklogTokensAt returns the corrected prefill backlog at now, in tokens.
func (e *Endpoint) BacklogTokensAt(now time.Time) float64 {
	b := e.BacklogTokens
	if dt := now.Sub(e.BacklogAt).Seconds(); dt > 0 {
		b -= dt * prefillRate(e)
	}
	return max(b, 0)
}

func prefillRate(e *Endpoint) float64 {
	if e.PrefillRate <= 0 {
		return defaultPrefillRate
	}
	return e.PrefillRate
}

func decodeRate(e *Endpoint) float64 {
	if e.DecodeRate <= 0 {
		return defaultDecodeRate
	}
	return e.DecodeRate
}

// Occupancy estimates the requests at the endpoint, running and waiting.
func (e *Endpoint) Occupancy() int {
	n := e.Running + e.Waiting + e.SentSinceReport - e.CompletedSinceReport
	return max(n, e.InFlight)
}

// slotWait estimates the seconds until e has a free place in its batch.
func slotWait(e *Endpoint, outputTokens int) float64 {
	if e.MaxBatch <= 0 {
		return 0
	}
	over := e.Occupancy() - e.MaxBatch + 1
	if over <= 0 {
		return 0
	}
	service := float64(max(outputTokens, 1)) / decodeRate(e)
	return service * float64(over) / float64(e.MaxBatch)
}

// estimateLocal estimates the time to first token at e, in seconds. cached is
// the number of prompt tokens that e is believed to hold.
func estimateLocal(o *Options, req *Request, e *Endpoint, now time.Time, cached int) float64 {
	uncached := float64(max(req.PromptTokens-cached, 1))
	backlog := float64(e.QueuedPrefillTokens)
	if o.ReportLagCorrection {
		backlog = e.BacklogTokensAt(now)
	}
	t := (backlog+uncached)/prefillRate(e) + slotWait(e, req.OutputTokens) + e.RTT.Seconds()
	if o.BiasCorrection {
		t += max(e.TTFTBiasSeconds, 0)
	}
	if e.ReportAt.IsZero() {
		t += unknownWait
	}
	return t
}

// estimateAway estimates the time to first token in another region, in
// seconds: the link's delay and transfer, the region's mean queue and the
// prefill of what isn't cached there.
func estimateAway(req *Request, r *RegionView, g GroupSummary, cached int) float64 {
	n := float64(max(g.Endpoints, 1))
	rate := g.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate * n
	}
	t := 2 * r.Link.OneWayDelay.Seconds()
	if r.Link.BytesPerSecond > 0 {
		free := max(r.Link.BytesPerSecond-r.LinkBytesPerSecond, r.Link.BytesPerSecond/100)
		t += float64(req.PromptTokens*BytesPerToken) / free
	}
	t += float64(g.QueuedPrefillTokens+r.ForwardedTokensSinceSummary) / rate
	t += float64(max(req.PromptTokens-cached, 1)) / (rate / n)
	if over := r.ForwardedSinceSummary - g.FreeSlots + 1; over > 0 {
		service := float64(max(req.OutputTokens, 1)) / defaultDecodeRate
		t += service * float64(over) / float64(max(g.Running, 1))
	}
	return t
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
