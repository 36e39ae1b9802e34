package endpointload

import (
	"sync"
	"time"
)

// Constants of learned service times.
const (
	// defaultPrefillPerToken is the prefill time per token until one has been
	// observed: about that of current accelerators.
	defaultPrefillPerToken = 20 * time.Microsecond
	// defaultPlainServiceTime is the time of a request to a plain service until
	// one has been observed.
	defaultPlainServiceTime = 20 * time.Millisecond
	// engineOverhead is the time that a model request takes in addition to
	// prefill: connection, admission and first step.
	engineOverhead = 20 * time.Millisecond
	// minObservedTokens is the shortest prefill that is long enough to learn
	// from.
	minObservedTokens = 1000
	// learningRate is the weight of one observation. prefillQuantile is the
	// quantile of the observed prefill times that is taken as that of an idle
	// engine.
	learningRate    = 0.1
	prefillQuantile = 0.25
	// minPrefillPerToken and maxPrefillPerToken bound the learned prefill time.
	minPrefillPerToken = 2 * time.Microsecond
	maxPrefillPerToken = 500 * time.Microsecond
)

// serviceTimes holds the learned prefill times per token of model services and
// the request times of plain services, by service.
type serviceTimes struct {
	mu       sync.RWMutex
	perToken map[string]time.Duration
	plain    map[string]time.Duration
}

func newServiceTimes() *serviceTimes {
	return &serviceTimes{perToken: make(map[string]time.Duration), plain: make(map[string]time.Duration)}
}

func (s *serviceTimes) prefillPerToken(service string) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if t, ok := s.perToken[service]; ok {
		return t
	}
	return defaultPrefillPerToken
}

func (s *serviceTimes) plainServiceTime(service string) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if t, ok := s.plain[service]; ok {
		return t
	}
	return defaultPlainServiceTime
}

// observePrefill learns the prefill time per token from an uncontended request,
// given the time until its first output. Forwarded requests and short prefills
// are ignored.
func (s *serviceTimes) observePrefill(job Job, elapsed time.Duration) {
	tokens := job.PromptTokens - job.CachedTokens
	if job.Forwarded || tokens < minObservedTokens || elapsed <= engineOverhead {
		return
	}
	observed := min(max((elapsed-engineOverhead)/time.Duration(tokens), minPrefillPerToken), maxPrefillPerToken)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perToken[job.Service] = stepTowardsQuantile(s.perToken[job.Service], observed)
}

// stepTowardsQuantile moves an estimate one step towards the prefillQuantile of
// the observations. The mean would be too high, since some observed requests
// waited for those of other gateways that this one did not know of yet.
func stepTowardsQuantile(old, observed time.Duration) time.Duration {
	if old == 0 {
		old = defaultPrefillPerToken
	}
	if observed < old {
		return old - time.Duration((1-prefillQuantile)*learningRate*float64(old))
	}
	return old + time.Duration(prefillQuantile*learningRate*float64(old))
}

func (s *serviceTimes) observePlainService(service string, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plain[service] = movingAverage(s.plain[service], elapsed, defaultPlainServiceTime)
}

// movingAverage returns the exponential moving average after one more
// observation. An average of 0 starts from initial.
func movingAverage(old, observed, initial time.Duration) time.Duration {
	if old == 0 {
		old = initial
	}
	return old + time.Duration(learningRate*float64(observed-old))
}
