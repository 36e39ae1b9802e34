package admit

import "sync"

// RetryBudget limits retries to a fraction of the successful requests, so that
// retries don't amplify an overload. It is safe for concurrent use.
type RetryBudget struct {
	mu         sync.Mutex
	maxBalance float64
	ratio      float64
	balance    float64
}

// NewRetryBudget returns a budget that initially holds burst retries, which is also
// the most that it can hold.
func NewRetryBudget(burst float64) *RetryBudget {
	return &RetryBudget{maxBalance: burst, balance: burst, ratio: defaultRetryRatio}
}

// defaultRetryRatio is the number of retries added to the budget per success.
const defaultRetryRatio = 0.1

// SetRatio sets the number of retries added to the budget per success. 0 or less
// selects the default.
func (b *RetryBudget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio <= 0 {
		ratio = defaultRetryRatio
	}
	b.ratio = ratio
}

// RecordSuccess adds to the budget for a success.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.maxBalance, b.balance+b.ratio)
}

// TrySpend takes one retry from the budget. It reports false if less than one is left.
func (b *RetryBudget) TrySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
