package placement

import "time"

// The time to the first output says nothing of the rest of a response. An engine that
// generates for many requests while it prefills prompts takes several times as long for
// each output as an idle one, so that long responses that began in time are cut off at
// their deadlines. The forecast adds the outputs still to come, each at the time that the
// endpoint is expected to need with this request. It rules out endpoints where the
// response would end too late or would make others end too late, and changes nothing else:
// requests whose forecast lies well inside the deadline are placed as without it.
//
// This covers peaks of regions in which long and short responses share engines of some
// tens of slots.

// The reasons of refusals by the forecast.
const (
	// EndsTooLate means that no candidate is expected to end the response in time.
	EndsTooLate Reason = "ends_too_late"
	// DelaysOthers means that the request would make requests in flight miss their
	// deadlines.
	DelaysOthers Reason = "delays_others"
)

const (
	// forecastMargin is the share of the time to the deadline that a forecast leaves
	// free. In trials with simulated engines no response was cut off at 0.05 either; at
	// 0.2, twice as many long ones were refused at nine tenths of the capacity.
	forecastMargin = 0.1
	// maxForecastRetry bounds the Retry-After of refusals by the forecast: the load of a
	// region changes within seconds, whatever the forecast for the requests of now.
	maxForecastRetry = 2 * time.Second
	// maxOutputs bounds the outputs that a gateway says it expects.
	maxOutputs = 1 << 20
)

// forecastEnd returns the forecast time until the end of the response, and false if it is
// not known.
func forecastEnd(req Request, c *Candidate, firstOutput time.Duration) (time.Duration, bool) {
	if req.Outputs <= 0 || c.TimePerOutput <= 0 {
		return 0, false
	}
	return firstOutput + time.Duration(min(req.Outputs, maxOutputs)-1)*c.TimePerOutput, true
}

// forecast decides by the forecast whether the request may go to c. Its zero value allows
// any request.
type forecast struct {
	// reason is why the request may not go to the candidate; empty if it may.
	reason Reason
	// excess is the time by which the response would be late.
	excess time.Duration
}

// forecastFor returns the forecast for the request at c. A started response is always
// continued. An endpoint without requests serves any: hints of the length are often far
// too high, and nobody is delayed.
func forecastFor(req Request, c *Candidate, firstOutput time.Duration) forecast {
	end, known := forecastEnd(req, c, firstOutput)
	if !known || req.TimeToEnd <= 0 || req.ResponseStarted || c.Running+c.Waiting == 0 {
		return forecast{}
	}
	if limit := time.Duration((1 - forecastMargin) * float64(req.TimeToEnd)); end > limit {
		return forecast{reason: EndsTooLate, excess: end - limit}
	}
	if prefill := prefillTime(req, c); c.HasSlack && prefill > c.Slack {
		return forecast{reason: DelaysOthers, excess: prefill - c.Slack}
	}
	return forecast{}
}

// earlierRefusal returns the refusal by f, unless d already serves the request or refuses
// it by a shorter excess.
func (f forecast) earlierRefusal(d Decision) Decision {
	retryAfter := min(max(f.excess, minRetryAfter), maxForecastRetry)
	isForecast := d.Reason == EndsTooLate || d.Reason == DelaysOthers
	if d.Kind == Serve || isForecast && d.RetryAfter <= retryAfter {
		return d
	}
	return Decision{Kind: Refuse, Reason: f.reason, RetryAfter: retryAfter}
}

// serve returns the decision that c serves the request.
func serve(req Request, c *Candidate) Decision {
	firstOutput := estimateFirstOutput(req, c)
	end, _ := forecastEnd(req, c, firstOutput)
	return Decision{Kind: Serve, Candidate: *c, Estimate: firstOutput, Forecast: end}
}
