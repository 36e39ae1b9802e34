package admit

import "sync"

// RetryBudget allows retries in proportion to successes, so that overload
// never multiplies the work.
type RetryBudget struct {
	mu    sync.Mutex
	burst float64
	ratio float64
	left  float64
}

// NewRetryBudget returns a budget that starts with burst retries, which is
// also the most it holds.
func NewRetryBudget(burst float64) *RetryBudget {
	return &RetryBudget{burst: burst, left: burst, ratio: defaultRetryRatio}
}

// defaultRetryRatio is the number of retries that a success earns.
const defaultRetryRatio = 0.1

// SetRatio sets the number of retries that a success earns; 0 or less keeps
// the default.
func (b *RetryBudget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio <= 0 {
		ratio = defaultRetryRatio
	}
	b.ratio = ratio
}

// Earn notes a success.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.burst, b.left+b.ratio)
}

// Spend takes one retry from the budget, if there is one.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
