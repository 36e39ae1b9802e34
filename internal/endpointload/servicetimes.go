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
	// defaultTimePerOutputToken is the time to generate one token of a response
	// until a response has been observed.
	defaultTimePerOutputToken = 10 * time.Millisecond
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

// serviceTimes holds what was learned of the times of each service, by service:
// for model services the prefill time of a prompt token, the time to generate an
// output token, the time that a request holds a slot and the mean prefill time of a
// request, for plain services the time of a request.
type serviceTimes struct {
	mu             sync.RWMutex
	perToken       map[string]time.Duration
	meanPrefill    map[string]time.Duration
	perOutputToken map[string]time.Duration
	slot           map[string]time.Duration
	plain          map[string]time.Duration
}

func newServiceTimes() *serviceTimes {
	return &serviceTimes{
		perToken:       make(map[string]time.Duration),
		meanPrefill:    make(map[string]time.Duration),
		perOutputToken: make(map[string]time.Duration),
		slot:           make(map[string]time.Duration),
		plain:          make(map[string]time.Duration),
	}
}

// generationTime returns the expected time from the first output of a response of
// the given length to its end.
func (s *serviceTimes) generationTime(service string, outputTokens int) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	perToken, ok := s.perOutputToken[service]
	if !ok {
		perToken = defaultTimePerOutputToken
	}
	return time.Duration(outputTokens) * perToken
}

// slotTime returns the mean time for which a model request holds a slot, 0 until one
// has been observed.
func (s *serviceTimes) slotTime(service string) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.slot[service]
}

// observeGeneration learns from a complete response: generation is the time from its
// first output to its end, total that from the sending of the request.
func (s *serviceTimes) observeGeneration(job Job, generation, total time.Duration) {
	if job.Forwarded || job.OutputTokens <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perOutputToken[job.Service] = movingAverage(s.perOutputToken[job.Service], generation/time.Duration(job.OutputTokens), defaultTimePerOutputToken)
	s.slot[job.Service] = movingAverage(s.slot[job.Service], total, total)
}

// observeRequest learns the mean prefill time of requests from one that is sent.
func (s *serviceTimes) observeRequest(job Job, prefill time.Duration) {
	if job.PromptTokens == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meanPrefill[job.Service] = movingAverage(s.meanPrefill[job.Service], prefill, prefill)
}

// meanPrefillTime returns the mean prefill time of a request, 0 until one has been sent.
func (s *serviceTimes) meanPrefillTime(service string) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.meanPrefill[service]
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
