package endpointload

import (
	"sync"
	"time"
)

// Constants of the learned speeds.
const (
	// firstTokenTime is the time to read a token of a prompt that is assumed
	// until it has been observed: about what current accelerators take.
	firstTokenTime = 20 * time.Microsecond
	// firstPlainTime is the same for a request of a plain service.
	firstPlainTime = 20 * time.Millisecond
	// engineOverhead is the time that a model request takes besides reading
	// its prompt: connection, admission, first step.
	engineOverhead = 20 * time.Millisecond
	// observeTokens is the shortest read that is long enough to learn from.
	observeTokens = 1000
	// speedStep is the weight of one observation, speedQuantile the quantile of
	// the observed speeds that is taken for that of an engine at rest.
	speedStep     = 0.1
	speedQuantile = 0.25
	// minTokenTime and maxTokenTime bound what is learned.
	minTokenTime = 2 * time.Microsecond
	maxTokenTime = 500 * time.Microsecond
)

// speeds are the learned speeds of each service's endpoints.
type speeds struct {
	mu    sync.RWMutex
	token map[string]time.Duration
	plain map[string]time.Duration
}

func newSpeeds() *speeds {
	return &speeds{token: make(map[string]time.Duration), plain: make(map[string]time.Duration)}
}

func (s *speeds) tokenTime(service string) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if t, ok := s.token[service]; ok {
		return t
	}
	return firstTokenTime
}

func (s *speeds) plainTime(service string) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if t, ok := s.plain[service]; ok {
		return t
	}
	return firstPlainTime
}

// observe learns from a request that was read alone.
func (s *speeds) observe(job Job, took time.Duration) {
	tokens := job.PromptTokens - job.CachedTokens
	if job.Forwarded || tokens < observeTokens || took <= engineOverhead {
		return
	}
	seen := min(max((took-engineOverhead)/time.Duration(tokens), minTokenTime), maxTokenTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token[job.Service] = towardsQuantile(s.token[job.Service], seen)
}

// towardsQuantile moves a speed a step towards the quantile speedQuantile of
// what is seen. A request takes longer when others are read that this gateway
// doesn't know of yet, so that the mean would be too high.
func towardsQuantile(old, seen time.Duration) time.Duration {
	if old == 0 {
		old = firstTokenTime
	}
	if seen < old {
		return old - time.Duration((1-speedQuantile)*speedStep*float64(old))
	}
	return old + time.Duration(speedQuantile*speedStep*float64(old))
}

func (s *speeds) observePlain(service string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plain[service] = blend(s.plain[service], took, firstPlainTime)
}

func blend(old, seen, first time.Duration) time.Duration {
	if old == 0 {
		old = first
	}
	return old + time.Duration(speedStep*float64(seen-old))
}
